#include <kumquatpath/decision/flow_steering.hpp>

#include <algorithm>

namespace kumquatpath
{
namespace
{

/// A flow that nobody has answered is over for its caller after this time.
constexpr duration opening_lifetime = std::chrono::milliseconds(1500);
/// A flow that is silent for this many times as long as its like usually take, within
/// these bounds, no longer counts as load: its packets may pass another instance by now.
constexpr double silence_in_flow_times = 4;
constexpr duration least_silence = std::chrono::milliseconds(150);
constexpr duration most_silence = std::chrono::seconds(4);
/// More flows than this that were opened elsewhere, within stray_span, mean that the
/// fabric deals flows anew; then an opening without its answer says nothing of its
/// target.
constexpr std::uint32_t most_strays = 3;
constexpr duration stray_span = std::chrono::milliseconds(500);
/// An ended flow is remembered for its last packets.
constexpr duration ended_memory = std::chrono::seconds(2);
constexpr duration idle_memory = std::chrono::seconds(20);
constexpr duration sweep_interval = std::chrono::milliseconds(100);

service_id pick_service(const route& chosen, std::uint64_t random)
{
    std::uint64_t total = 0;
    for (const weighted_service& each : chosen.services)
    {
        total += each.weight;
    }
    std::uint64_t left = total == 0 ? 0 : random % total;
    for (const weighted_service& each : chosen.services)
    {
        if (left < each.weight)
        {
            return each.service;
        }
        left -= each.weight;
    }
    return chosen.services.front().service;
}

void set_busy(flow_steering& steering, const target_directory& directory, seen_flow& flow,
              bool is_busy)
{
    if (flow.is_busy == is_busy)
    {
        return;
    }
    flow.is_busy = is_busy;
    steering.released += is_busy ? 0U : 1U;
    target_evidence& evidence = evidence_of(steering.choice, directory, flow.target);
    if (evidence.key != flow.key)
    {
        return;
    }
    if (is_busy)
    {
        ++evidence.busy;
    }
    else
    {
        evidence.busy -= std::min(evidence.busy, 1U);
    }
}

steering_decision forward_to(const target_directory& directory, target_index target,
                             bool is_placement)
{
    return {.verdict = steering_verdict::forward,
            .target = target,
            .token = directory.targets[target].token,
            .is_placement = is_placement};
}

void place(flow_steering& steering, const target_directory& directory, seen_flow& flow,
           target_index target, time_point now)
{
    set_busy(steering, directory, flow, false);
    flow.target = target;
    flow.key = directory.targets[target].record.key;
    flow.placed_at = now;
    set_busy(steering, directory, flow, true);
}

/// Returns whether the target of \p flow has answered an opening sent after this one:
/// then it lives, and what got lost was a packet.
bool is_target_alive(flow_steering& steering, const target_directory& directory,
                     const seen_flow& flow)
{
    const target_evidence& evidence =
        evidence_of(steering.choice, directory, flow.target);
    return evidence.key == flow.key && evidence.answered_opening > flow.placed_at;
}

/// Places another copy of the packet that opened \p flow.
steering_decision steer_copy(flow_steering& steering, const route& chosen,
                             const target_directory& directory, std::uint64_t key,
                             seen_flow& flow, time_point now)
{
    flow.last_seen = now;
    const bool is_same = flow.is_answered || is_target_alive(steering, directory, flow);
    if (is_same)
    {
        return forward_to(directory, flow.target, false);
    }
    const target_index avoided = flow.target;
    const target_index* const next =
        choose_target(steering.choice, directory,
                      {.service = pick_service(chosen, steering.random),
                       .avoided = &avoided,
                       .random = steering.random},
                      now);
    if (next == nullptr || *next == avoided)
    {
        return forward_to(directory, flow.target, false);
    }
    place(steering, directory, flow, *next, now);
    steering.pending.push_back(
        {.flow = key, .due = now + opening_patience(steering.choice)});
    ++flow.placements;
    return forward_to(directory, flow.target, true);
}

bool has_target(const target_directory& directory, service_id service, time_point now)
{
    const auto places = targets_of(directory, service);
    return std::any_of(places.begin(), places.end(),
                       [&](target_index each)
                       { return takes_new_flows(directory.targets[each], now); });
}

steering_decision steer_opening(flow_steering& steering, const routing_table& table,
                                const target_directory& directory,
                                const flow_packet& packet, time_point now)
{
    const route* const chosen = find_route(table, packet.listener);
    if (chosen == nullptr)
    {
        return {.verdict = steering_verdict::no_route};
    }
    steering.random = mix(steering.random, pack(packet.caller));
    const std::uint64_t key = packet.flow.value;
    const auto found = steering.flows.find(key);
    if (found != steering.flows.end() && now < found->second.opened_at + opening_lifetime)
    {
        return steer_copy(steering, *chosen, directory, key, found->second, now);
    }
    const service_id service = pick_service(*chosen, steering.random);
    const target_index* const target = choose_target(
        steering.choice, directory,
        {.service = service, .is_patient = true, .random = steering.random}, now);
    if (target == nullptr)
    {
        return {.verdict = has_target(directory, service, now)
                               ? steering_verdict::wait
                               : steering_verdict::no_target};
    }
    if (steering.flows.size() < most_remembered_flows)
    {
        seen_flow& flow = steering.flows[key];
        set_busy(steering, directory, flow, false);
        flow = seen_flow{.target = *target, .opened_at = now, .last_seen = now};
        place(steering, directory, flow, *target, now);
        steering.pending.push_back(
            {.flow = key, .due = now + opening_patience(steering.choice)});
    }
    return forward_to(directory, *target, true);
}

void note_answer(flow_steering& steering, const target_directory& directory,
                 seen_flow& flow, target_index by, time_point now)
{
    if (flow.target != by)
    {
        const time_point sent = flow.opened_at;
        place(steering, directory, flow, by, now);
        flow.placed_at = sent;
    }
    flow.is_answered = true;
    flow.answered_at = now;
    note_answered(steering.choice, directory, by, flow.placed_at, now);
}

/// Notes that the request of \p flow has its answer.
void note_answered_request(flow_steering& steering, const routing_table& table,
                           const target_directory& directory, seen_flow& flow,
                           const endpoint& listener, time_point now)
{
    const route* const chosen = find_route(table, listener);
    const duration goal = chosen == nullptr ? duration(0) : chosen->latency_goal;
    if (evidence_of(steering.choice, directory, flow.target).key == flow.key)
    {
        note_served(steering.choice, directory, flow.target, now - *flow.asked_at, goal,
                    now);
    }
    flow.asked_at.reset();
    set_busy(steering, directory, flow, false);
}

/// Notes the requests and answers of \p flow: a request is a packet with work; the
/// caller's next packet without any, or with another request, acknowledges the answer.
void note_packet(flow_steering& steering, const routing_table& table,
                 const target_directory& directory, seen_flow& flow,
                 const flow_packet& packet, time_point now)
{
    flow.last_seen = now;
    const bool is_another = packet.has_payload && packet.request != flow.request;
    if (is_another && !flow.is_busy)
    {
        // The caller has paused: when the answer came is not known.
        flow.asked_at.reset();
    }
    if (flow.asked_at && (is_another || !packet.has_payload))
    {
        note_answered_request(steering, table, directory, flow, packet.listener, now);
    }
    if (packet.has_payload)
    {
        flow.asked_at = flow.asked_at.value_or(now);
        flow.request = packet.request;
        set_busy(steering, directory, flow, true);
    }
    if (packet.is_end)
    {
        flow.is_ended = true;
        flow.asked_at.reset();
        set_busy(steering, directory, flow, false);
    }
}

void review_opening(flow_steering& steering, const target_directory& directory,
                    const seen_flow& flow, time_point now)
{
    const bool are_flows_dealt_anew =
        steering.strays > most_strays && now < steering.strays_since + 2 * stray_span;
    const target_evidence& evidence =
        evidence_of(steering.choice, directory, flow.target);
    if (!flow.is_answered && evidence.key == flow.key && !are_flows_dealt_anew)
    {
        note_overdue(steering.choice, directory, flow.target, flow.placed_at);
    }
}

duration longest_silence(const target_evidence& evidence)
{
    const duration usual = from_milliseconds(silence_in_flow_times * evidence.service_ms);
    return usual == duration(0) ? least_silence
                                : std::clamp(usual, least_silence, most_silence);
}

/// Takes flows off the load that get no answer, and forgets those that are over.
void sweep(flow_steering& steering, const target_directory& directory, time_point now)
{
    for (auto each = steering.flows.begin(); each != steering.flows.end();)
    {
        seen_flow& flow = each->second;
        if (flow.is_busy &&
            now >= flow.last_seen + longest_silence(evidence_of(steering.choice,
                                                                directory, flow.target)))
        {
            set_busy(steering, directory, flow, false);
        }
        const bool is_lasting = flow.is_answered && !flow.is_ended;
        const bool is_over =
            !flow.is_busy &&
            now >= flow.last_seen + (is_lasting ? idle_memory : ended_memory);
        const auto current = each++;
        if (is_over)
        {
            steering.flows.erase(current);
        }
    }
}

void note_stray(flow_steering& steering, time_point now)
{
    if (now >= steering.strays_since + stray_span)
    {
        steering.strays_since = now;
        steering.strays = 0;
    }
    ++steering.strays;
}

/// Remembers a flow that was opened through another instance and whose packets come here.
void adopt(flow_steering& steering, const routing_table& table,
           const target_directory& directory, const flow_packet& packet,
           target_index target, time_point now)
{
    note_stray(steering, now);
    if (packet.is_end || steering.flows.size() >= most_remembered_flows)
    {
        return;
    }
    seen_flow& flow = steering.flows[packet.flow.value];
    flow = {.target = target,
            .opened_at = now,
            .answered_at = now,
            .last_seen = now,
            .is_answered = true,
            .is_adopted = true};
    place(steering, directory, flow, target, now);
    note_packet(steering, table, directory, flow, packet, now);
}

} // namespace

steering_decision steer(flow_steering& steering, const routing_table& table,
                        const target_directory& directory, const flow_packet& packet,
                        time_point now)
{
    if (packet.is_opening)
    {
        return steer_opening(steering, table, directory, packet, now);
    }
    const target_index* const told = find_by_token(directory, packet.token);
    if (told == nullptr)
    {
        return {.verdict = steering_verdict::unknown_token};
    }
    const auto found = steering.flows.find(packet.flow.value);
    if (found == steering.flows.end())
    {
        adopt(steering, table, directory, packet, *told, now);
        return forward_to(directory, *told, false);
    }
    seen_flow& flow = found->second;
    steering_decision decision;
    if (!flow.is_answered)
    {
        decision.opening_time = now - flow.placed_at;
        note_answer(steering, directory, flow, *told, now);
    }
    if (packet.is_end && !flow.is_ended && !flow.is_adopted)
    {
        decision.flow_time = now - flow.opened_at;
    }
    note_packet(steering, table, directory, flow, packet, now);
    // A second target that answered late must not draw the flow to itself.
    const bool is_settled =
        flow.placements > 1 && directory.targets[flow.target].record.key == flow.key;
    decision.verdict = steering_verdict::forward;
    decision.target = is_settled ? flow.target : *told;
    decision.token = directory.targets[decision.target].token;
    return decision;
}

void review_flows(flow_steering& steering, const target_directory& directory,
                  time_point now)
{
    while (!steering.pending.empty() && now >= steering.pending.front().due)
    {
        const auto found = steering.flows.find(steering.pending.front().flow);
        steering.pending.pop_front();
        if (found != steering.flows.end())
        {
            review_opening(steering, directory, found->second, now);
        }
    }
    if (now >= steering.next_sweep)
    {
        steering.next_sweep = now + sweep_interval;
        sweep(steering, directory, now);
    }
}

} // namespace kumquatpath
