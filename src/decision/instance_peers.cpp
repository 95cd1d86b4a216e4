/// \file
/// What one instance makes of its peers' control messages.

#include "instance_detail.hpp"

#include <kumquatpath/decision/flow_location.hpp>

namespace kumquatpath
{
namespace
{

/// Takes in each kind of message.
struct message_reader
{
    instance_state& state;
    instance_id sender;
    time_point now;
    action_list& actions;

    void operator()(const heartbeat& message) const
    {
        note_roster_version(state, sender, message.roster, now, actions);
        merge_members(state.members, message.members, now);
        note_peer(state.router, message.switched, now);
        note_peer_usages(state.admission, message.usages, now);
        if (message.generation > state.newest_heard)
        {
            state.newest_heard = message.generation;
            state.newest_holder = sender;
        }
    }

    void operator()(const flow_hint& message) const
    {
        handle_hint(state.router, sender, message, now);
    }

    void operator()(const flow_listing& message) const
    {
        handle_listing(state.router, sender, message, now);
    }

    void operator()(const listing_request& message) const
    {
        handle_listing_request(state.router, sender, message, now);
    }

    void operator()(const flow_query& message) const
    {
        handle_flow_query(state.router, sender, message, now, actions);
    }

    void operator()(const claim& message) const
    {
        receive_claim(state.submissions.records, state.roster, sender, message, now,
                      actions);
    }

    void operator()(const claim_reply& message) const
    {
        receive_claim_reply(state.submissions, context_of(state, state.router.view, now),
                            sender, message, actions);
    }

    void operator()(const roster_news& message) const
    {
        learn_roster_from_peer(state.roster,
                               {.value = {.version = message.version,
                                          .holders = message.holders,
                                          .previous = message.previous},
                                .store_word_age = message.store_word_age},
                               now);
    }
};

} // namespace

void decide_peer_message(instance_state& state, instance_id sender,
                         const peer_message& message, time_point now,
                         action_list& actions)
{
    note_heard(state.members, sender, now);
    std::visit(
        message_reader{.state = state, .sender = sender, .now = now, .actions = actions},
        message);
}

} // namespace kumquatpath
