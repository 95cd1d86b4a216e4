#include "packet_worker.hpp"

#include <kumquatpath/edge/clock.hpp>
#include <kumquatpath/edge/log.hpp>

#include <algorithm>
#include <optional>

namespace kumquatpath
{
namespace
{

constexpr std::uint32_t max_log_lines_per_second = 100;
/// The usual time from the placement of a flow to its answer. A queued opening must be
/// placed this long before the end of its latency goal to be answered in time.
constexpr duration flow_time_reserve = std::chrono::milliseconds(100);

/// How often queued openings are checked for refusal while packets arrive.
constexpr duration refusal_interval = std::chrono::milliseconds(5);

constexpr std::string_view rate_limit_exceeded = "rate limit exceeded";
constexpr std::string_view concurrency_limit_reached = "concurrency limit reached";
constexpr std::string_view route_removed = "route removed";
constexpr std::string_view targets_warm_up = "targets warm up";
constexpr std::string_view target_ended = "target ended";
constexpr std::string_view instance_stops = "instance stops";
constexpr std::string_view data_centre_evacuated = "data centre evacuated";

/// Returns why a packet with \p verdict is answered with a reset at once, or nothing if
/// it is not.
std::optional<std::string_view> refusal_reason_of(steering_verdict verdict)
{
    switch (verdict)
    {
    case steering_verdict::evacuated:
        return data_centre_evacuated;
    case steering_verdict::warm_up_limit:
        return targets_warm_up;
    case steering_verdict::target_ended:
        return target_ended;
    default:
        return std::nullopt;
    }
}

std::string flow_name(const flow_packet& packet)
{
    return to_string(packet.caller) + ">" + to_string(packet.listener);
}

/// Adds to \p fields how many targets of \p service were avoided because of peer reports,
/// and how many doubts there are about the target of \p stats, as far as there are any.
void add_peer_report(boost::json::object& fields, const target_selector& selector,
                     service_id service, const target_stats& stats, time_point now)
{
    const auto found = selector.services.find(service);
    if (!selector.options.uses_peer_evidence || found == selector.services.end())
    {
        return;
    }
    if (found->second.targets_avoided_by_peer_reports > 0)
    {
        fields["avoided_by_peer_reports"] = found->second.targets_avoided_by_peer_reports;
    }
    const std::uint32_t doubts = reports_against(stats, now);
    if (doubts > 0)
    {
        fields["doubts"] = doubts;
    }
}

} // namespace

void packet_worker::receive_packets()
{
    const time_point now = monotonic_now();
    bool may_have_more = true;
    for (std::size_t i = 0; may_have_more && i < max_batches_per_wake_up; ++i)
    {
        const auto batch = data_socket_.receive();
        for (const received_datagram& each : batch)
        {
            steer_packet({.datagram = each.bytes, .source = each.source}, now);
        }
        data_socket_.flush();
        may_have_more = batch.size() == udp_socket::batch_size;
    }
    review_flows(self_.steering, self_.directory, now);
    send_second_tries(now);
    if (now >= next_refusal_at_)
    {
        next_refusal_at_ = now + refusal_interval;
        refuse_expired(now);
    }
    if (self_.steering.finished_requests != last_finished_requests_)
    {
        last_finished_requests_ = self_.steering.finished_requests;
        place_queued_openings(now);
    }
}

void packet_worker::steer_packet(const received_packet& received, time_point now)
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
        refuse(*packet, received, {.why = rate_limit_exceeded}, now);
        return;
    }
    if (packet->is_opening && is_behind_others(*packet))
    {
        ++metrics_.verdicts[static_cast<std::size_t>(steering_verdict::wait)];
        queue_opening(*packet, received, now);
        return;
    }
    const steering_decision decision =
        steer(self_.steering, table, self_.directory, *packet, now);
    ++metrics_.verdicts[static_cast<std::size_t>(decision.verdict)];
    if (decision.verdict == steering_verdict::forward && packet->is_opening)
    {
        forward_opening(*packet, received, decision, now);
    }
    else if (decision.verdict == steering_verdict::forward)
    {
        forward(received, decision);
        correct_tokens(*packet, decision, now);
    }
    if (decision.is_placement)
    {
        record_opening_placement(*packet, decision.target, now);
    }
    if (decision.verdict == steering_verdict::wait)
    {
        queue_opening(*packet, received, now);
    }
    follow_second_tries(*packet, received, decision, now);
    if (const auto reason = refusal_reason_of(decision.verdict))
    {
        refuse(*packet, received, {.why = *reason}, now);
        return;
    }
    if (decision.opening_time || decision.flow_time)
    {
        record_times(metrics_, route_name(table, packet->listener), decision);
    }
    if (decision.is_placement || decision.verdict != steering_verdict::forward)
    {
        log_placement(*packet, decision, now);
    }
}

void packet_worker::forward(const received_packet& received,
                            const steering_decision& decision)
{
    const target_record& target = self_.directory.targets[decision.target].record;
    const std::size_t size =
        format_.write_forward(received, target, decision.token, output_buffer_);
    data_socket_.queue(target.address, byte_view(output_buffer_).first(size));
}

void packet_worker::forward_opening(const flow_packet& packet,
                                    const received_packet& received,
                                    const steering_decision& decision, time_point now)
{
    keep_opening(self_.corrections, self_.directory, packet, received.datagram,
                 received.source, decision.target, now);
    forward(received, decision);
}

void packet_worker::correct_tokens(const flow_packet& packet,
                                   const steering_decision& decision, time_point now)
{
    if (must_tell_peers(self_.corrections, self_.second_try_state, self_.steering, packet,
                        now))
    {
        ++self_.corrections.notices_sent;
        send_to_local_peers({.flow = packet.flow, .target = decision.token}, now);
    }
    send_corrections(
        packet.flow,
        corrections_due(self_.corrections, self_.directory, packet, decision.target, now),
        decision.token, now);
}

void packet_worker::send_corrections(flow_id flow,
                                     const std::vector<target_index>& targets,
                                     flow_token token, time_point now)
{
    for (const target_index target : targets)
    {
        const kept_opening& opening = *find_opening(self_.corrections, flow);
        const received_packet received{.datagram = opening.datagram,
                                       .source = opening.source};
        forward(received,
                {.verdict = steering_verdict::forward, .target = target, .token = token});
        log_token_correction(received, target, token, now);
    }
}

void packet_worker::log_token_correction(const received_packet& opening,
                                         target_index target, flow_token token,
                                         time_point now)
{
    const auto packet = format_.read(opening);
    if (packet && may_log(now))
    {
        log(log_level::info, "token_corrected",
            {{"flow", flow_name(*packet)},
             {"target", to_string(self_.directory.targets[target].record.address)},
             {"token", token.value}});
    }
}

void packet_worker::queue_opening(const flow_packet& packet,
                                  const received_packet& received, time_point now)
{
    const route* const found = find_route(*self_.configuration.table, packet.listener);
    const time_point sent_at = now - packet.age;
    const auto evicted = add_opening(
        opening_queue_,
        {.packet = packet,
         .datagram = {received.datagram.begin(), received.datagram.end()},
         .source = received.source,
         .first_sent_at = sent_at,
         .queued_at = now,
         .placement_deadline = sent_at + found->latency_goal - flow_time_reserve,
         .caller_timeout = found->timeout,
         .service = found->services.front().service,
         .further_services = further_services_of(*found),
         .priority = policy_of(*self_.configuration.table, *found, packet.traffic_class)
                         .priority});
    if (evicted)
    {
        refuse(evicted->packet, to_received_packet(*evicted),
               {.why = concurrency_limit_reached, .priority = evicted->priority}, now);
    }
}

void packet_worker::refuse(const flow_packet& packet, const received_packet& received,
                           const refusal& refused, time_point now)
{
    endpoint to;
    const std::size_t size = format_.write_refusal(received, output_buffer_, to);
    data_socket_.queue(to, byte_view(output_buffer_).first(size));
    if (packet.is_opening)
    {
        ++metrics_.openings_refused;
        count_refusal(metrics_, route_name(*self_.configuration.table, packet.listener),
                      refused.why);
    }
    if (!may_log(now))
    {
        return;
    }
    boost::json::object fields = {
        {"flow", flow_name(packet)},
        {"why", refused.why},
        {"generation", self_.configuration.table->generation.value},
        {"waiting", opening_queue_.openings.size()},
        {"priority", refused.priority}};
    if (refused.estimate != nullptr)
    {
        fields["estimate_ms"] = milliseconds_of(refused.estimate->estimated_wait);
        fields["ahead"] = refused.estimate->ahead;
        fields["more_urgent_ahead"] = refused.estimate->more_urgent_ahead;
    }
    log(log_level::info, "flow_refused", std::move(fields));
}

void packet_worker::refuse_expired(time_point now)
{
    for (const queued_opening& each : take_expired(opening_queue_, now))
    {
        refuse(each.packet, to_received_packet(each),
               {.why = concurrency_limit_reached, .priority = each.priority}, now);
    }
}

void packet_worker::refuse_all_queued(time_point now)
{
    for (const queued_opening& each : take_all(opening_queue_))
    {
        refuse(each.packet, to_received_packet(each),
               {.why = instance_stops, .priority = each.priority}, now);
    }
    data_socket_.flush();
}

void packet_worker::finish_placement(const queued_opening& opening,
                                     const steering_decision& decision, time_point now)
{
    if (decision.verdict == steering_verdict::forward)
    {
        record_opening_placement(opening.packet, decision.target, now);
        forward_opening(opening.packet, to_received_packet(opening), decision, now);
    }
    if (const auto reason = refusal_reason_of(decision.verdict))
    {
        ++metrics_.verdicts[static_cast<std::size_t>(decision.verdict)];
        refuse(opening.packet, to_received_packet(opening),
               {.why = *reason, .priority = opening.priority}, now);
        return;
    }
    if (settings_.uses_priorities && is_final(decision.verdict))
    {
        refuse(opening.packet, to_received_packet(opening),
               {.why = route_removed, .priority = opening.priority}, now);
        return;
    }
    log_placement(opening.packet, decision, now);
}

void packet_worker::place_queued_openings(time_point now)
{
    if (settings_.uses_priorities)
    {
        place_by_priority(now);
        return;
    }
    std::vector<endpoint> full_listeners;
    while (const auto index = next_opening(opening_queue_, full_listeners, now))
    {
        const flow_packet& packet = opening_queue_.openings[*index].packet;
        const steering_decision decision = steer(
            self_.steering, *self_.configuration.table, self_.directory, packet, now);
        if (decision.verdict == steering_verdict::wait)
        {
            full_listeners.push_back(packet.listener);
            continue;
        }
        finish_placement(take_opening(opening_queue_, *index), decision, now);
    }
    data_socket_.flush();
}

bool packet_worker::may_log(time_point now)
{
    if (now >= log_refill_at_)
    {
        log_refill_at_ = now + std::chrono::seconds(1);
        log_lines_left_ = max_log_lines_per_second;
        if (metrics_.log_lines_held_back > reported_held_back_lines_)
        {
            log(log_level::warning, "lines_held_back",
                {{"lines", metrics_.log_lines_held_back - reported_held_back_lines_}});
            reported_held_back_lines_ = metrics_.log_lines_held_back;
        }
    }
    if (log_lines_left_ == 0)
    {
        ++metrics_.log_lines_held_back;
        return false;
    }
    --log_lines_left_;
    return true;
}

void packet_worker::log_placement(const flow_packet& packet,
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
        const target_stats& stats = self_.steering.selector.stats[decision.target];
        fields["target"] =
            to_string(self_.directory.targets[decision.target].record.address);
        fields["busy"] = stats.in_flight;
        fields["overdue"] = stats.overdue_openings;
        fields["repeatable"] = is_repeatable(*self_.configuration.table, packet);
        if (decision.remote)
        {
            fields["remote"] = to_string(*decision.remote);
        }
        if (self_.steering.selector.options.uses_speeds)
        {
            fields["speed"] = speed_of(stats.speed, now);
        }
        add_peer_report(fields, self_.steering.selector,
                        self_.directory.targets[decision.target].record.service, stats,
                        now);
    }
    log(log_level::info, "flow_placed", std::move(fields));
}

} // namespace kumquatpath
