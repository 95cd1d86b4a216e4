/// \file
/// Tests of evidence about targets that peers report: what is accepted, and how far it is
/// heeded.

#include "target_evidence_fixture.hpp"

using namespace kumquatpath;
using namespace kumquatpath::test;
using namespace std::chrono_literals;

namespace
{

std::chrono::milliseconds in_ms(duration time)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(time);
}

} // namespace

TEST_GROUP_BASE(target_evidence, target_evidence_fixture){};

TEST(target_evidence, nothing_is_sent_or_used_unless_it_is_switched_on)
{
    self.steering.selector.options.uses_peer_evidence = false;
    hear(2, {about(0)});
    hear(3, {about(0)});
    LONGS_EQUAL(0, doubts(0));
    CHECK_TRUE(flows_to(0) > 0);
    leave_unanswered(self, 0);
    LONGS_EQUAL(0, report_of(self).size());
}

TEST(target_evidence, several_peers_count_more_than_one)
{
    hear(2, {about(0)});
    hear(2, {about(0)});
    CHECK_TRUE_TEXT(flows_to(0) > 0, "one peer keeps no repeatable request away");
    hear(2, {about(0)});
    LONGS_EQUAL_TEXT(0, flows_to(0, false), "one peer keeps the others away");
    hear(2, {about(0)});
    hear(3, {about(0)});
    LONGS_EQUAL(0, flows_to(0));
}

TEST(target_evidence, own_evidence_makes_one_peer_enough)
{
    leave_unanswered(self, 0);
    CHECK_TRUE_TEXT(flows_to(0) > 0, "one own overdue opening is not enough");
    hear(2, {about(0)});
    LONGS_EQUAL(0, flows_to(0));
}

TEST(target_evidence, a_doubted_target_is_used_when_the_others_are_full)
{
    hear(2, {about(0)});
    hear(3, {about(0)});
    for (target_index other = 1; other < target_count; ++other)
    {
        stats_of(self.steering.selector, self.directory, other).in_flight = 40;
    }
    LONGS_EQUAL(240, flows_to(0));
}

TEST(target_evidence, no_target_is_avoided_if_peers_doubt_more_than_a_third)
{
    for (target_index index = 0; index < 4; ++index)
    {
        hear(2, {about(index)});
        hear(3, {about(index)});
    }
    LONGS_EQUAL(0, flows_to(0));
    for (target_index index = 0; index < 5; ++index)
    {
        hear(2, {about(index)});
        hear(3, {about(index)});
    }
    CHECK_TRUE(flows_to(0) > 0);
    LONGS_EQUAL(0, self.steering.selector.services[web].targets_avoided_by_peer_reports);
}

TEST(target_evidence, a_peer_that_lies_does_not_empty_the_service)
{
    // It doubts every target but the last one, again and again, and calls that one fast
    // and the others slow.
    const target_index praised = target_count - 1;
    for (int round = 0; round < 100; ++round)
    {
        now += 20ms;
        for (target_index index = 0; index < praised; ++index)
        {
            hear(2, {about(index, evidence_kind::unanswered, 100),
                     about(index, evidence_kind::speed, 115)});
        }
        hear(2, {about(praised, evidence_kind::speed, -115)});
    }
    DOUBLES_EQUAL(1, speed(0), 0.001);
    DOUBLES_EQUAL(1, speed(praised), 0.001);
    CHECK_TRUE(flows_to(praised) < 60);
    CHECK_TRUE(flows_to(praised, false) < 60);
}

TEST(target_evidence, a_peer_that_doubts_all_targets_does_not_silence_the_others)
{
    for (target_index index = 1; index < target_count; ++index)
    {
        hear(2, {about(index)});
    }
    hear(3, {about(0)});
    hear(4, {about(0)});
    LONGS_EQUAL(0, flows_to(0));
}

TEST(target_evidence, a_peer_that_lies_about_a_speed_is_outvoted)
{
    hear(2, {about(0, evidence_kind::speed, -115)});
    hear(3, {about(0, evidence_kind::speed, 25)});
    DOUBLES_EQUAL_TEXT(1, speed(0), 0.001, "two peers that contradict each other");
    hear(4, {about(0, evidence_kind::speed, 30)});
    CHECK_TRUE(speed(0) < 0.9);
}

TEST(target_evidence, doubt_ends_with_age)
{
    hear(2, {about(0)});
    hear(3, {about(0)});
    LONGS_EQUAL(2, doubts(0));
    now += max_doubt_age;
    LONGS_EQUAL(0, doubts(0));
    CHECK_TRUE(flows_to(0) > 0);
}

TEST(target_evidence, a_peer_that_lags_reports_the_age_that_its_evidence_has)
{
    target_evidence late = about(0);
    late.age = 4900ms;
    hear(2, {late});
    LONGS_EQUAL(1, doubts(0));
    now += 100ms;
    LONGS_EQUAL(0, doubts(0));
    late.age = 5000ms;
    hear(2, {late});
    LONGS_EQUAL(1, dropped(evidence_drop::too_old));
}

TEST(target_evidence, doubt_ends_with_the_incarnation_of_the_target)
{
    const target_evidence old = about(0);
    hear(2, {old});
    hear(3, {old, about(0, evidence_kind::speed, 30)});
    hear(4, {about(0, evidence_kind::speed, 30)});
    announce(self, 1, 100, 77);
    LONGS_EQUAL(0, doubts(0));
    DOUBLES_EQUAL(1, speed(0), 0.001);
    hear(2, {old});
    LONGS_EQUAL(0, doubts(0));
    LONGS_EQUAL(1, dropped(evidence_drop::other_incarnation));
}

TEST(target_evidence, an_own_answered_opening_that_is_newer_ends_it_at_once)
{
    hear(2, {about(0)});
    hear(3, {about(0)});
    now += 10ms;
    answer_opening(self, 0);
    LONGS_EQUAL(0, doubts(0));
    now += 10ms;
    hear(4, {about(0)});
    LONGS_EQUAL_TEXT(1, doubts(0), "newer than the own answer");
}

TEST(target_evidence, only_an_answer_that_took_work_refutes_quick_answers)
{
    // A target that resets requests still answers openings.
    hear(2, {about(0, evidence_kind::quick_answers)});
    now += 10ms;
    answer_opening(self, 0);
    LONGS_EQUAL(1, doubts(0));
    answer_request(self, 0, 60ms);
    LONGS_EQUAL(0, doubts(0));
}

TEST(target_evidence, a_peer_that_is_silent_or_has_restarted_counts_for_nothing)
{
    hear(2, {about(0)});
    hear(3, {about(0)});
    hear(2, {}, north, 2);
    LONGS_EQUAL_TEXT(1, doubts(0), "peer 2 has restarted");
    hear(4, {about(0, evidence_kind::speed, 40)});
    hear(5, {about(0, evidence_kind::speed, 40)});
    CHECK_TRUE(speed(0) < 0.9);
    now += 4s;
    tick(self, now);
    LONGS_EQUAL(0, doubts(0));
    DOUBLES_EQUAL(1, speed(0), 0.001);
}

TEST(target_evidence, a_new_instance_starts_from_the_evidence_of_its_peers)
{
    self = make(1);
    fill_directory(self);
    for (const std::uint32_t peer : {2, 3})
    {
        hear(peer, {about(0), about(1, evidence_kind::speed, 50)});
    }
    CHECK_TRUE(speed(1) < 0.8);
    LONGS_EQUAL(0, flows_to(0));
}

TEST(target_evidence, what_is_malformed_or_contradictory_is_counted_and_dropped)
{
    hear(2, {about(0, evidence_kind::unanswered, 0)});
    hear(2, {about(0, evidence_kind::speed, 127)});
    hear(2, {about(0, static_cast<evidence_kind>(3), 1)});
    LONGS_EQUAL(3, dropped(evidence_drop::malformed));
    hear(2, {about(0, evidence_kind::speed, 40), about(0, evidence_kind::speed, -40)});
    LONGS_EQUAL(2, dropped(evidence_drop::contradictory));
    hear(2, {{.target = {0xdead}, .level = 1}});
    LONGS_EQUAL(1, dropped(evidence_drop::unknown_target));
    hear(2, {about(0)}, south);
    LONGS_EQUAL(1, dropped(evidence_drop::remote));
    LONGS_EQUAL(0, self.evidence.accepted);
    LONGS_EQUAL(0, doubts(0));
}

TEST(target_evidence, entries_beyond_the_limit_are_dropped)
{
    std::vector<target_evidence> evidence;
    for (target_index index = 0; index < 8; ++index)
    {
        evidence.push_back(about(index));
    }
    hear(2, evidence);
    LONGS_EQUAL(2, dropped(evidence_drop::too_many));
    LONGS_EQUAL(6, self.evidence.accepted);
    LONGS_EQUAL(0, doubts(7));
}

TEST(target_evidence, a_speed_counts_up_to_its_own_limit_of_age)
{
    target_evidence slow = about(0, evidence_kind::speed, 60);
    slow.age = in_ms(max_speed_report_age) - 1s;
    hear(2, {slow});
    hear(3, {slow});
    CHECK_TRUE(speed(0) < 0.95);
    LONGS_EQUAL(0, dropped(evidence_drop::too_old));
    slow.age = in_ms(max_speed_report_age);
    hear(4, {slow});
    LONGS_EQUAL(1, dropped(evidence_drop::too_old));
    now += 1s;
    tick(self, now);
    DOUBLES_EQUAL(1, speed(0), 0.001);
}

TEST(target_evidence, a_reported_speed_fades_with_the_age_of_the_answers)
{
    target_evidence slow = about(0, evidence_kind::speed, 60);
    hear(2, {slow});
    hear(3, {slow});
    slow.target = about(1).target;
    slow.age = 15s;
    hear(2, {slow});
    hear(3, {slow});
    CHECK_TRUE(speed(0) + 0.1 < speed(1));
    CHECK_TRUE(speed(1) < 0.99);
}

TEST(target_evidence, a_speed_that_a_peer_reported_before_its_restart_ends_at_once)
{
    hear(2, {about(0, evidence_kind::speed, 40)});
    hear(3, {about(0, evidence_kind::speed, 40)});
    CHECK_TRUE(speed(0) < 0.9);
    hear(2, {}, north, 2);
    DOUBLES_EQUAL_TEXT(1, speed(0), 0.001, "one report alone counts for nothing");
}
