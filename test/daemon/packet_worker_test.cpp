/// \file
/// Tests that datagrams which keep arriving leave packet_worker time for its other work.

#include <kumquatpath/edge/native_packet_format.hpp>

#include <packet_worker.hpp>

#include <array>
#include <string>

#include <CppUTest/TestHarness.h>

using namespace kumquatpath;
using namespace std::chrono_literals;

namespace
{

using udp = boost::asio::ip::udp;

/// More datagrams than are received before other work gets its turn.
constexpr std::uint64_t flood = (max_batches_per_wake_up + 1) * udp_socket::batch_size;

endpoint free_local_endpoint(boost::asio::io_context& context)
{
    const udp::socket probe(context, {boost::asio::ip::address_v4::loopback(), 0});
    return {.address = 0x7f000001, .port = probe.local_endpoint().port()};
}

} // namespace

TEST_GROUP(packet_worker)
{
    boost::asio::io_context context;
    daemon_settings settings{.name = "entry-1",
                             .data_centre = "north",
                             .data = free_local_endpoint(context),
                             .peer = free_local_endpoint(context)};
    native_packet_format format;
    packet_worker worker{settings,
                         format,
                         1,
                         {.total_traffic = [] { return worker_traffic(); },
                          .messages_dropped =
                              []
                          {
                              return dropped_message_counts();
                          }}};

    static void flood_with_datagrams(const endpoint& destination)
    {
        boost::asio::io_context sender_context;
        udp::socket sender(sender_context, udp::v4());
        const udp::endpoint receiver(boost::asio::ip::address_v4(destination.address),
                                     destination.port);
        const std::array<char, 1> datagram{};
        for (std::uint64_t i = 0; i < flood; ++i)
        {
            sender.send_to(boost::asio::buffer(datagram), receiver);
        }
    }

    /// Returns the value of the metric \p name.
    std::uint64_t metric(const std::string& name)
    {
        std::string text;
        worker.handle(page_request{.page = page_kind::metrics,
                                   .respond = [&](const std::string& page)
                                   {
                                       text = page;
                                   }});
        const std::string line = "\nkumquatpath_" + name + " ";
        return std::stoull(text.substr(text.find(line) + line.size()));
    }

    void check_flood(const std::string& counted_by)
    {
        worker.context().run_one();
        const std::uint64_t first = metric(counted_by);
        CHECK_TRUE(first > 0);
        CHECK_TRUE_TEXT(first < flood, "the rest waits for the next turn");
        worker.context().run_one_for(1s);
        UNSIGNED_LONGS_EQUAL(flood, metric(counted_by));
    }
};

TEST(packet_worker, a_flood_of_packets_leaves_time_for_other_work)
{
    flood_with_datagrams(settings.data);
    check_flood("packets_malformed");
}

TEST(packet_worker, a_flood_of_heartbeats_leaves_time_for_other_work)
{
    flood_with_datagrams(settings.peer);
    check_flood("peer_messages_refused");
}
