#include <kumquatpath/decision/ended_flows.hpp>

namespace kumquatpath
{
namespace
{

/// Returns whether \p packet repeats a payload that the target of \p flow should have
/// acknowledged by now.
bool is_retransmission(const tracked_flow& flow, const flow_packet& packet,
                       time_point now)
{
    return packet.has_payload && packet.payload_position &&
           flow.payload_position == packet.payload_position &&
           now >= flow.payload_seen_at + min_retransmission_age;
}

/// Returns whether the entry of \p target is missing although the target was not drained
/// and the shared state is current, other than for a while after an outage.
bool is_missing(const target_directory& directory, const known_target& target,
                time_point now)
{
    const bool may_be_unknown = directory.is_outdated || now < directory.grace_until;
    return !target.is_announced && !target.is_unusable && !target.record.is_draining &&
           !may_be_unknown && now >= target.missing_from;
}

} // namespace

bool must_reset(const target_directory& directory, const routing_table& table,
                const flow_packet& packet, target_index target, const tracked_flow* flow,
                time_point now)
{
    if (!directory.has_exclusive_addresses || packet.is_end)
    {
        return false;
    }
    const known_target& known = directory.targets[target];
    const bool is_unanswered = flow != nullptr && flow->key == known.record.key &&
                               is_retransmission(*flow, packet, now);
    return known.is_replaced || (is_unanswered && is_missing(directory, known, now) &&
                                 is_repeatable(table, packet));
}

void record_payload(tracked_flow& flow, const flow_packet& packet, time_point now)
{
    if (packet.has_payload && flow.payload_position != packet.payload_position)
    {
        flow.payload_position = packet.payload_position;
        flow.payload_seen_at = now;
    }
}

} // namespace kumquatpath
