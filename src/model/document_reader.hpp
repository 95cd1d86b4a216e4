#ifndef KUMQUATPATH_MODEL_DOCUMENT_READER_HPP
#define KUMQUATPATH_MODEL_DOCUMENT_READER_HPP

/// \file
/// Converts a configuration document from JSON to a configuration.

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

/// Reads one document. Each section is read after the sections that it refers to.
class document_reader
{
public:
    /// Prepares to read \p document, whose own JSON pointer is \p pointer. Faults are
    /// added to \p faults. Both \p document and \p faults must outlive the reader.
    document_reader(const boost::json::value& document, std::string_view pointer,
                    fault_list& faults);

    /// Reads all sections. The result is complete and valid only if no fault was added.
    /// May be called once.
    configuration read();

private:
    /// Names in ascending order, for binary search.
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

    /// Reports each service whose pool has targets, but none that accepts new flows.
    void check_services();

    /// Calls \p function with the name, value and JSON pointer of each entry of
    /// \p section, and reports names that are malformed. Does nothing if \p section is
    /// null.
    template <class Function>
    void for_each_entry(const boost::json::object* section, const std::string& pointer,
                        const Function& function);

    /// Returns whether \p name, the value of \p key, is one of \p known. Reports an
    /// unknown_reference if it is not, unless the value is missing or has the wrong type:
    /// \p reader has reported that already.
    bool check_reference(object_reader& reader, std::string_view key,
                         const std::string& name, const sorted_names& known);

    /// Reports a duplicate_address if an earlier listener or target has \p address;
    /// otherwise records it. Ignores the default address, which stands for a missing or
    /// malformed one.
    void check_unique_address(const endpoint& address, const std::string& pointer);

    /// Reports a name_collision if a different name in \p used has the hash \p id;
    /// otherwise records \p name.
    template <class Id>
    void check_unique_derived_id(std::map<Id, std::string>& used, Id id,
                                 std::string_view name, const std::string& pointer);

    /// Reports a duplicate_id if \p used contains \p number, the value of the key "id";
    /// otherwise records it for \p name.
    void check_unique_id(std::map<std::uint64_t, std::string>& used, std::uint64_t number,
                         std::string_view name, const std::string& pointer);

    object_reader root_;
    fault_list* faults_;
    configuration configuration_;
    sorted_names data_centre_names_;
    sorted_names pool_names_;
    sorted_names service_names_;
    /// The JSON pointers of the listeners and targets, by address.
    std::map<endpoint, std::string> address_pointers_;
    /// The JSON pointers of the targets of all pools, by name.
    std::map<std::string, std::string, std::less<>> target_pointers_;
    /// The names of the objects read so far, by the id derived from each name.
    std::map<data_centre_id, std::string> data_centre_ids_;
    std::map<target_id, std::string> target_ids_;
    std::map<service_id, std::string> service_ids_;
};

} // namespace kumquatpath

#endif
