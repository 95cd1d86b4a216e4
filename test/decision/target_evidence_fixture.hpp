#ifndef KUMQUATPATH_TEST_DECISION_TARGET_EVIDENCE_FIXTURE_HPP
#define KUMQUATPATH_TEST_DECISION_TARGET_EVIDENCE_FIXTURE_HPP

/// \file
/// An instance with proven targets that hears evidence from peers.

#include "entry_fixture.hpp"

#include <CppUTest/TestHarness.h>

namespace kumquatpath::test
{

using namespace std::chrono_literals;

inline constexpr std::uint32_t target_count = 12;

struct target_evidence_fixture : Utest
{
    time_point now{100s};
    entry_instance self = make(1);
    std::uint64_t sequence = 0;
    std::uint64_t random = 7;

    static entry_instance make(std::uint32_t id)
    {
        return make_entry_instance(
            {.self = {id},
             .local_data_centre = north,
             .incarnation = 1,
             .selection = {.uses_speeds = true, .uses_peer_evidence = true}});
    }

    target_evidence_fixture()
    {
        fill_directory(self);
        make_proven(self);
    }

    void fill_directory(entry_instance& instance)
    {
        for (std::uint32_t key = 1; key <= target_count; ++key)
        {
            announce(instance, key, key, 0);
        }
    }

    void announce(entry_instance& instance, std::uint64_t key, std::uint64_t revision,
                  std::uint64_t incarnation)
    {
        target_change change = announcement(key, revision);
        change.record->incarnation = incarnation;
        apply_change(instance.directory, change, now);
    }

    /// Lets all targets be known for long enough.
    void make_proven(entry_instance& instance)
    {
        place(instance, true);
        now += 10s;
        place(instance, true);
        instance.steering.selector.services[web].limit.max_in_flight = 1000;
    }

    const target_index* place(entry_instance& instance, bool is_repeatable)
    {
        random = hash_pair(random, 1);
        return select_target(instance.steering.selector, instance.directory,
                             {.service = web,
                              .may_wait = true,
                              .is_repeatable = is_repeatable,
                              .random = random},
                             now);
    }

    /// Returns how many of 240 flows go to the target at \p index. A second passes.
    int flows_to(target_index index, bool is_repeatable = true)
    {
        now += 60ms;
        place(self, is_repeatable);
        int flows = 0;
        for (int i = 0; i < 240; ++i)
        {
            now += 4ms;
            const target_index* const target = place(self, is_repeatable);
            flows += target != nullptr && *target == index ? 1 : 0;
        }
        return flows;
    }

    target_evidence about(target_index index,
                          evidence_kind kind = evidence_kind::unanswered,
                          std::int8_t level = 1) const
    {
        const known_target& target = self.directory.targets[index];
        return {.target = target.token,
                .incarnation = incarnation_check(target.record.incarnation),
                .kind = kind,
                .level = level};
    }

    /// Has the peer \p id send \p evidence.
    void hear(std::uint32_t id, std::vector<target_evidence> evidence,
              data_centre_id data_centre = north, std::uint64_t incarnation = 1)
    {
        const fleet_heartbeat heartbeat{.incarnation = incarnation,
                                        .address = {.address = id, .port = 1},
                                        .data_centre = data_centre,
                                        .evidence = std::move(evidence)};
        handle_heartbeat(self, {.sender = {id}, .sequence = ++sequence}, heartbeat, now);
    }

    std::uint64_t dropped(evidence_drop reason) const
    {
        return self.evidence.dropped[static_cast<std::size_t>(reason)];
    }

    std::uint32_t doubts(target_index index)
    {
        return reports_against(stats_of(self.steering.selector, self.directory, index),
                               now);
    }

    double speed(target_index index)
    {
        return speed_of(stats_of(self.steering.selector, self.directory, index).speed,
                        now);
    }

    void leave_unanswered(entry_instance& instance, target_index index)
    {
        record_opening_overdue(instance.steering.selector, instance.directory, index,
                               now);
    }

    void answer_opening(entry_instance& instance, target_index index)
    {
        record_opening_answered(instance.steering.selector, instance.directory, index,
                                now, now);
    }

    void answer_request(entry_instance& instance, target_index index, duration time)
    {
        record_request_answered(instance.steering.selector, instance.directory, index,
                                time, 0ms, now);
    }

    std::vector<target_evidence> report_of(entry_instance& instance)
    {
        fleet_heartbeat heartbeat;
        add_evidence(instance, heartbeat, now);
        return heartbeat.evidence;
    }
};

} // namespace kumquatpath::test

#endif
