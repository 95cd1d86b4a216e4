#ifndef KUMQUATPATH_MODEL_DOCUMENT_READER_HPP
#define KUMQUATPATH_MODEL_DOCUMENT_READER_HPP

/// \file
/// Reads the sections of a configuration document one after the other.

#include "model/object_reader.hpp"

#include <kumquatpath/model/configuration.hpp>
#include <kumquatpath/model/configuration_fault.hpp>

#include <boost/json/value.hpp>

#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace kumquatpath
{

/// Reads one document. Each section is read after the ones it refers to.
class document_reader
{
public:
    document_reader(const boost::json::value& document, std::string_view pointer,
                    fault_list& faults);

    /// Reads every section. What it returns is whole only if no fault was noted.
    configuration read();

private:
    using sorted_names = std::vector<std::string_view>;

    void read_data_centres();
    void read_pools();
    void read_pool(std::string_view name, const boost::json::value& value,
                   const std::string& pointer);
    void read_target(target_pool& pool, std::string_view name,
                     const boost::json::value& value, const std::string& pointer);
    void read_services();
    void read_listeners();
    void read_tenants();
    void read_classes();
    void read_instances();
    void check_services();

    template <class Function>
    void for_each_entry(const boost::json::object* section, const std::string& pointer,
                        const Function& function);

    /// Returns whether \p name is one of \p known, and notes a fault if it isn't.
    bool check_reference(object_reader& reader, std::string_view key,
                         const std::string& name, const sorted_names& known);
    void check_unique_address(const endpoint& address, const std::string& pointer);
    template <class Id>
    void check_unique_derived_id(std::map<Id, std::string>& used, Id id,
                                 std::string_view name, const std::string& pointer);
    void check_unique_id(std::map<std::uint64_t, std::string>& used, std::uint64_t number,
                         std::string_view name, const std::string& pointer);

    object_reader root_;
    fault_list* faults_;
    configuration configuration_;
    sorted_names data_centre_names_;
    sorted_names pool_names_;
    sorted_names service_names_;
    std::map<endpoint, std::string> address_pointers_;
    std::map<std::string, std::string, std::less<>> target_pointers_;
    std::map<data_centre_id, std::string> data_centre_ids_;
    std::map<target_id, std::string> target_ids_;
    std::map<service_id, std::string> service_ids_;
};

} // namespace kumquatpath

#endif
