/// \file
/// Parses JSON and reports duplicate keys, which Boost.JSON accepts without an error.

#include "model/json_parse.hpp"

#include "model/json_pointer.hpp"

#include <kumquatpath/model/configuration_check.hpp>

#include <boost/json/basic_parser_impl.hpp>
#include <boost/json/parse.hpp>

#include <set>
#include <string>
#include <utility>
#include <vector>

namespace kumquatpath
{
namespace
{

namespace json = boost::json;

/// A handler for boost::json::basic_parser that reports every key that its object already
/// contains.
class duplicate_key_finder
{
public:
    // basic_parser requires its handler to define these constants.
    static constexpr std::size_t max_object_size = static_cast<std::size_t>(-1);
    static constexpr std::size_t max_array_size = static_cast<std::size_t>(-1);
    static constexpr std::size_t max_key_size = static_cast<std::size_t>(-1);
    static constexpr std::size_t max_string_size = static_cast<std::size_t>(-1);

    fault_list faults;

    bool on_document_begin(json::error_code&)
    {
        return true;
    }
    bool on_document_end(json::error_code&)
    {
        return true;
    }
    bool on_object_begin(json::error_code&)
    {
        open_containers_.push_back({.is_object = true});
        return true;
    }
    bool on_object_end(std::size_t, json::error_code&)
    {
        open_containers_.pop_back();
        return count_value();
    }
    bool on_array_begin(json::error_code&)
    {
        open_containers_.push_back({.is_object = false});
        return true;
    }
    bool on_array_end(std::size_t, json::error_code&)
    {
        open_containers_.pop_back();
        return count_value();
    }
    bool on_key_part(json::string_view part, std::size_t, json::error_code&)
    {
        key_.append(part.data(), part.size());
        return true;
    }
    bool on_key(json::string_view part, std::size_t, json::error_code&)
    {
        key_.append(part.data(), part.size());
        open_container& innermost = open_containers_.back();
        innermost.key = std::exchange(key_, {});
        if (!innermost.keys.insert(innermost.key).second)
        {
            faults.push_back({.kind = configuration_fault_kind::duplicate_key,
                              .pointer = pointer(),
                              .name = innermost.key});
        }
        return true;
    }
    bool on_string_part(json::string_view, std::size_t, json::error_code&)
    {
        return true;
    }
    bool on_string(json::string_view, std::size_t, json::error_code&)
    {
        return count_value();
    }
    bool on_number_part(json::string_view, json::error_code&)
    {
        return true;
    }
    bool on_int64(std::int64_t, json::string_view, json::error_code&)
    {
        return count_value();
    }
    bool on_uint64(std::uint64_t, json::string_view, json::error_code&)
    {
        return count_value();
    }
    bool on_double(double, json::string_view, json::error_code&)
    {
        return count_value();
    }
    bool on_bool(bool, json::error_code&)
    {
        return count_value();
    }
    bool on_null(json::error_code&)
    {
        return count_value();
    }
    bool on_comment_part(json::string_view, json::error_code&)
    {
        return true;
    }
    bool on_comment(json::string_view, json::error_code&)
    {
        return true;
    }

private:
    /// An object or array whose end has not been parsed yet.
    struct open_container
    {
        bool is_object = false;
        /// The key of the member that is being parsed, if this is an object.
        std::string key;
        /// All keys parsed so far, if this is an object.
        std::set<std::string, std::less<>> keys;
        /// The number of values that have been parsed completely.
        std::size_t index = 0;
    };

    /// Counts a value that has been parsed completely, in the container that holds it.
    bool count_value()
    {
        if (!open_containers_.empty())
        {
            ++open_containers_.back().index;
        }
        return true;
    }

    /// Returns the JSON pointer of the value that is being parsed.
    std::string pointer() const
    {
        std::string path;
        for (const open_container& each : open_containers_)
        {
            path = child_pointer(path,
                                 each.is_object ? each.key : std::to_string(each.index));
        }
        return path;
    }

    /// The open containers, from the outermost to the innermost.
    std::vector<open_container> open_containers_;
    /// The parts of the current key that have arrived so far.
    std::string key_;
};

} // namespace

std::optional<json::value> parse_json(std::string_view text, fault_list& faults)
{
    if (text.size() > max_document_text_bytes)
    {
        faults.push_back({.kind = configuration_fault_kind::too_large,
                          .name = std::to_string(text.size()),
                          .maximum = max_document_text_bytes});
        return std::nullopt;
    }
    json::basic_parser<duplicate_key_finder> parser({});
    json::error_code error;
    const std::size_t offset = parser.write_some(false, text.data(), text.size(), error);
    if (!error && offset < text.size())
    {
        error = json::error::extra_data;
    }
    if (error)
    {
        faults.push_back({.kind = configuration_fault_kind::syntax,
                          .name = error.message(),
                          .offset = offset});
        return std::nullopt;
    }
    const fault_list& duplicates = parser.handler().faults;
    faults.insert(faults.end(), duplicates.begin(), duplicates.end());
    return json::parse(json::string_view(text.data(), text.size()));
}

} // namespace kumquatpath
