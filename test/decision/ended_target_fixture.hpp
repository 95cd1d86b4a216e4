#ifndef KUMQUATPATH_TEST_DECISION_ENDED_TARGET_FIXTURE_HPP
#define KUMQUATPATH_TEST_DECISION_ENDED_TARGET_FIXTURE_HPP

/// \file
/// What the tests of flows whose target has ended share.

#include "entry_fixture.hpp"

#include <kumquatpath/decision/address_claims.hpp>

#include <CppUTest/TestHarness.h>

namespace kumquatpath::test
{

/// Returns the announcement \p key at the address of \p other.
inline target_change announcement_at_address_of(std::uint64_t other, std::uint64_t key,
                                                std::uint64_t revision)
{
    target_change change = announcement(key, revision);
    change.record->address = announcement(other, revision).record->address;
    change.record->service = store;
    return change;
}

/// Returns an empty directory with exclusive addresses and the services web and store.
inline target_directory exclusive_directory()
{
    target_directory directory{.has_exclusive_addresses = true};
    name_services(directory, {web, store}, {});
    return directory;
}

/// Returns web_table() with repeatable requests.
inline routing_table repeatable_web_table()
{
    routing_table table = web_table();
    table.routes.at(pack(web_listener)).policy = {{.is_repeatable = true}};
    return table;
}

/// An instance that knows target 1 of web, and the flows that are opened there.
struct ended_target_fixture : Utest
{
    time_point now{std::chrono::seconds(100)};
    routing_table table = repeatable_web_table();
    target_directory directory = exclusive_directory();
    flow_steering steering;

    ended_target_fixture()
    {
        steering.selector.local_data_centre = north;
        apply_change(directory, announcement(1, 10), now);
    }

    /// Opens flow \p number at target 1 and returns its token.
    flow_token open_flow(std::uint16_t number)
    {
        const steering_decision placed =
            steer(steering, table, directory, opening(number), now);
        now += std::chrono::milliseconds(6);
        steer(steering, table, directory, continuation(number, placed.token), now);
        return placed.token;
    }

    steering_verdict verdict_of(const flow_packet& packet)
    {
        return steer(steering, table, directory, packet, now).verdict;
    }

    /// Returns a packet of flow \p number at target 1 with the payload at \p position.
    static flow_packet payload(std::uint16_t number, std::uint32_t position)
    {
        flow_packet packet = continuation(number, token_of({1}));
        packet.has_payload = true;
        packet.payload_position = position;
        return packet;
    }

    bool is_replaced(std::uint64_t key)
    {
        return directory.targets[directory.by_entry.at(key)].is_replaced;
    }
};

} // namespace kumquatpath::test

#endif
