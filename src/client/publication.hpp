#ifndef KUMQUATPATH_CLIENT_PUBLICATION_HPP
#define KUMQUATPATH_CLIENT_PUBLICATION_HPP

/// \file
/// Publishes a configuration through the platform's key-value service. It is safe against
/// concurrent edits, outages and lost responses; docs/design/configuration.md explains
/// why.

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

/// The number of past generations that the history keeps.
inline constexpr std::uint64_t max_archived_generations = 100;

/// Returns the store's key for a past generation.
std::string history_key(generation number);

/// A failure: the generation is neither in force nor in the history.
struct unknown_generation
{
    kumquatpath::generation generation;
};

/// A failure: an object that the edit changes was also changed, in a different way, since
/// the edit's base.
struct edit_conflict
{
    /// The generation that is in force.
    generation in_force;
    /// Who submitted that generation; may be empty.
    std::string author;
    /// The objects that both sides changed.
    std::vector<object_path> objects;
};

/// A failure: the response to a write was lost, and the client could not find out whether
/// the write took effect.
struct outcome_unknown
{
    /// The submission to look for in the history.
    std::string submission;
};

/// A failure: another submission was published during each attempt.
struct too_many_attempts
{
    std::size_t attempts = 0;
};

/// The configuration in force, and the store's revision of it.
struct current_configuration
{
    configuration_envelope envelope;
    kumquatpath::revision revision;
};

/// Returns the configuration in force, or nothing if there is none yet. Fails with the
/// store's failures, and with configuration_faults if the stored value is damaged.
boost::leaf::result<std::optional<current_configuration>>
read_current(key_value_store& store);

/// Returns generation \p wanted: \p current if it has that number, and otherwise the
/// history's copy. Fails with unknown_generation, the store's failures and
/// configuration_faults.
boost::leaf::result<configuration_envelope>
read_generation(key_value_store& store,
                const std::optional<current_configuration>& current, generation wanted);

/// Waits before a retry of a write. \c attempt is 1 for the first retry, 2 for the second
/// and so on.
using pause_function = std::function<void(std::size_t attempt)>;

/// An edit of the configuration: the documents before and after it, and who submits it.
struct edit_options
{
    /// The document that the edit started from; an empty object if there was none.
    boost::json::value base;
    /// The document with the edit's changes.
    boost::json::value edited;
    /// Random identifier that no other submission has.
    std::string submission;
    std::string author;
    /// Whether the edit may remove or move targets that may still have open flows.
    bool may_cut_flows = false;
    /// Called before each retry; if empty, retries start immediately.
    pause_function pause;
};

/// The result of publish().
struct publication
{
    /// The generation that holds the edit.
    generation published;
    /// False if the configuration in force already had the edit's content, so that no new
    /// generation was needed.
    bool is_new = true;
    /// Whether the configuration had changed since the edit's base, so that the edit was
    /// merged with those changes.
    bool was_merged = false;
    /// Whether the response to the write was lost and a later read showed that the write
    /// took effect.
    bool was_read_back = false;
};

/// Merges \p edit into the configuration in force and publishes the result as a new
/// generation. \p now is the time of the submission.
///
/// Changes that others made since the edit's base are kept. Fails with edit_conflict if
/// they and the edit changed an object in different ways. Also fails with
/// configuration_faults, flows_at_risk, too_many_attempts and outcome_unknown. Failures
/// with store_unreachable, store_timeout or store_malformed_answer mean that the edit was
/// certainly not published.
boost::leaf::result<publication> publish(key_value_store& store, const edit_options& edit,
                                         wall_time now);

} // namespace kumquatpath

#endif
