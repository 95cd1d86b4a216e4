#ifndef KUMQUATPATH_CLIENT_QUERIES_HPP
#define KUMQUATPATH_CLIENT_QUERIES_HPP

/// \file
/// The read-only verbs on configurations: show, diff and history.

#include "client/publication.hpp"

#include <kumquatpath/edge/key_value_store.hpp>
#include <kumquatpath/model/document_difference.hpp>

#include <boost/json/object.hpp>
#include <boost/json/value.hpp>
#include <boost/leaf/result.hpp>

#include <iosfwd>
#include <optional>
#include <string_view>
#include <vector>

namespace kumquatpath
{

/// Returns the envelope of \p wanted or, if that is empty, of the configuration in force.
/// Fails with nothing_in_force, unknown_generation, configuration_faults and the store's
/// failures.
boost::leaf::result<configuration_envelope> show(key_value_store& store,
                                                 const std::optional<generation>& wanted);

/// Returns the document of \p envelope with its generation added under base_key, where
/// apply() looks for the base of an edit.
boost::json::value editable_document(const configuration_envelope& envelope);

/// The differences between a document and the configuration in force.
struct document_diff
{
    /// The generation in force; 0 if there is none.
    generation in_force;
    /// The changes that lead from the configuration in force to the document.
    std::vector<object_change> changes;
};

/// Compares \p document, which must have passed the check, with the configuration in
/// force. Fails with the store's failures, and with configuration_faults if the stored
/// value is damaged.
boost::leaf::result<document_diff>
difference_from_current(key_value_store& store, const boost::json::value& document);

/// Compares the document in \p text with the configuration in force. Fails with
/// configuration_faults and the store's failures.
boost::leaf::result<document_diff> diff(key_value_store& store, std::string_view text);

/// One generation of the history.
struct history_entry
{
    kumquatpath::generation generation;
    wall_time submitted_at;
    std::string author;
    std::string submission;
    /// The changes from the previous generation; nothing if that is no longer in the
    /// history.
    std::optional<std::vector<object_change>> changes;
};

/// Returns up to \p last generations, starting with the one in force and going back
/// until the first that is no longer in the history. Fails with configuration_faults and
/// the store's failures.
boost::leaf::result<std::vector<history_entry>> history(key_value_store& store,
                                                        std::uint64_t last);

/// Prints the document in the form that apply() reads or, as JSON, with its envelope.
void print_show(std::ostream& out, const configuration_envelope& envelope, bool as_json);

/// Returns \p difference in the form that print_diff() prints as JSON.
boost::json::object to_json(const document_diff& difference);

/// Prints each changed object with the members that differ.
void print_diff(std::ostream& out, const document_diff& difference, bool as_json);

/// Prints each generation with its changes; the text form shortens long lists of changes.
void print_history(std::ostream& out, const std::vector<history_entry>& entries,
                   bool as_json);

} // namespace kumquatpath

#endif
