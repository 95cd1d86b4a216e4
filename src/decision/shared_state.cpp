#include "shared_state.hpp"

#include <kumquatpath/decision/held_back_entries.hpp>
#include <kumquatpath/decision/warm_up_allowance.hpp>

#include <algorithm>

namespace kumquatpath
{
namespace
{

/// How long no peer is asked after a reply that did not bring newer state.
constexpr duration pause_after_query_in_vain = std::chrono::milliseconds(200);

configuration_version version_of(const shared_configuration& configuration)
{
    return {.revision = configuration.revision,
            .generation =
                configuration.table ? configuration.table->generation : generation()};
}

/// Returns whether \p configuration, newer by its revision, may be the older one with
/// which the store came back.
bool is_from_copy(const entry_instance& self, const shared_configuration& configuration)
{
    const shared_configuration& current = self.configuration;
    const state_revision& known =
        self.has_lasting_generations ? current.written : current.revision;
    return current.table != nullptr && configuration.revision.era > known.era &&
           configuration.table->generation < current.table->generation;
}

/// Returns an update that moves \p directory to the position of \p update and changes
/// nothing.
state_update without_changes(const state_update& update,
                             const target_directory& directory)
{
    return {.position = update.position, .complete_from = directory.position};
}

} // namespace

void record_state_contact(entry_instance& self, time_point as_of, time_point now)
{
    if (self.fresh_as_of)
    {
        record_outage_end(self.directory, as_of - *self.fresh_as_of, now);
    }
}

void mark_evacuations(entry_instance& self)
{
    mark_evacuated_targets(self.directory, self.evacuations,
                           self.is_cut_off ? std::optional(self.fleet.local_data_centre)
                                           : std::nullopt);
}

configuration_version version_of_configuration(const entry_instance& self)
{
    const bool counts_generation =
        self.has_lasting_generations && self.configuration.table != nullptr;
    return {.revision = self.configuration.revision,
            .generation =
                counts_generation ? self.configuration.table->generation : generation()};
}

bool is_configuration_ahead_of_store(const entry_instance& self)
{
    return self.configuration.written.era < self.configuration.revision.era;
}

state_reply make_state_reply(const entry_instance& self, const state_request& request,
                             time_point now)
{
    state_reply reply{.update = update_since(self.directory, request.position),
                      .configuration = version_of_configuration(self),
                      .written = self.configuration.written};
    reply.update.evacuations = changes_since(
        self.evacuations, reply.update.is_whole ? state_revision() : request.position);
    restate_warm_ups(self.directory, reply.update.targets, now);
    if (self.configuration.text && reply.configuration > request.configuration)
    {
        reply.configuration_text = *self.configuration.text;
    }
    return reply;
}

state_update_result apply_state_update(entry_instance& self, const state_update& update,
                                       time_point now)
{
    record_state_contact(self, now, now);
    state_update_result result{
        .evacuations =
            apply_evacuations(self.evacuations, update, self.directory.position, now)};
    self.directory.complete_from =
        std::max(self.directory.complete_from, self.evacuations.complete_from);
    const directory_update_result applied = apply_update(self.directory, update, now);
    mark_evacuations(self);
    result.targets = applied.targets;
    result.is_incomplete = applied.is_incomplete;
    return result;
}

peer_reply_result apply_peer_reply(entry_instance& self, instance_id sender,
                                   const state_reply& reply,
                                   const std::shared_ptr<const routing_table>& table,
                                   time_point now)
{
    const state_revision old_position = self.directory.position;
    const configuration_version old_version = version_of_configuration(self);
    const shared_configuration configuration{
        .revision = reply.configuration.revision,
        .written = reply.written == state_revision{} ? reply.configuration.revision
                                                     : reply.written,
        .text = std::make_shared<const std::string>(reply.configuration_text),
        .table = table};
    peer_reply_result result{.state = apply_shared_state(self,
                                                         table ? &configuration : nullptr,
                                                         reply.update, now)};
    const auto peer = self.fleet.peers.find(sender);
    if (peer == self.fleet.peers.end())
    {
        return result;
    }
    const bool has_helped = self.directory.position > old_position ||
                            version_of_configuration(self) > old_version;
    const bool is_behind = peer->second.position > self.directory.position ||
                           peer->second.configuration > version_of_configuration(self);
    const bool was_in_vain = peer->second.is_asked_in_vain;
    peer->second.is_asked_in_vain = !has_helped && is_behind;
    if (peer->second.is_asked_in_vain)
    {
        self.next_query_at = now + pause_after_query_in_vain;
        result.is_first_in_vain = !was_in_vain;
    }
    return result;
}

shared_state_result apply_shared_state(entry_instance& self,
                                       const shared_configuration* configuration,
                                       const state_update& update, time_point now)
{
    shared_state_result result;
    const state_revision known = self.configuration.revision;
    const state_revision old_position = self.directory.position;
    if (configuration != nullptr)
    {
        result.is_configuration_new = apply_configuration(self, *configuration, now);
        result.is_configuration_kept =
            !result.is_configuration_new && self.configuration.revision != known;
    }
    const bool are_targets_older =
        result.is_configuration_kept && !self.has_lasting_generations;
    result.update = apply_state_update(
        self, are_targets_older ? without_changes(update, self.directory) : update, now);
    const bool has_returned = old_position != state_revision{} &&
                              self.directory.position.era > old_position.era;
    result.returned_from = has_returned ? std::optional(old_position.era) : std::nullopt;
    return result;
}

state_update_result use_held_back_state(entry_instance& self, time_point now)
{
    const std::size_t used = use_held_back_entries(self.directory, now);
    state_update_result result{.targets = {.updated = used, .changed = used},
                               .evacuations =
                                   use_held_back_evacuations(self.evacuations, now)};
    if (used > 0 || !result.evacuations.empty())
    {
        mark_evacuations(self);
    }
    return result;
}

bool apply_configuration(entry_instance& self, const shared_configuration& configuration,
                         time_point now)
{
    shared_configuration& current = self.configuration;
    const bool is_newer = self.has_lasting_generations
                              ? version_of(configuration) > version_of(current)
                              : configuration.revision > current.revision;
    if (!is_newer)
    {
        return false;
    }
    if (is_from_copy(self, configuration))
    {
        current.revision = configuration.revision;
        return false;
    }
    current = configuration;
    name_services(self.directory, configuration.table->services, now);
    return true;
}

} // namespace kumquatpath
