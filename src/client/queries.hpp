#ifndef KUMQUATPATH_CLIENT_QUERIES_HPP
#define KUMQUATPATH_CLIENT_QUERIES_HPP

/// \file
/// The queries about configurations: they change nothing.

#include "client/publication.hpp"

#include <kumquatpath/edge/key_value_store.hpp>
#include <kumquatpath/model/document_difference.hpp>

#include <boost/json/value.hpp>
#include <boost/leaf/result.hpp>

#include <iosfwd>
#include <optional>
#include <string_view>
#include <vector>

namespace kumquatpath
{

/// Returns the envelope of \p wanted, or of what is in force. Fails with
/// nothing_in_force, unknown_generation, configuration_faults and the store's failures.
boost::leaf::result<configuration_envelope> show(key_value_store& store,
                                                 const std::optional<generation>& wanted);

/// Returns the document of \p envelope with the generation that an edit starts from.
boost::json::value editable_document(const configuration_envelope& envelope);

/// How a document differs from what is in force.
struct document_diff
{
    /// The generation in force; 0 when there is none.
    generation in_force;
    std::vector<object_change> changes;
};

/// Compares the document in \p text with what is in force. Fails with
/// configuration_faults and the store's failures.
boost::leaf::result<document_diff> diff(key_value_store& store, std::string_view text);

/// One generation of the history.
struct history_entry
{
    kumquatpath::generation generation;
    wall_time submitted_at;
    std::string author;
    std::string submission;
    /// What it changed; nothing when the one before is no longer known.
    std::optional<std::vector<object_change>> changes;
};

/// Returns up to \p last generations, the one in force first. Fails with
/// configuration_faults and the store's failures.
boost::leaf::result<std::vector<history_entry>> history(key_value_store& store,
                                                        std::uint64_t last);

void print_show(std::ostream& out, const configuration_envelope& envelope, bool as_json);
void print_diff(std::ostream& out, const document_diff& difference, bool as_json);
void print_history(std::ostream& out, const std::vector<history_entry>& entries,
                   bool as_json);

} // namespace kumquatpath

#endif
