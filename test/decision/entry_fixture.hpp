#ifndef KUMQUATPATH_TEST_DECISION_ENTRY_FIXTURE_HPP
#define KUMQUATPATH_TEST_DECISION_ENTRY_FIXTURE_HPP

/// \file
/// Test data for the decisions of an entry instance: one listener, two services and two
/// data centres, with their changes, packets and routing table.

#include <kumquatpath/decision/entry_instance.hpp>

namespace kumquatpath::test
{

inline const service_id web = id_of<service_id>("web");
inline const service_id store = id_of<service_id>("store");
inline const data_centre_id north = id_of<data_centre_id>("north");
inline const data_centre_id south = id_of<data_centre_id>("south");
inline constexpr endpoint web_listener{.address = 0xc6120001, .port = 443};

/// Returns the change of revision \p revision that announces target \p key for web.
inline target_change announcement(std::uint64_t key, std::uint64_t revision,
                                  data_centre_id data_centre = north)
{
    return {.key = {key},
            .revision = {revision},
            .record = target_record{
                .key = {key},
                .service = web,
                .address = {.address = 0x0a800000U + static_cast<std::uint32_t>(key),
                            .port = 8080},
                .data_centre = data_centre,
                .slots = 2}};
}

/// Returns the change of revision \p revision that reports target \p key gone.
inline target_change departure(std::uint64_t key, std::uint64_t revision)
{
    return {.key = {key}, .revision = {revision}, .is_gone = true};
}

/// Returns a routing table with one route, from web_listener to web.
inline routing_table web_table()
{
    routing_table table;
    table.routes.emplace(pack(web_listener),
                         route{.name = "web", .services = {{.service = web}}});
    table.services = {web, store};
    return table;
}

/// Returns the packet that opens flow \p number, \p age after the caller first sent it.
inline flow_packet opening(std::uint16_t number, duration age = duration(0))
{
    return {.flow = {number},
            .caller = {.address = 0x64400007, .port = number},
            .listener = web_listener,
            .is_opening = true,
            .age = age};
}

/// Returns a packet of the open flow \p number.
inline flow_packet continuation(std::uint16_t number, flow_token token)
{
    return {.flow = {number},
            .caller = {.address = 0x64400007, .port = number},
            .listener = web_listener,
            .token = token};
}

/// Returns the packet with which the caller ends flow \p number.
inline flow_packet ending(std::uint16_t number, flow_token token)
{
    flow_packet packet = continuation(number, token);
    packet.is_end = true;
    return packet;
}

} // namespace kumquatpath::test

#endif
