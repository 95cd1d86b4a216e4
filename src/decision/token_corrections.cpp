#include "flow_table.hpp"

#include <kumquatpath/decision/token_corrections.hpp>

#include <algorithm>

namespace kumquatpath
{
namespace
{

/// The opening is sent again with so many of the caller's first packets, as one of them
/// may be lost.
constexpr std::uint32_t corrected_packets = 2;
/// A target whose token arrives although it was corrected is corrected again after this
/// time.
constexpr duration correction_interval = std::chrono::milliseconds(50);
/// An opening goes to few targets: the first one, a second try and the caller's copies.
constexpr std::size_t max_opening_targets = 8;

void add_target(kept_opening& opening, const target_directory& directory,
                target_index target)
{
    const target_key key = directory.targets[target].record.key;
    const bool is_known =
        std::ranges::any_of(opening.targets, [&](const opening_target& each)
                            { return each.index == target && each.key == key; });
    if (!is_known && opening.targets.size() < max_opening_targets)
    {
        opening.targets.push_back({.index = target, .key = key});
    }
}

/// Adds the target that the token of \p packet names if it is not that of the flow: it
/// has answered an opening that another instance sent.
void add_named_target(token_corrections& corrections, kept_opening& opening,
                      const target_directory& directory, const flow_packet& packet,
                      target_index flow_target)
{
    const target_index* const named = find_by_token(directory, packet.token);
    if (named != nullptr && *named != flow_target)
    {
        ++corrections.wrong_tokens;
        add_target(opening, directory, *named);
    }
}

bool is_due(const opening_target& target, const target_directory& directory,
            const flow_packet& packet, bool is_first_packet, time_point now)
{
    const known_target& known = directory.targets[target.index];
    if (known.record.key != target.key || !takes_new_flows(known, now))
    {
        return false;
    }
    const bool is_named_again =
        known.token == packet.token &&
        (!target.corrected_at || now >= *target.corrected_at + correction_interval);
    return is_first_packet || is_named_again;
}

} // namespace

void keep_opening(token_corrections& corrections, const target_directory& directory,
                  const flow_packet& packet, byte_view datagram, const endpoint& source,
                  target_index target, time_point now)
{
    if (!corrections.is_on)
    {
        return;
    }
    const auto found = corrections.openings.find(packet.flow.value);
    const bool is_same_opening = found != corrections.openings.end() &&
                                 now < found->second.first_sent_at + opening_lifetime;
    if (is_same_opening)
    {
        add_target(found->second, directory, target);
        return;
    }
    if (found == corrections.openings.end() &&
        corrections.openings.size() >= max_kept_openings)
    {
        return;
    }
    kept_opening& opening = corrections.openings[packet.flow.value];
    opening = {.datagram = {datagram.begin(), datagram.end()},
               .source = source,
               .first_sent_at = now,
               .is_copy = packet.age > duration(0)};
    add_target(opening, directory, target);
    corrections.by_age.emplace_back(now, packet.flow.value);
}

std::vector<target_index> corrections_due(token_corrections& corrections,
                                          const target_directory& directory,
                                          const flow_packet& packet,
                                          target_index flow_target, time_point now)
{
    std::vector<target_index> due;
    const auto found = corrections.openings.find(packet.flow.value);
    if (found == corrections.openings.end() || packet.is_end)
    {
        return due;
    }
    kept_opening& opening = found->second;
    add_named_target(corrections, opening, directory, packet, flow_target);
    const bool is_first_packet = opening.packets_since_answer < corrected_packets;
    opening.packets_since_answer += is_first_packet ? 1U : 0U;
    for (opening_target& each : opening.targets)
    {
        const bool is_other = each.key != directory.targets[flow_target].record.key;
        if (is_other && is_due(each, directory, packet, is_first_packet, now))
        {
            each.corrected_at = now;
            due.push_back(each.index);
        }
    }
    corrections.sent += due.size();
    return due;
}

bool must_tell_peers(const token_corrections& corrections, const second_tries& tries,
                     const flow_steering& steering, const flow_packet& packet,
                     time_point now)
{
    const kept_opening* const opening = find_opening(corrections, packet.flow);
    return opening != nullptr && opening->is_copy && !packet.is_end &&
           opening->packets_since_answer < corrected_packets &&
           may_be_rehashing(tries, steering, opening->first_sent_at, now);
}

std::vector<target_index> apply_flow_notice(token_corrections& corrections,
                                            flow_steering& steering,
                                            const target_directory& directory,
                                            const flow_notice& notice, time_point now)
{
    std::vector<target_index> due;
    const auto found = corrections.openings.find(notice.flow.value);
    const target_index* const holder = find_by_token(directory, notice.target);
    if (found == corrections.openings.end() || holder == nullptr)
    {
        return due;
    }
    ++corrections.notices_used;
    adopt_flow(steering, directory, notice.flow, *holder, now);
    for (opening_target& each : found->second.targets)
    {
        const known_target& known = directory.targets[each.index];
        if (each.index != *holder && known.record.key == each.key &&
            takes_new_flows(known, now))
        {
            each.corrected_at = now;
            due.push_back(each.index);
        }
    }
    corrections.sent += due.size();
    return due;
}

const kept_opening* find_opening(const token_corrections& corrections, flow_id flow)
{
    const auto found = corrections.openings.find(flow.value);
    return found == corrections.openings.end() ? nullptr : &found->second;
}

void forget_old_openings(token_corrections& corrections, time_point now)
{
    while (!corrections.by_age.empty() &&
           now >= corrections.by_age.front().first + unacknowledged_answer_time)
    {
        const auto [kept_at, flow] = corrections.by_age.front();
        corrections.by_age.pop_front();
        const auto found = corrections.openings.find(flow);
        // A later opening of the same flow is kept for longer.
        if (found != corrections.openings.end() && found->second.first_sent_at == kept_at)
        {
            corrections.openings.erase(found);
        }
    }
}

} // namespace kumquatpath
