#ifndef KUMQUATPATH_CLIENT_COMMANDS_HPP
#define KUMQUATPATH_CLIENT_COMMANDS_HPP

/// \file
/// The commands: what changes the configuration.

#include "client/command_line.hpp"
#include "client/publication.hpp"

#include <kumquatpath/edge/key_value_store.hpp>

#include <boost/leaf/result.hpp>

#include <string>
#include <string_view>
#include <vector>

namespace kumquatpath
{

/// Who submits a change, when, under which random text, and at whose risk.
struct submission_context
{
    std::string author;
    std::string submission;
    wall_time now;
    /// Whether the change may take a target away that open flows may rest on.
    bool may_cut_flows = false;
    pause_function pause;
};

/// Publishes the document in \p text, which was edited from \p base or, if that is empty,
/// from the generation that it names itself. Fails as publish() does, and with
/// base_required or unknown_generation.
boost::leaf::result<publication> apply(key_value_store& store, std::string_view text,
                                       std::optional<generation> base,
                                       const submission_context& context);

/// Objects of one kind, and the state that they are to be in.
struct state_change
{
    drainable_kind kind = drainable_kind::target;
    std::vector<std::string> names;
    administrative_state state = administrative_state::draining;
    /// The instances that answered; others can't be drained, as a document takes any
    /// name.
    std::vector<std::string> known_instances;
};

/// Publishes the configuration in force with the state of some objects changed. Fails as
/// publish() does, and with unknown_object or nothing_in_force.
boost::leaf::result<publication> change_state(key_value_store& store,
                                              const state_change& change,
                                              const submission_context& context);

/// Publishes the content of \p wanted again. Fails as publish() does, and with
/// unknown_generation or nothing_in_force.
boost::leaf::result<publication> roll_back(key_value_store& store, generation wanted,
                                           const submission_context& context);

/// The key of a document that names the generation which it was edited from. It is never
/// stored.
inline constexpr std::string_view base_key = "edited_from";

/// A document that was read from an operator's file.
struct submitted_document
{
    boost::json::value document;
    /// The generation that the file says it was edited from.
    std::optional<generation> base;
};

/// Reads and checks \p text. Fails with configuration_faults.
boost::leaf::result<submitted_document> read_document(std::string_view text);

/// Returns \p document with the state of some objects changed. Fails with unknown_object.
boost::leaf::result<boost::json::value> with_state(const boost::json::value& document,
                                                   const state_change& change);

} // namespace kumquatpath

#endif
