#include "packet_duty.hpp"

#include <kumquatpath/edge/clock.hpp>
#include <kumquatpath/edge/log.hpp>

#include <algorithm>

namespace kumquatpath
{
namespace
{

constexpr std::uint32_t most_lines_a_second = 100;
/// What a flow takes from its placement on; an opening that waits must leave as much.
constexpr duration usual_flow_time = std::chrono::milliseconds(100);

constexpr std::string_view too_much_under_way = "too much is under way";

received_packet as_received(const waiting_opening& opening)
{
    return {.datagram = opening.datagram, .source = opening.source};
}

std::string flow_name(const flow_packet& packet)
{
    return to_string(packet.caller) + ">" + to_string(packet.listener);
}

} // namespace

void packet_duty::receive_packets()
{
    const time_point now = monotonic_now();
    bool may_have_more = true;
    while (may_have_more)
    {
        const auto batch = data_.receive();
        for (const received_datagram& each : batch)
        {
            steer_packet({.datagram = each.bytes, .source = each.source}, now);
        }
        data_.flush();
        may_have_more = batch.size() == udp_socket::batch_size;
    }
    review_flows(self_.steering, self_.directory, now);
    if (self_.steering.released != released_)
    {
        released_ = self_.steering.released;
        place_waiting(now);
    }
}

void packet_duty::steer_packet(const received_packet& received, time_point now)
{
    const auto packet = format_.read(received);
    if (!packet || self_.configuration.table == nullptr)
    {
        ++metrics_.packets_malformed;
        return;
    }
    self_.last_packet_at = now;
    const routing_table& table = *self_.configuration.table;
    if (packet->is_opening && !admit(self_, *packet, now))
    {
        refuse(*packet, received, "over a limit", now);
        return;
    }
    const steering_decision decision =
        steer(self_.steering, table, self_.directory, *packet, now);
    ++metrics_.verdicts[static_cast<std::size_t>(decision.verdict)];
    if (decision.verdict == steering_verdict::forward)
    {
        forward(received, decision);
    }
    if (decision.is_placement)
    {
        note_placed(waiting_, packet->listener, now);
    }
    if (decision.verdict == steering_verdict::wait)
    {
        let_wait(*packet, received, now);
    }
    if (decision.opening_time || decision.flow_time)
    {
        const route* const found = find_route(table, packet->listener);
        add_times(metrics_, found == nullptr ? "" : found->name, decision);
    }
    if (decision.is_placement || decision.verdict != steering_verdict::forward)
    {
        log_placement(*packet, decision, now);
    }
}

void packet_duty::forward(const received_packet& received,
                          const steering_decision& decision)
{
    const target_record& target = self_.directory.targets[decision.target].record;
    const std::size_t size =
        format_.write_forward(received, target, decision.token, scratch_);
    data_.queue(target.address, payload_view(scratch_).first(size));
}

void packet_duty::let_wait(const flow_packet& packet, const received_packet& received,
                           time_point now)
{
    const route* const found = find_route(*self_.configuration.table, packet.listener);
    const time_point begun = now - packet.age;
    const auto displaced = add_waiting(
        waiting_, {.packet = packet,
                   .datagram = {received.datagram.begin(), received.datagram.end()},
                   .source = received.source,
                   .begun = begun,
                   .in_time_until = begun + found->latency_goal - usual_flow_time});
    if (displaced)
    {
        refuse(displaced->packet, as_received(*displaced), too_much_under_way, now);
    }
}

void packet_duty::refuse(const flow_packet& packet, const received_packet& received,
                         std::string_view why, time_point now)
{
    endpoint to;
    const std::size_t size = format_.write_refusal(received, scratch_, to);
    data_.queue(to, payload_view(scratch_).first(size));
    ++metrics_.openings_refused;
    if (may_log(now))
    {
        log(log_level::info, "flow_refused",
            {{"flow", flow_name(packet)},
             {"why", why},
             {"generation", self_.configuration.table->generation.value},
             {"waiting", waiting_.openings.size()}});
    }
}

void packet_duty::refuse_expired(time_point now)
{
    for (const waiting_opening& each : take_expired(waiting_, now))
    {
        refuse(each.packet, as_received(each), too_much_under_way, now);
    }
}

void packet_duty::place_waiting(time_point now)
{
    std::vector<endpoint> full;
    while (const auto place = next_waiting(waiting_, full, now))
    {
        const flow_packet& packet = waiting_.openings[*place].packet;
        const steering_decision decision = steer(
            self_.steering, *self_.configuration.table, self_.directory, packet, now);
        if (decision.verdict == steering_verdict::wait)
        {
            full.push_back(packet.listener);
            continue;
        }
        const waiting_opening taken = take_waiting(waiting_, *place);
        if (decision.verdict == steering_verdict::forward)
        {
            note_placed(waiting_, taken.packet.listener, now);
            forward(as_received(taken), decision);
        }
        log_placement(taken.packet, decision, now);
    }
    data_.flush();
}

bool packet_duty::may_log(time_point now)
{
    if (now >= log_refill_)
    {
        log_refill_ = now + std::chrono::seconds(1);
        log_allowance_ = most_lines_a_second;
        if (metrics_.log_lines_held_back > logged_held_back_)
        {
            log(log_level::warning, "lines_held_back",
                {{"lines", metrics_.log_lines_held_back - logged_held_back_}});
            logged_held_back_ = metrics_.log_lines_held_back;
        }
    }
    if (log_allowance_ == 0)
    {
        ++metrics_.log_lines_held_back;
        return false;
    }
    --log_allowance_;
    return true;
}

void packet_duty::log_placement(const flow_packet& packet,
                                const steering_decision& decision, time_point now)
{
    metrics_.flows_placed += decision.is_placement ? 1U : 0U;
    if (!may_log(now))
    {
        return;
    }
    boost::json::object fields = {
        {"flow", flow_name(packet)},
        {"outcome", to_string(decision.verdict)},
        {"generation", self_.configuration.table->generation.value},
        {"position", self_.directory.position.value},
        {"state_age_ms", state_age(self_, now).count()}};
    if (decision.verdict == steering_verdict::unknown_token)
    {
        fields["token"] = packet.token.value;
    }
    if (decision.verdict == steering_verdict::forward)
    {
        const target_evidence& evidence = self_.steering.choice.evidence[decision.target];
        fields["target"] =
            to_string(self_.directory.targets[decision.target].record.address);
        fields["busy"] = evidence.busy;
        fields["overdue"] = evidence.overdue;
    }
    log(log_level::info, "flow_placed", std::move(fields));
}

} // namespace kumquatpath
