#ifndef KUMQUATPATH_CLIENT_PUBLICATION_HPP
#define KUMQUATPATH_CLIENT_PUBLICATION_HPP

/// \file
/// Publishing a configuration through the platform's key-value service, against other
/// operators, outages and lost answers. docs/design/configuration.md tells why it holds.

#include <kumquatpath/edge/key_value_store.hpp>
#include <kumquatpath/model/configuration_envelope.hpp>
#include <kumquatpath/model/document_difference.hpp>

#include <boost/json/value.hpp>
#include <boost/leaf/result.hpp>

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace kumquatpath
{

/// The count of past generations that stay in the history.
inline constexpr std::uint64_t max_archived_generations = 100;

/// Returns the key under which a past generation is kept.
std::string history_key(generation number);

/// A failure: the generation neither is in force nor stands in the history.
struct unknown_generation
{
    kumquatpath::generation generation;
};

/// A failure: others changed the same objects since the base of the edit.
struct edit_conflict
{
    /// The generation that is in force, and who submitted it.
    generation in_force;
    std::string author;
    std::vector<object_path> objects;
};

/// A failure: the platform went away after a write whose answer was lost.
struct outcome_unknown
{
    std::string submission;
};

/// A failure: the edit kept losing its race against other operators.
struct too_many_attempts
{
    std::size_t attempts = 0;
};

/// The configuration in force, as it was read.
struct current_configuration
{
    configuration_envelope envelope;
    kumquatpath::revision revision;
};

/// Returns the configuration in force, or nothing when there is none yet. Fails with the
/// store's failures and with configuration_faults when the stored value is damaged.
boost::leaf::result<std::optional<current_configuration>>
read_current(key_value_store& store);

/// Returns \p wanted from the history, or \p current if it is that. Fails with
/// unknown_generation, the store's failures, and configuration_faults.
boost::leaf::result<configuration_envelope>
read_generation(key_value_store& store,
                const std::optional<current_configuration>& current, generation wanted);

/// Waits before attempt number \c attempt of a write; the first one, 0, is not waited
/// for.
using pause_function = std::function<void(std::size_t attempt)>;

/// An edit: what leads from one document to another.
struct edit_options
{
    /// The document that the edit started from; an empty object when there was none.
    boost::json::value base;
    /// The document that the edit ended with.
    boost::json::value edited;
    /// A random text that no other submission has.
    std::string submission;
    std::string author;
    /// Whether the edit may take a target away that open flows may rest on.
    bool may_cut_flows = false;
    /// Empty: attempts follow each other at once.
    pause_function pause;
};

/// What became of a published edit.
struct publication
{
    /// The generation that holds the edit.
    generation published;
    /// False when the configuration in force already was as the edit wants it.
    bool is_new = true;
    /// The edit was merged with changes of others since its base.
    bool was_merged = false;
    /// The answer to the write was lost, and reading back showed that it took effect.
    bool was_read_back = false;
};

/// Publishes \p edit on top of whatever is in force.
///
/// Changes of others since the edit's base stay if they are to other objects; otherwise
/// it fails with edit_conflict. Fails also with configuration_faults,
/// flows_at_risk, too_many_attempts and outcome_unknown, and with store_unreachable,
/// store_timeout or store_malformed_answer when the edit was certainly not published.
boost::leaf::result<publication> publish(key_value_store& store, const edit_options& edit,
                                         wall_time now);

} // namespace kumquatpath

#endif
