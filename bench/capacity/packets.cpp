/// \file
/// What a packet costs, beside a dependent memory read over the same working set.

#include <kumquatpath/edge/packet_codec.hpp>

#include <boost/leaf/handle_errors.hpp>

#include <capacity/held_flows.hpp>
#include <capacity/sections.hpp>
#include <capacity/target_size.hpp>

#include <array>
#include <random>

namespace kumquatpath::bench
{
namespace
{

constexpr std::array<std::size_t, 4> payload_sizes = {0, 128, 512, 1200};
constexpr std::array<std::size_t, 7> flow_counts = {10'000,  30'000,    100'000,  200'000,
                                                    500'000, 1'000'000, 2'000'000};
constexpr std::size_t compared_flow_count = 500'000;
constexpr std::size_t codec_rounds = 15;
constexpr std::size_t codec_calls = 20'000;
constexpr std::size_t walk_rounds = 9;
constexpr std::size_t walk_calls = 400'000;
/// The goal for a look-up and for a whole decision, in dependent reads.
constexpr double most_reads = 2;
constexpr double most_bytes_per_flow = 32;

void measure_codec(ledger& book)
{
    std::vector<cost_point> encode;
    std::vector<cost_point> decode;
    for (const std::size_t size : payload_sizes)
    {
        flatbuffers::FlatBufferBuilder builder;
        const std::vector<std::byte> payload(size);
        const packet_header header = sample_header();
        const double encode_time =
            nanoseconds_per_call(codec_rounds, codec_calls,
                                 [&] { keep(encode_packet(builder, header, payload)); });
        const payload_view datagram = encode_packet(builder, header, payload);
        const double decode_time = nanoseconds_per_call(
            codec_rounds, codec_calls, [&] { keep(decode_packet(datagram)); });
        encode.push_back({static_cast<double>(size), encode_time});
        decode.push_back({static_cast<double>(size), decode_time});
    }
    book.add_line({"packets/encode", "payload byte", "ns"}, encode);
    book.add_line({"packets/decode", "payload byte", "ns"}, decode);
}

struct packet_costs
{
    double read = 0;
    double look_up = 0;
    double decision = 0;
};

packet_costs measure_held(held_flows& held, std::mt19937_64& random)
{
    read_chain chain(held.router.flows.places.size() * sizeof(flow_entry), random);
    packet_header header = sample_header();
    packet_costs costs;
    costs.read =
        nanoseconds_per_call(walk_rounds, walk_calls, [&chain] { chain.step(); });
    keep(chain.at());
    costs.look_up = nanoseconds_per_call(walk_rounds, walk_calls,
                                         [&] { look_up_next(held, header.service); });
    costs.decision =
        nanoseconds_per_call(walk_rounds, walk_calls, [&] { decide_next(held, header); });
    return costs;
}

/// Tells how the costs compare with reads of the same memory; the goal is for each table.
void compare_with_reads(ledger& book, const packet_costs& costs, const std::string& table)
{
    const std::string metric = "dependent reads " + table;
    book.tell_bounded("packets/look_up", metric, costs.look_up / costs.read, "ratio",
                      most_reads);
    book.tell_bounded("packets/decision", metric, costs.decision / costs.read, "ratio",
                      most_reads);
}

void measure_flow_memory(ledger& book)
{
    book.tell_bounded("packets/flow_memory", "bytes of an entry", sizeof(flow_entry),
                      "bytes", most_bytes_per_flow);
    const flow_router router = make_flow_router({});
    const auto bytes =
        static_cast<double>(router.flows.places.size() * sizeof(flow_entry));
    book.tell_bounded(
        "packets/flow_memory", "bytes of a full default table for each flow",
        bytes / static_cast<double>(router.flows.most), "bytes", most_bytes_per_flow);
    book.tell("packets/flow_memory", "bytes of the default table", bytes, "bytes");
}

} // namespace

void measure_packets(ledger& book)
{
    measure_codec(book);
    std::mt19937_64 random(book.seed());
    std::vector<cost_point> reads;
    std::vector<cost_point> look_ups;
    std::vector<cost_point> decisions;
    for (const std::size_t count : flow_counts)
    {
        held_flows held = make_held_flows(count, random);
        const packet_costs costs = measure_held(held, random);
        const auto size = static_cast<double>(count);
        reads.push_back({size, costs.read});
        look_ups.push_back({size, costs.look_up});
        decisions.push_back({size, costs.decision});
        if (count == compared_flow_count)
        {
            compare_with_reads(book, costs, "at 500,000 flows");
        }
    }
    book.add_line({"packets/dependent_read", "flow", "ns", growth::logarithmic}, reads);
    book.add_line({"packets/look_up", "flow", "ns", growth::logarithmic}, look_ups);
    book.add_line({"packets/decision", "flow", "ns", growth::logarithmic}, decisions);
    held_flows full = make_held_flows(flow_router_options{}.most_flows, random);
    compare_with_reads(book, measure_held(full, random), "in a full default table");
    measure_flow_memory(book);
}

} // namespace kumquatpath::bench
