#include <kumquatpath/decision/answer_counts.hpp>
#include <kumquatpath/decision/remote_placement.hpp>

#include <algorithm>
#include <cmath>
#include <limits>

namespace kumquatpath
{
namespace
{

constexpr duration update_interval = std::chrono::milliseconds(50);
/// A longer pause between two updates counts as this long, so that one update after a
/// pause can't move many flows.
constexpr duration max_update_step = std::chrono::milliseconds(200);
constexpr double answer_smoothing_factor = 1.0 / 12;
/// With fewer answers, the mean is too uncertain to be the time without a wait.
constexpr std::uint32_t min_idle_answers = 12;
/// In this time without answers, what is known of a data centre's waits fades to 1/e.
constexpr duration fading_time = std::chrono::seconds(1);
/// How fast the time without a wait rises while all answers take longer, as the change of
/// its logarithm in a second.
constexpr double idle_rise_per_second = 0.005;
/// Callers notice a flow that takes longer by this share of its latency goal.
constexpr double noticed_goal_share = 0.1;
/// A data centre where requests wait longer than this multiple of the wait that matters
/// has no room for flows of others.
constexpr double room_wait_factor = 1.5;
/// Measured times that differ by less than this share may be equal.
constexpr double uncertain_share = 0.3;
/// The limit and the shares stay while flows elsewhere save less than the least gain but
/// more than this part of it.
constexpr double kept_gain_share = 0.5;
/// The gain that the local limit aims at, as a part of the least one.
constexpr double desired_gain_share = 0.75;
constexpr double min_limit_factor = 0.6;
constexpr double limit_growth_factor = 1.05;
/// A limit that was not reached for this long is lifted.
constexpr duration useless_limit_time = std::chrono::seconds(2);
/// The answers from which a change of the limit follows.
constexpr std::uint32_t answers_per_limit_change = 8;
constexpr double share_growth_per_second = 2;
/// In this time, the share of a data centre that saves too little falls to 1/e, and that
/// of one where flows take longer.
constexpr duration return_time = std::chrono::milliseconds(3000);
constexpr duration quick_return_time = std::chrono::milliseconds(1000);
/// A lower share ends.
constexpr double min_share = 0.01;
/// The round trip is rounded, so it may seem to exceed the time of a short request.
constexpr double min_request_ms = 0.5;

double seconds_of(duration time)
{
    return milliseconds_of(time) / 1000;
}

/// Returns the time from an opening to the caller's next packet for targets of \p id, in
/// milliseconds, or \p fallback.
double round_trip_ms(const remote_placement& placement, data_centre_id id,
                     double fallback)
{
    constexpr double median = 0.5;
    const auto found = placement.openings.find(id);
    const auto known = found == placement.openings.end()
                           ? std::nullopt
                           : quantile_of(found->second, median);
    return known ? milliseconds_of(*known) : fallback;
}

/// Returns the expected time of requests of a service at the targets of \p answers.
double request_ms(const data_centre_answers& answers, double ln_idle_ms, time_point now)
{
    const double age = seconds_of(now - answers.answered_at);
    const double weight =
        answers.answers == 0 ? 0 : std::exp(-age / seconds_of(fading_time));
    return std::exp(ln_idle_ms + weight * (answers.ln_ms - ln_idle_ms));
}

/// Follows the lowest time of requests quickly and a higher one slowly.
void update_idle_time(service_placement& service, duration step)
{
    double lowest = std::numeric_limits<double>::max();
    for (const auto& [id, answers] : service.data_centres)
    {
        if (answers.answers >= min_idle_answers)
        {
            lowest = std::min(lowest, answers.ln_ms);
        }
    }
    if (lowest == std::numeric_limits<double>::max())
    {
        return;
    }
    const double risen =
        service.ln_idle_ms.value_or(lowest) + idle_rise_per_second * seconds_of(step);
    service.ln_idle_ms = std::min(lowest, risen);
}

/// Returns the shortest wait in milliseconds that matters: what callers notice, or for
/// short requests the time that they take without a wait.
double noticed_wait_ms(const service_placement& service)
{
    const double idle_ms = std::exp(*service.ln_idle_ms);
    const double noticed_ms = noticed_goal_share * milliseconds_of(service.latency_goal);
    return noticed_ms > 0 ? std::min(noticed_ms, idle_ms) : idle_ms;
}

/// What a flow that leaves the local data centre saves, in milliseconds.
struct remote_gain
{
    /// The two round trips of a local flow, and the whole of its time.
    double local_trips_ms = 0;
    double local_ms = 0;
    /// Saved by a flow to the best of the data centres with room; negative: none has.
    double best_ms = -1;
    /// What a flow has to save.
    double least_ms = 0;
};

void update_share(double& share, double gain_ms, double least_gain_ms, duration step)
{
    if (gain_ms >= least_gain_ms)
    {
        share = std::min(1.0, share + share_growth_per_second * seconds_of(step));
        return;
    }
    if (gain_ms >= kept_gain_share * least_gain_ms)
    {
        return;
    }
    const duration time = gain_ms < 0 ? quick_return_time : return_time;
    share *= std::exp(-seconds_of(step) / seconds_of(time));
    share = share < min_share ? 0 : share;
}

void set_local_limit(service_placement& service, data_centre_answers& local, double limit,
                     time_point effective_at)
{
    service.local_limit = limit;
    service.was_limit_reached = false;
    service.limit_effective_at = effective_at;
    local.new_ln_ms = 0;
    local.new_answers = 0;
}

/// Lowers the limit to what would make a flow elsewhere save the desired gain, or raises
/// it if it was reached though flows elsewhere save little.
void update_local_limit(service_placement& service, data_centre_answers& local,
                        const remote_gain& gain, double bearable, time_point now)
{
    // The flows that exceed the new limit have to end first.
    const time_point effective_at = now + from_milliseconds(gain.local_ms);
    if (gain.best_ms >= gain.least_ms)
    {
        const double excess_ms = gain.best_ms - desired_gain_share * gain.least_ms;
        const double factor = std::max(min_limit_factor, 1 - excess_ms / gain.local_ms);
        const double in_use = local.in_flight + 1.0;
        const double limit = service.local_limit.value_or(in_use) * factor;
        service.limit_reached_at = now;
        set_local_limit(service, local, std::max(bearable, limit), effective_at);
        return;
    }
    if (!service.local_limit || gain.best_ms >= kept_gain_share * gain.least_ms)
    {
        return;
    }
    if (service.was_limit_reached)
    {
        service.limit_reached_at = now;
        set_local_limit(service, local, *service.local_limit * limit_growth_factor,
                        effective_at);
    }
    else if (now >= service.limit_reached_at + useless_limit_time)
    {
        service.local_limit.reset();
    }
}

/// Adjusts the shares of all data centres but the local one, and returns what a flow
/// there saves.
remote_gain update_shares(const remote_placement& placement, service_placement& service,
                          const flow_to_place& flow, duration step, time_point now)
{
    const double idle_ms = std::exp(*service.ln_idle_ms);
    const double local_trip_ms = round_trip_ms(placement, flow.local, 0);
    const double local_ms =
        request_ms(service.data_centres[flow.local], *service.ln_idle_ms, now);
    remote_gain gain{.local_trips_ms = 2 * local_trip_ms,
                     .local_ms = local_ms + 2 * local_trip_ms};
    gain.least_ms = std::max(noticed_wait_ms(service), uncertain_share * gain.local_ms);
    for (auto& [id, answers] : service.data_centres)
    {
        if (id == flow.local)
        {
            continue;
        }
        const double ms = request_ms(answers, *service.ln_idle_ms, now);
        const bool has_room = ms - idle_ms < room_wait_factor * noticed_wait_ms(service);
        const double trip_ms = round_trip_ms(placement, id, local_trip_ms);
        const double saved_ms = has_room ? gain.local_ms - (ms + 2 * trip_ms) : -1;
        update_share(answers.share, saved_ms, gain.least_ms, step);
        gain.best_ms = std::max(gain.best_ms, saved_ms);
    }
    return gain;
}

/// Returns \p gain for the time of the local flows that started under the limit in force.
remote_gain gain_under_limit(remote_gain gain, const data_centre_answers& local)
{
    const double local_ms = std::exp(local.new_ln_ms) + gain.local_trips_ms;
    gain.best_ms += gain.best_ms < 0 ? 0 : local_ms - gain.local_ms;
    gain.local_ms = local_ms;
    return gain;
}

/// Returns whether another local flow would be beyond the limit.
bool is_beyond_limit(const service_placement& service, std::uint32_t in_flight,
                     std::uint64_t random)
{
    return service.local_limit &&
           in_flight + unit_interval(hash_pair(random, in_flight)) >=
               *service.local_limit;
}

} // namespace

bool is_remote_better(const remote_placement& placement, const flow_to_place& flow)
{
    const auto found = placement.services.find(flow.service);
    if (found == placement.services.end())
    {
        return false;
    }
    const service_placement& service = found->second;
    const auto local = service.data_centres.find(flow.local);
    const auto remote = service.data_centres.find(flow.remote);
    return local != service.data_centres.end() && remote != service.data_centres.end() &&
           is_beyond_limit(service, local->second.in_flight, flow.random) &&
           unit_interval(hash_pair(flow.random, flow.remote.value)) <
               remote->second.share;
}

std::string_view to_string(remote_reason reason) noexcept
{
    switch (reason)
    {
    case remote_reason::no_local_target:
        return "no_local_target";
    case remote_reason::shorter_time:
        return "shorter_time";
    case remote_reason::trial:
        break;
    }
    return "trial";
}

void record_opening_time(remote_placement& placement, data_centre_id id, duration time)
{
    add_time(placement.openings[id], time);
}

void record_answered_request(remote_placement& placement, const answered_request& request,
                             time_point now)
{
    service_placement& service = placement.services[request.service];
    service.latency_goal = request.latency_goal;
    const double round_trip = round_trip_ms(placement, request.data_centre, 0);
    const double ms =
        std::max(min_request_ms, milliseconds_of(request.time) - round_trip);
    if (service.ln_idle_ms &&
        is_quick(from_milliseconds(ms), from_milliseconds(std::exp(*service.ln_idle_ms))))
    {
        return;
    }
    data_centre_answers& answers = service.data_centres[request.data_centre];
    ++answers.answers;
    const double factor = std::max(answer_smoothing_factor, 1.0 / answers.answers);
    answers.ln_ms += factor * (std::log(ms) - answers.ln_ms);
    answers.answered_at = now;
    if (now - request.time >= service.limit_effective_at)
    {
        ++answers.new_answers;
        answers.new_ln_ms += (std::log(ms) - answers.new_ln_ms) / answers.new_answers;
    }
}

void change_in_flight(remote_placement& placement, service_id service, data_centre_id id,
                      int change)
{
    std::uint32_t& in_flight = placement.services[service].data_centres[id].in_flight;
    in_flight += static_cast<std::uint32_t>(change);
}

void update_placement(remote_placement& placement, const flow_to_place& flow,
                      time_point now)
{
    service_placement& service = placement.services[flow.service];
    service.data_centres.try_emplace(flow.remote);
    data_centre_answers& local = service.data_centres[flow.local];
    service.was_limit_reached = service.was_limit_reached ||
                                is_beyond_limit(service, local.in_flight, flow.random);
    if (now < service.updated_at + update_interval)
    {
        return;
    }
    const duration step = std::min<duration>(now - service.updated_at, max_update_step);
    service.updated_at = now;
    update_idle_time(service, step);
    if (!service.ln_idle_ms)
    {
        return;
    }
    const remote_gain gain = update_shares(placement, service, flow, step, now);
    if (!service.local_limit)
    {
        update_local_limit(service, local, gain, flow.bearable_in_flight, now);
    }
    else if (local.new_answers >= answers_per_limit_change)
    {
        update_local_limit(service, local, gain_under_limit(gain, local),
                           flow.bearable_in_flight, now);
    }
}

} // namespace kumquatpath
