#include "model/document_reader.hpp"
#include "model/json_parse.hpp"

#include <kumquatpath/model/configuration_check.hpp>

#include <boost/json/serialize.hpp>

namespace kumquatpath
{
namespace
{

configuration read_document(const boost::json::value& document, std::string_view pointer,
                            fault_list& faults)
{
    const std::size_t size = boost::json::serialize(document).size();
    if (size > max_stored_value_bytes)
    {
        faults.push_back({.kind = configuration_fault_kind::too_large,
                          .pointer = std::string(pointer),
                          .name = std::to_string(size),
                          .maximum = max_stored_value_bytes});
    }
    return document_reader(document, pointer, faults).read();
}

} // namespace

boost::leaf::result<configuration> check_document(const boost::json::value& document,
                                                  std::string_view pointer)
{
    fault_list faults;
    configuration parsed = read_document(document, pointer, faults);
    if (!faults.empty())
    {
        return boost::leaf::new_error(configuration_faults{std::move(faults)});
    }
    return parsed;
}

boost::leaf::result<configuration> check_document(std::string_view text)
{
    fault_list faults;
    const auto document = parse_json(text, faults);
    configuration parsed;
    if (document)
    {
        parsed = read_document(*document, "", faults);
    }
    if (!faults.empty())
    {
        return boost::leaf::new_error(configuration_faults{std::move(faults)});
    }
    return parsed;
}

} // namespace kumquatpath
