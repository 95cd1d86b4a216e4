/// \file
/// Tests which signs, alone and two together, end an open flow. The table is that of
/// docs/design/unusable-entries.md.

#include "ended_target_fixture.hpp"

#include <array>
#include <set>
#include <string>

#include <CppUTest/TestHarness.h>

using namespace kumquatpath;
using namespace kumquatpath::test;
using namespace std::chrono_literals;

namespace
{

enum class sign : std::uint8_t
{
    unreadable_entry,
    missing_entry,
    entry_of_unnamed_service,
    next_target_at_address,
    next_target_of_unnamed_service,
    lease_lapsed_in_outage,
    store_away,
    target_slow,
    packet_lost,
    target_silent,
};

constexpr std::array all_signs{sign::unreadable_entry,
                               sign::missing_entry,
                               sign::entry_of_unnamed_service,
                               sign::next_target_at_address,
                               sign::next_target_of_unnamed_service,
                               sign::lease_lapsed_in_outage,
                               sign::store_away,
                               sign::target_slow,
                               sign::packet_lost,
                               sign::target_silent};

constexpr std::array sign_names{"unreadable entry",
                                "missing entry",
                                "entry of unnamed service",
                                "next target at address",
                                "next target of unnamed service",
                                "lease lapsed in outage",
                                "store away",
                                "target slow",
                                "packet lost",
                                "target silent"};

std::string name_of(sign each)
{
    return sign_names.at(static_cast<std::size_t>(each));
}

const service_id unnamed = id_of<service_id>("unnamed");

} // namespace

TEST_GROUP_BASE(flow_end_signs, ended_target_fixture)
{
    /// How often the caller sends the payload of its request again.
    int retransmissions = 0;

    void show(sign shown, std::uint64_t revision)
    {
        target_change change = departure(1, revision);
        switch (shown)
        {
        case sign::unreadable_entry:
            change.is_unusable = true;
            break;
        case sign::missing_entry:
            break;
        case sign::entry_of_unnamed_service:
            change = announcement(1, revision);
            change.record->service = unnamed;
            break;
        case sign::next_target_at_address:
            change = announcement_at_address_of(1, 2, revision);
            break;
        case sign::next_target_of_unnamed_service:
            change = announcement_at_address_of(1, 3, revision);
            change.record->service = unnamed;
            break;
        case sign::lease_lapsed_in_outage:
            record_outage_end(directory, 10s, now);
            break;
        case sign::store_away:
            directory.is_outdated = true;
            return;
        case sign::target_slow:
        case sign::packet_lost:
            retransmissions = std::max(retransmissions, 1);
            return;
        case sign::target_silent:
            retransmissions = 3;
            return;
        }
        apply_change(directory, change, now);
    }

    /// Returns whether a flow that is open at target 1 is reset after \p first and then
    /// \p second were seen.
    bool is_reset_after(sign first, sign second)
    {
        directory = exclusive_directory();
        steering = {};
        steering.selector.local_data_centre = north;
        retransmissions = 0;
        apply_change(directory, announcement(1, 10), now);
        open_flow(1000);
        show(first, 20);
        show(second, 30);
        bool is_reset = verdict_of(payload(1000, 1)) == steering_verdict::target_ended;
        for (int i = 0; i < retransmissions; ++i)
        {
            now += 200ms;
            is_reset = is_reset ||
                       verdict_of(payload(1000, 1)) == steering_verdict::target_ended;
        }
        return is_reset;
    }

    /// Checks all pairs, in both orders. A pair resets the flow if it has
    /// next_target_at_address or is one of \p resetting_pairs.
    void check_pairs(const std::set<std::set<sign>>& resetting_pairs)
    {
        for (const sign first : all_signs)
        {
            for (const sign second : all_signs)
            {
                const bool is_expected = first == sign::next_target_at_address ||
                                         second == sign::next_target_at_address ||
                                         resetting_pairs.contains({first, second});
                const std::string pair = name_of(first) + ", " + name_of(second);
                CHECK_TRUE_TEXT(is_reset_after(first, second) == is_expected,
                                pair.c_str());
            }
        }
    }
};

TEST(flow_end_signs, are_a_later_target_at_the_address_or_a_missing_and_silent_one)
{
    check_pairs({{sign::missing_entry, sign::target_slow},
                 {sign::missing_entry, sign::packet_lost},
                 {sign::missing_entry, sign::target_silent}});
}

// A target that has lost the store and works on a long request shows the same signs as
// one that has ended. The caller may not repeat such a request.
TEST(flow_end_signs, are_only_a_later_target_at_the_address_for_requests_not_repeatable)
{
    table = web_table();
    check_pairs({});
}
