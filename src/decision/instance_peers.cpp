/// \file
/// What one instance makes of its peers' control messages.

#include <kumquatpath/decision/instance.hpp>

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

    void operator()(const heartbeat& message) const
    {
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

    void operator()(const claim& /*message*/) const {}

    void operator()(const claim_reply& /*message*/) const {}
};

} // namespace

void decide_peer_message(instance_state& state, instance_id sender,
                         const peer_message& message, time_point now,
                         action_list& /*actions*/)
{
    note_heard(state.members, sender, now);
    std::visit(message_reader{.state = state, .sender = sender, .now = now}, message);
}

} // namespace kumquatpath
