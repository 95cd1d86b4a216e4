#ifndef KUMQUATPATH_CLIENT_COMMANDS_HPP
#define KUMQUATPATH_CLIENT_COMMANDS_HPP

/// \file
/// The commands, which publish changes of the configuration.

#include "client/command_line.hpp"
#include "client/publication.hpp"

#include <kumquatpath/edge/key_value_store.hpp>

#include <boost/leaf/result.hpp>

#include <string>
#include <string_view>
#include <vector>

namespace kumquatpath
{

/// Origin and options of a submission.
struct submission_context
{
    std::string author;
    /// Random identifier that no other submission has.
    std::string submission;
    /// Time of the submission.
    wall_time now;
    /// Whether the change may remove or move targets that may still have open flows.
    bool may_cut_flows = false;
    /// Called before each repeated attempt to write; empty for no pause.
    pause_function pause;
};

/// Publishes the document in \p text. The document was edited from generation \p base or,
/// if \p base is empty, from the generation that it names under base_key. Fails as
/// publish() does, and with base_required or unknown_generation.
boost::leaf::result<publication> apply(key_value_store& store, std::string_view text,
                                       std::optional<generation> base,
                                       const submission_context& context);

/// The new state of some objects of one kind.
struct state_change
{
    drainable_kind kind = drainable_kind::target;
    std::vector<std::string> names;
    administrative_state state = administrative_state::draining;
    /// Names of the instances that responded to a status query. Only these can be
    /// drained, because the document accepts any instance name.
    std::vector<std::string> known_instances;
};

/// Publishes the configuration in force with \p change applied. Fails as publish() does,
/// and with unknown_object or nothing_in_force.
boost::leaf::result<publication> change_state(key_value_store& store,
                                              const state_change& change,
                                              const submission_context& context);

/// Publishes the document of the past generation \p wanted as a new generation. Fails as
/// publish() does, and with unknown_generation or nothing_in_force.
boost::leaf::result<publication> roll_back(key_value_store& store, generation wanted,
                                           const submission_context& context);

/// Key in an edited document that names the generation it was edited from. It is removed
/// before the document is stored.
inline constexpr std::string_view base_key = "edited_from";

/// A parsed document from an operator's file.
struct submitted_document
{
    /// The document without base_key.
    boost::json::value document;
    /// The value of base_key; nothing if the file does not have it.
    std::optional<generation> base;
    configuration checked_configuration;
};

/// Parses and checks \p text. Fails with configuration_faults.
boost::leaf::result<submitted_document> read_document(std::string_view text);

/// Returns \p document with \p change applied. Fails with unknown_object.
boost::leaf::result<boost::json::value> with_state(const boost::json::value& document,
                                                   const state_change& change);

} // namespace kumquatpath

#endif
