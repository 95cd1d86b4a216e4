/// \file
/// Admission control: who is refused, and what each lane keeps.

#include <kumquatpath/decision/admission.hpp>
#include <kumquatpath/decision/invariant.hpp>

#include <algorithm>
#include <deque>
#include <random>

#include <CppUTest/TestHarness.h>

using namespace kumquatpath;
using namespace std::chrono_literals;

namespace
{

constexpr service_id catalogue{7};
constexpr class_id look_ups{1};
constexpr class_id submissions{2};
constexpr tenant_id rangers{1};
constexpr tenant_id schools{2};
constexpr target_id some_target{1};

/// A service on four targets, with an urgent and a less urgent class.
configuration small_configuration()
{
    configuration whole;
    whole.data_centres = {{.id = {1}, .name = "nairobi-1"}};
    whole.pools = {{.name = "catalogue"}};
    for (std::uint32_t i = 1; i <= 4; ++i)
    {
        whole.pools[0].targets.push_back({.id = {i}, .data_centre = {1}});
    }
    whole.services = {{.id = catalogue, .name = "catalogue", .pool = 0}};
    whole.tenants = {{.id = rangers, .name = "rangers"},
                     {.id = schools, .name = "schools"}};
    whole.classes = {{.id = look_ups, .name = "look-ups", .priority = 0},
                     {.id = submissions, .name = "submissions", .priority = 1}};
    return whole;
}

admission small_admission(const configuration& whole = small_configuration())
{
    admission state;
    configure(state, whole);
    return state;
}

packet_header request_of(tenant_id tenant, class_id traffic_class)
{
    return {.service = catalogue, .tenant = tenant, .traffic_class = traffic_class};
}

/// One request that was admitted.
struct pending_request
{
    time_point admitted;
    time_point due;
    admitted_work work;
};

/// Offers work to one instance. The targets answer in the order of arrival, in 10 ms, but
/// no faster than 400 requests a second.
struct offering
{
    admission& state;
    time_point now{};
    std::deque<pending_request> in_flight{};
    std::uint32_t next_target = 0;

    void finish_due()
    {
        while (!in_flight.empty() && in_flight.front().due <= now)
        {
            const pending_request& first = in_flight.front();
            note_finished(state, first.work, request_end::answered,
                          first.due - first.admitted, first.due);
            in_flight.pop_front();
        }
    }

    bool offer(const packet_header& header)
    {
        finish_due();
        next_target = next_target % 4 + 1;
        const admission_result result = admit(state, header, {next_target}, now);
        if (result.admitted)
        {
            const time_point free = in_flight.empty() ? now : in_flight.back().due;
            in_flight.push_back({.admitted = now,
                                 .due = std::max(now + 10ms, free + 2500us),
                                 .work = result.work});
        }
        return result.admitted;
    }

    /// Returns how many of \p rate requests a second are admitted in \p span.
    std::size_t offer(const packet_header& header, int rate, std::chrono::seconds span)
    {
        std::size_t admitted = 0;
        const auto count = rate * span.count();
        for (std::int64_t i = 0; i < count; ++i)
        {
            now += duration(1s) / rate;
            admitted += offer(header) ? 1U : 0U;
        }
        return admitted;
    }
};

/// Offers 100 requests a second of each of two lanes for 20 s, then floods one with fifty
/// times as many; returns how many of the other's next 1000 requests were admitted.
std::size_t kept_in_a_flood(const packet_header& other, const packet_header& flood)
{
    admission state = small_admission();
    offering load{.state = state};
    std::size_t kept = 0;
    for (int i = 0; i < 3000; ++i)
    {
        const bool is_flooded = i >= 2000;
        load.now += 10ms;
        const bool admitted = load.offer(other);
        kept += is_flooded && admitted ? 1U : 0U;
        for (int copy = 0; copy < (is_flooded ? 50 : 1); ++copy)
        {
            load.offer(flood);
        }
    }
    return kept;
}

} // namespace

TEST_GROUP(admission){void setup() override{violation_policy_is(violation_policy::abort);
}

void teardown() override
{
    violation_policy_is(violation_policy::count);
}
}
;

TEST(admission, a_service_that_is_not_configured_is_refused)
{
    admission state = small_admission();
    const auto result = admit(state, {.service = {99}}, some_target, time_point(1s));

    CHECK_FALSE(result.admitted);
    CHECK_TRUE(result.reason == refusal_reason::no_target);
}

TEST(admission, usual_work_is_never_refused)
{
    admission state = small_admission();
    offering load{.state = state};

    LONGS_EQUAL(2000, load.offer(request_of(rangers, look_ups), 100, 20s));
}

TEST(admission, a_configured_service_limit_holds_within_its_burst)
{
    configuration whole = small_configuration();
    whole.services[0].requests_per_second = 50;
    admission state = small_admission(whole);
    offering load{.state = state};
    const std::size_t admitted = load.offer(request_of(rangers, look_ups), 500, 10s);

    CHECK_COMPARE(admitted, <=, 10 * 50 + 50);
    CHECK_COMPARE(admitted, >=, 10 * 50 * 95 / 100);
}

TEST(admission, a_request_of_an_open_flow_is_taken_beyond_every_limit)
{
    configuration whole = small_configuration();
    whole.services[0].requests_per_second = 1;
    admission state = small_admission(whole);
    packet_header header = request_of(rangers, look_ups);
    while (admit(state, header, some_target, time_point{1s}).admitted)
    {
    }
    header.kind = packet_kind::data;

    for (int i = 0; i < 100; ++i)
    {
        CHECK_TRUE(admit(state, header, some_target, time_point{1s}).admitted);
    }
}

TEST(admission, a_refusal_names_the_limit_that_it_hit)
{
    configuration whole = small_configuration();
    whole.tenants[0].requests_per_second = 1;
    whole.classes[1].requests_per_second = 1;
    admission state = small_admission(whole);
    refusal_reason by_tenant = refusal_reason::none;
    refusal_reason by_class = refusal_reason::none;
    for (int i = 0; i < 20; ++i)
    {
        const time_point now(1s);
        by_tenant = admit(state, request_of(rangers, look_ups), some_target, now).reason;
        by_class =
            admit(state, request_of(schools, submissions), some_target, now).reason;
    }

    CHECK_TRUE(by_tenant == refusal_reason::tenant_limit);
    CHECK_TRUE(by_class == refusal_reason::class_limit);
}

TEST(admission, an_urgent_flood_leaves_a_less_urgent_lane_what_it_usually_carries)
{
    const std::size_t kept =
        kept_in_a_flood(request_of(rangers, submissions), request_of(rangers, look_ups));

    CHECK_COMPARE(kept, >=, 990);
}

TEST(admission, a_flooding_tenant_leaves_another_one_of_its_class_its_share)
{
    const std::size_t kept =
        kept_in_a_flood(request_of(rangers, look_ups), request_of(schools, look_ups));

    CHECK_COMPARE(kept, >=, 990);
}

TEST(admission, a_lane_without_history_is_not_starved_by_an_urgent_flood)
{
    admission state = small_admission();
    offering load{.state = state};
    load.offer(request_of(rangers, look_ups), 2000, 10s);
    std::size_t kept = 0;
    for (int i = 0; i < 1000; ++i)
    {
        load.now += 10ms;
        for (int flood = 0; flood < 20; ++flood)
        {
            load.offer(request_of(rangers, look_ups));
        }
        kept += load.offer(request_of(rangers, submissions)) ? 1U : 0U;
    }

    CHECK_COMPARE(kept, >, 100);
}

TEST(admission, unlisted_tenants_share_one_lane)
{
    admission state = small_admission();
    for (std::uint16_t i = 100; i < 5000; ++i)
    {
        admit(state, request_of({i}, look_ups), some_target, time_point(1s));
    }

    LONGS_EQUAL(1, state.lanes.size());
}

TEST(admission, a_full_table_sends_further_lanes_to_the_shared_one)
{
    configuration whole = small_configuration();
    for (std::uint16_t i = 100; i < 3000; ++i)
    {
        whole.tenants.push_back({.id = {i}});
    }
    admission state = small_admission(whole);
    for (std::uint16_t i = 100; i < 3000; ++i)
    {
        admit(state, request_of({i}, look_ups), some_target, time_point(1s));
    }

    LONGS_EQUAL(most_lanes + 1, state.lanes.size());
}

TEST(admission, a_newcomer_guarantees_what_its_peers_admit)
{
    admission state = small_admission();
    const usage told{.service = catalogue,
                     .tenant = rangers,
                     .traffic_class = submissions,
                     .offered = 40,
                     .admitted = 40};
    note_peer_usages(state, std::span(&told, 1), time_point(1s));
    const bucket_rate rate = guarantee_of(state.lanes[0], time_point(1s));

    CHECK_COMPARE(rate.per_second, >=, 40);
}

TEST(admission, a_newcomer_learns_from_its_peers_that_a_flood_is_on)
{
    admission state = small_admission();
    const usage told{.service = catalogue,
                     .tenant = rangers,
                     .traffic_class = look_ups,
                     .offered = 400,
                     .admitted = 40};
    CHECK_FALSE(is_pressed(state.pools[0].capacity, time_point(1s)));
    note_peer_usages(state, std::span(&told, 1), time_point(1s));

    CHECK_TRUE(is_pressed(state.pools[0].capacity, time_point(1s)));
}

TEST(admission, a_newcomer_does_not_take_flooded_latencies_for_the_usual_ones)
{
    admission_lane lane{.first_seen = time_point(1s)};
    for (int i = 0; i < 100; ++i)
    {
        note_latency(lane, 27ms, false, time_point(2s));
    }
    LONGS_EQUAL(0, lane.base.samples);
    DOUBLES_EQUAL(0.020, in_seconds(expected_latency(lane)), 1e-6);
    for (int i = 0; i < 100; ++i)
    {
        note_latency(lane, 10ms, false, time_point(5s));
    }

    DOUBLES_EQUAL(0.010, in_seconds(expected_latency(lane)), 1e-6);
}

TEST(admission, a_base_learned_under_pressure_does_not_follow_the_latency)
{
    admission_lane lane{.first_seen = time_point(1s)};
    for (int i = 0; i < 1000; ++i)
    {
        note_latency(lane, i < 100 ? 27ms : 60ms, true, time_point(5s));
    }

    DOUBLES_EQUAL(0.020, in_seconds(expected_latency(lane)), 1e-6);
}

TEST(admission, a_heartbeat_tells_every_lane_in_turn)
{
    configuration whole = small_configuration();
    for (std::uint16_t i = 100; i < 130; ++i)
    {
        whole.tenants.push_back({.id = {i}});
    }
    admission state = small_admission(whole);
    for (std::uint16_t i = 100; i < 130; ++i)
    {
        admit(state, request_of({i}, look_ups), some_target, time_point(1s));
    }
    std::vector<bool> told(130);
    for (int beat = 0; beat < 20; ++beat)
    {
        const auto usages_now = usages(state, time_point(1s + beat * 250ms));
        CHECK_COMPARE(usages_now.size(), <=, most_usages_told);
        for (const usage& each : usages_now)
        {
            told[each.tenant.value] = true;
        }
    }

    LONGS_EQUAL(30, std::ranges::count(told, true));
}

TEST(admission, a_change_of_configuration_keeps_what_was_learned)
{
    admission state = small_admission();
    offering load{.state = state};
    load.offer(request_of(rangers, look_ups), 100, 10s);
    const double usual = state.lanes[0].usual;
    const double limit = state.pools[0].capacity.limit;
    configure(state, small_configuration());

    DOUBLES_EQUAL(usual, state.lanes[0].usual, 1e-9);
    DOUBLES_EQUAL(limit, state.pools[0].capacity.limit, 1e-9);
}

TEST(admission, random_loads_keep_the_counts_and_bounds_whole)
{
    std::mt19937_64 random(20261204);
    admission state = small_admission();
    std::deque<admitted_work> in_flight;
    time_point now(1s);
    for (int i = 0; i < 200'000; ++i)
    {
        now += std::chrono::microseconds(random() % 2000);
        const packet_header header =
            request_of({static_cast<std::uint16_t>(random() % 4)},
                       {static_cast<std::uint16_t>(random() % 4)});
        const target_id target{static_cast<std::uint32_t>(random() % 6)};
        const admission_result result = admit(state, header, target, now);
        CHECK_EQUAL(result.admitted, result.reason == refusal_reason::none);
        if (result.admitted)
        {
            in_flight.push_back(result.work);
        }
        if (random() % 1000 == 0)
        {
            configure(state, small_configuration());
        }
        while (!in_flight.empty() && random() % 3 != 0)
        {
            const auto end = static_cast<request_end>(random() % 4);
            note_finished(state, in_flight.front(), end,
                          std::chrono::milliseconds(random() % 500), now);
            in_flight.pop_front();
        }
        CHECK_EQUAL(in_flight.size(), state.pools[0].capacity.in_flight);
    }
}
