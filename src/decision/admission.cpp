#include "admission_tables.hpp"

#include <kumquatpath/decision/admission.hpp>

#include <algorithm>
#include <cmath>
#include <optional>

namespace kumquatpath
{
namespace
{

/// The burst of a configured limit: some requests, and the work of some time, in seconds.
constexpr double limit_burst_requests = 8;
constexpr double limit_burst_seconds = 0.25;
/// The part of a burst that only guaranteed work may use.
constexpr double guaranteed_reserve = 0.5;
/// The part of the learned limit that each step of priority leaves to more urgent work.
constexpr double priority_step = 0.1;
constexpr int most_priority_steps = 3;
/// A peer that is offered more than this, in requests a second, and admits less than this
/// part of it, is refusing work.
constexpr double least_told = 5;
constexpr double told_admitted = 0.8;
/// A lane with a guarantee below this, in requests a second, may use the floor.
constexpr double least_guarantee = 10;
/// The part of the learned limit that is the floor of all busy lanes together.
constexpr double floor_part = 0.2;
/// How long a lane's rounded part of the floor stands.
constexpr duration floor_turn = std::chrono::milliseconds(100);

/// Everything that the decision on one request looks at.
struct request_view
{
    admission_lane& lane;
    admission_pool& pool;
    rate_limit<service_id>& service;
    rate_limit<tenant_id>* tenant = nullptr;
    rate_limit<class_id>* traffic_class = nullptr;
    target_id target;
};

template <class Id>
bucket_rate rate_of(const rate_limit<Id>& limit, double share) noexcept
{
    const double rate = limit.fleet_rate * share;
    return {.per_second = rate,
            .depth = limit_burst_requests + rate * limit_burst_seconds};
}

/// Returns whether \p limit lets one more request in.
template <class Id>
bool allows(rate_limit<Id>& limit, double share, bool is_guaranteed,
            time_point now) noexcept
{
    if (limit.fleet_rate == 0)
    {
        return true;
    }
    const bucket_rate rate = rate_of(limit, share);
    refill(limit.bucket, rate, now);
    return has_token(limit.bucket, is_guaranteed ? 0 : rate.depth * guaranteed_reserve);
}

refusal_reason configured_refusal(const admission& state, const request_view& view,
                                  time_point now) noexcept
{
    const double share = fleet_share(state.fleet, now);
    const bool is_guaranteed = has_token(view.lane.guaranteed);
    if (view.tenant != nullptr && !allows(*view.tenant, share, is_guaranteed, now))
    {
        return refusal_reason::tenant_limit;
    }
    if (view.traffic_class != nullptr &&
        !allows(*view.traffic_class, share, is_guaranteed, now))
    {
        return refusal_reason::class_limit;
    }
    return allows(view.service, share, is_guaranteed, now)
               ? refusal_reason::none
               : refusal_reason::service_limit;
}

/// Returns whether the lane has less in flight than its part of the floor. A part below
/// one request is granted in turns.
bool is_below_floor(const request_view& view, time_point now) noexcept
{
    constexpr double range = 0x1p-64;
    const auto busy = static_cast<double>(std::max<std::size_t>(view.pool.busy_lanes, 1));
    const double part = view.pool.capacity.limit * floor_part / busy;
    const lane_key& key = view.lane.key;
    const std::uint64_t work =
        (static_cast<std::uint64_t>(key.tenant.value) << 16U) | key.traffic_class.value;
    const auto turn = static_cast<std::uint64_t>(now.time_since_epoch() / floor_turn);
    const double fraction = static_cast<double>(mix(work, turn)) * range;
    return view.lane.in_flight < std::floor(part + fraction);
}

double usable_fraction(const admission_lane& lane) noexcept
{
    return 1 - priority_step * std::min<int>(lane.priority, most_priority_steps);
}

bool has_guarantee(const request_view& view, double fraction) noexcept
{
    return has_token(view.lane.guaranteed) &&
           is_below_ceiling(view.pool.capacity, fraction);
}

/// Returns how the pool lets the request in, or nothing. A lane that is flooded uses up
/// its guarantee with what the learned limit lets in, so that it has none left beside it.
std::optional<room_kind> room_for(const admission& state, const request_view& view,
                                  time_point now) noexcept
{
    const double fraction = usable_fraction(view.lane);
    const bool is_guaranteed = has_guarantee(view, fraction);
    if (is_guaranteed && !is_flooded(view.lane, now))
    {
        return room_kind::guaranteed;
    }
    if (has_room(view.pool.capacity, state.fleet, view.target, fraction, now))
    {
        return room_kind::surplus;
    }
    const bool is_poor = guarantee_of(view.lane, now).per_second < least_guarantee;
    if (is_guaranteed || (is_poor && is_below_floor(view, now)))
    {
        return room_kind::guaranteed;
    }
    return std::nullopt;
}

void take(token_bucket& bucket) noexcept
{
    bucket.tokens = std::max(bucket.tokens - 1, 0.0);
}

void occupy(const request_view& view, room_kind kind) noexcept
{
    take(view.lane.guaranteed);
    take(view.service.bucket);
    if (view.tenant != nullptr)
    {
        take(view.tenant->bucket);
    }
    if (view.traffic_class != nullptr)
    {
        take(view.traffic_class->bucket);
    }
    view.pool.busy_lanes += view.lane.in_flight == 0 ? 1U : 0U;
    ++view.lane.in_flight;
    note_started(view.pool.capacity, view.target, kind);
}

/// Admits the request, which then occupies its place.
admission_result take_place(const request_view& view, room_kind kind) noexcept
{
    occupy(view, kind);
    return {.admitted = true,
            .work = {.lane = view.lane.key,
                     .pool = view.pool.id,
                     .target = view.target,
                     .kind = kind}};
}

/// Decides on the request, and takes what it needs when it is admitted.
admission_result decide(const admission& state, const request_view& view,
                        time_point now) noexcept
{
    const refusal_reason configured = configured_refusal(state, view, now);
    if (configured != refusal_reason::none)
    {
        note_limited(view.pool.capacity);
        return {.reason = configured};
    }
    const std::optional<room_kind> kind = room_for(state, view, now);
    if (!kind)
    {
        note_no_room(view.pool.capacity);
        return {.reason = refusal_reason::overload};
    }
    return take_place(view, *kind);
}

/// Returns whether a peer tells that it refuses much of a lane.
bool is_refused_much(const usage& told) noexcept
{
    return told.offered > least_told && told.admitted < told.offered * told_admitted;
}

admission_pool& pool_of(admission& state, service_id service) noexcept
{
    return *find_entry(state.pools, find_entry(state.services, service)->pool);
}

double own_rate(const admission& state, const lane_key& key, time_point now) noexcept
{
    const admission_lane* lane = find_sorted(state.lanes, key, &admission_lane::key);
    return lane != nullptr ? rate_at(lane->offered, now) : 0;
}

} // namespace

admission_result admit(admission& state, const packet_header& header, target_id target,
                       time_point now)
{
    admission_service* service = find_entry(state.services, header.service);
    if (service == nullptr)
    {
        return {.reason = refusal_reason::no_target};
    }
    admission_pool& pool = *find_entry(state.pools, service->pool);
    admission_lane& lane = lane_of(state,
                                   {.service = header.service,
                                    .tenant = header.tenant,
                                    .traffic_class = header.traffic_class},
                                   now);
    admission_class* listed = find_entry(state.classes, header.traffic_class);
    const request_view view{.lane = lane,
                            .pool = pool,
                            .service = service->limit,
                            .tenant = find_entry(state.tenants, header.tenant),
                            .traffic_class = listed != nullptr ? &listed->limit : nullptr,
                            .target = target};
    roll(lane, now);
    admission_result result = decide(state, view, now);
    // A flow was admitted when it was opened; refusing it later would break a transfer.
    if (!result.admitted && header.kind == packet_kind::data)
    {
        result = take_place(view, room_kind::guaranteed);
    }
    note_decision(lane, result.admitted, now);
    return result;
}

void note_finished(admission& state, const admitted_work& work, request_end end,
                   duration latency, time_point now)
{
    admission_pool* pool = find_entry(state.pools, work.pool);
    if (pool == nullptr)
    {
        return;
    }
    latency_sample sample{.end = end, .latency = latency, .kind = work.kind};
    admission_lane* lane = find_sorted(state.lanes, work.lane, &admission_lane::key);
    if (lane != nullptr)
    {
        sample.expected = expected_latency(*lane);
        sample.is_flooded = is_flooded(*lane, now);
        if (end == request_end::answered)
        {
            note_latency(*lane, latency, is_pressed(pool->capacity, now), now);
        }
        const bool was_busy = lane->in_flight > 0;
        lane->in_flight -= was_busy ? 1U : 0U;
        const bool went_idle = was_busy && lane->in_flight == 0;
        pool->busy_lanes -= went_idle && pool->busy_lanes > 0 ? 1U : 0U;
    }
    note_ended(pool->capacity, state.fleet, work.target, sample, now);
}

void note_members(admission& state, const member_view& view, time_point now)
{
    note_members(state.fleet, view, now);
}

void note_peer_usages(admission& state, std::span<const usage> told, time_point now)
{
    double peer_rate = 0;
    double own = 0;
    for (const usage& each : told)
    {
        const lane_key key{.service = each.service,
                           .tenant = each.tenant,
                           .traffic_class = each.traffic_class};
        if (find_entry(state.services, key.service) == nullptr)
        {
            continue;
        }
        peer_rate += each.offered;
        own += own_rate(state, key, now);
        note_peer_usage(lane_of(state, key, now), each, now);
        if (is_refused_much(each))
        {
            note_pressed_peers(pool_of(state, key.service).capacity, now);
        }
    }
    note_peer_rate(state.fleet, peer_rate, own, now);
}

std::vector<usage> usages(const admission& state, time_point now)
{
    constexpr duration turn = std::chrono::milliseconds(250);
    const std::size_t count = state.lanes.size();
    const auto turns = static_cast<std::size_t>(now.time_since_epoch() / turn);
    const std::size_t first = count > most_usages_told ? turns * most_usages_told : 0;
    std::vector<usage> told;
    for (std::size_t i = 0; i < std::min(count, most_usages_told); ++i)
    {
        const admission_lane& lane = state.lanes[(first + i) % count];
        told.push_back({.service = lane.key.service,
                        .tenant = lane.key.tenant,
                        .traffic_class = lane.key.traffic_class,
                        .offered = static_cast<float>(rate_at(lane.offered, now)),
                        .admitted = static_cast<float>(rate_at(lane.admitted, now))});
    }
    return told;
}

} // namespace kumquatpath
