/// \file
/// Tests of the evidence about targets that an instance reports to its peers.

#include "target_evidence_fixture.hpp"

#include <cmath>
#include <map>

using namespace kumquatpath;
using namespace kumquatpath::test;
using namespace std::chrono_literals;

TEST_GROUP_BASE(target_evidence_report, target_evidence_fixture){};

TEST(target_evidence_report, peer_reports_are_not_passed_on)
{
    hear(2, {about(0), about(1, evidence_kind::speed, 50)});
    hear(3, {about(0), about(1, evidence_kind::speed, 50)});
    LONGS_EQUAL(0, report_of(self).size());
}

TEST(target_evidence_report, own_evidence_is_reported_and_understood_by_a_peer)
{
    entry_instance peer = make(2);
    fill_directory(peer);
    make_proven(peer);
    leave_unanswered(peer, 3);
    now += 1s;
    answer_opening(peer, 0);
    leave_unanswered(peer, 4);
    const std::vector<target_evidence> report = report_of(peer);
    LONGS_EQUAL(2, report.size());
    CHECK_TRUE_TEXT(report[0].target == about(4).target, "the newest goes first");
    hear(2, report);
    LONGS_EQUAL(1, doubts(3));
    LONGS_EQUAL(1, doubts(4));
    LONGS_EQUAL(0, doubts(5));
    LONGS_EQUAL(2, peer.evidence.sent);
    LONGS_EQUAL(2, self.evidence.accepted);
}

TEST(target_evidence_report, quick_answers_and_speeds_are_reported)
{
    for (int round = 0; round < 8; ++round)
    {
        for (target_index index = 0; index < 4; ++index)
        {
            now += 5ms;
            answer_request(self, index, index == 1 ? 180ms : 60ms);
        }
    }
    now += 60ms;
    place(self, true);
    for (int i = 0; i < 3; ++i)
    {
        answer_request(self, 2, 1ms);
    }
    const std::vector<target_evidence> report = report_of(self);
    LONGS_EQUAL(5, report.size());
    CHECK_TRUE(report[0].kind == evidence_kind::quick_answers);
    CHECK_TRUE(report[0].target == about(2).target);
    for (std::size_t i = 1; i < report.size(); ++i)
    {
        CHECK_TRUE(report[i].kind == evidence_kind::speed);
        CHECK_EQUAL(report[i].target == about(1).target, report[i].level > 30);
    }
}

TEST(target_evidence_report,
     an_instance_that_is_cut_off_from_its_targets_reports_no_doubts)
{
    leave_unanswered(self, 0);
    leave_unanswered(self, 1);
    LONGS_EQUAL(2, report_of(self).size());
    leave_unanswered(self, 2);
    LONGS_EQUAL_TEXT(0, report_of(self).size(), "the data centre looks suspect");
    for (target_index index = 3; index < 8; ++index)
    {
        leave_unanswered(self, index);
    }
    now += 1ms;
    answer_opening(self, 11);
    LONGS_EQUAL_TEXT(0, report_of(self).size(), "most targets look bad");
}

TEST(target_evidence_report, an_instance_reports_no_doubts_while_flows_are_rehashed)
{
    leave_unanswered(self, 0);
    LONGS_EQUAL(1, report_of(self).size());
    self.steering.rehash_window_start = now;
    self.steering.flows_opened_elsewhere = 100;
    LONGS_EQUAL(0, report_of(self).size());
}

TEST(target_evidence_report, a_report_has_no_more_entries_than_its_limit)
{
    leave_unanswered(self, 0);
    leave_unanswered(self, 1);
    for (int round = 0; round < 10; ++round)
    {
        for (target_index index = 2; index < target_count; ++index)
        {
            now += 1ms;
            answer_request(self, index, 60ms);
        }
    }
    LONGS_EQUAL(max_evidence_per_heartbeat, report_of(self).size());
    const auto few = evidence_to_report(
        self.steering, self.directory,
        {.max_count = max_evidence_per_heartbeat_in_large_fleet, .random = 3}, now);
    LONGS_EQUAL(max_evidence_per_heartbeat_in_large_fleet, few.size());
}

TEST(target_evidence_report, a_new_doubt_is_reported_with_the_next_heartbeat)
{
    LONGS_EQUAL(0, report_of(self).size());
    leave_unanswered(self, 5);
    LONGS_EQUAL(1, report_of(self).size());
    now += 1ms;
    answer_opening(self, 5);
    LONGS_EQUAL_TEXT(0, report_of(self).size(), "refuted");
    now += 1ms;
    leave_unanswered(self, 5);
    const std::vector<target_evidence> report = report_of(self);
    LONGS_EQUAL(1, report.size());
    CHECK_TRUE(report[0].target == about(5).target);
}

TEST(target_evidence_report, a_target_that_takes_over_an_index_does_not_inherit_a_doubt)
{
    leave_unanswered(self, 5);
    LONGS_EQUAL(1, report_of(self).size());
    announce(self, 6, 100, 7);
    LONGS_EQUAL_TEXT(0, report_of(self).size(), "the target has restarted");
    leave_unanswered(self, 5);
    LONGS_EQUAL_TEXT(1, report_of(self).size(), "its new start is doubted once");
}

TEST(target_evidence_report, a_target_that_takes_no_new_flows_is_not_reported)
{
    for (int round = 0; round < 10; ++round)
    {
        answer_request(self, 5, 60ms);
    }
    LONGS_EQUAL(1, report_of(self).size());
    apply_change(self.directory, departure(6, 100), now);
    LONGS_EQUAL(0, report_of(self).size());
}

TEST(target_evidence_report, each_known_speed_has_the_same_chance_to_be_reported)
{
    for (int round = 0; round < 10; ++round)
    {
        for (target_index index = 0; index < target_count; ++index)
        {
            answer_request(self, index, 60ms);
        }
    }
    std::map<std::uint32_t, int> reported;
    constexpr int reports = 1000;
    for (int i = 0; i < reports; ++i)
    {
        ++self.heartbeats_sent;
        for (const target_evidence& each : report_of(self))
        {
            ++reported[each.target.value];
        }
    }
    LONGS_EQUAL(target_count, reported.size());
    // Six of twelve are reported each time, so each with an even chance: four standard
    // deviations.
    for (const auto& [target, count] : reported)
    {
        DOUBLES_EQUAL(reports / 2.0, count, 4 * std::sqrt(reports / 4.0));
    }
}

TEST(target_evidence_report, a_speed_is_reported_with_the_age_of_its_newest_answer)
{
    for (int round = 0; round < 30; ++round)
    {
        answer_request(self, 5, 60ms);
    }
    now += 3s;
    LONGS_EQUAL(1, report_of(self).size());
    LONGS_EQUAL(3000, report_of(self)[0].age.count());
    now += max_speed_report_age - 3s - 1ms;
    LONGS_EQUAL(1, report_of(self).size());
    now += 1ms;
    LONGS_EQUAL_TEXT(0, report_of(self).size(), "its peers would drop it");
}
