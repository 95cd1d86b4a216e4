/// \file
/// What a packet costs, beside a dependent memory read over the same working set.

#include <kumquatpath/decision/flow_router.hpp>
#include <kumquatpath/edge/packet_codec.hpp>

#include <boost/leaf/handle_errors.hpp>

#include <capacity/sample_fleet.hpp>
#include <capacity/sections.hpp>
#include <capacity/target_size.hpp>

#include <array>
#include <numeric>
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

packet_header sample_header()
{
    return {.kind = packet_kind::data,
            .repeatable = true,
            .service = id_of<service_id>("service-0"),
            .tenant = {1},
            .traffic_class = {1},
            .flow = {0x123456789abcdef0},
            .request = {2}};
}

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

/// A random cycle through memory: each place holds the next one.
class read_chain
{
public:
    read_chain(std::size_t bytes, std::mt19937_64& random) : lines_(bytes / line_bytes)
    {
        std::vector<std::uint32_t> order(lines_.size());
        std::iota(order.begin(), order.end(), 0U);
        std::ranges::shuffle(order, random);
        for (std::size_t i = 0; i < order.size(); ++i)
        {
            lines_[order[i]].next = order[(i + 1) % order.size()];
        }
    }

    void step()
    {
        at_ = lines_[at_].next;
    }

    std::uint32_t at() const
    {
        return at_;
    }

private:
    static constexpr std::size_t line_bytes = 64;

    struct alignas(line_bytes) line
    {
        std::uint32_t next = 0;
    };

    std::vector<line> lines_;
    std::uint32_t at_ = 0;
};

/// A router that holds flows, and their ids in an order that memory can't foresee.
struct held_flows
{
    flow_router router;
    std::vector<flow_id> order;
    std::size_t next = 0;
    /// Always 0, yet the next look-up has to wait for it.
    std::uint64_t link = 0;
    action_list actions;
    time_point now{std::chrono::seconds(10)};
};

held_flows make_held_flows(std::size_t count, std::mt19937_64& random)
{
    const configuration whole =
        sample_configuration({.services = 490, .targets_per_service = 11});
    held_flows held{
        .router = make_flow_router({.self = sample_instance(0), .most_flows = count})};
    adopt_plan(held.router, plan_placements(whole, nullptr, wall_time{}),
               whole.generation, held.now);
    const target_id target = whole.pools.front().targets.front().id;
    for (std::size_t i = 0; i < count; ++i)
    {
        const flow_id flow{random()};
        flow_entry* const entry =
            insert_flow(held.router.flows, {whole.services.front().id, flow});
        entry->target = target;
        entry->role = flow_role::kept;
        entry->seen = in_flow_ticks(held.now);
        held.order.push_back(flow);
    }
    std::ranges::shuffle(held.order, random);
    return held;
}

flow_id next_flow(held_flows& held)
{
    held.next = held.next + 1 < held.order.size() ? held.next + 1 : 0;
    return {held.order[held.next].value ^ held.link};
}

void look_up_next(held_flows& held, service_id service)
{
    const flow_entry* const entry =
        find_flow(held.router.flows, {service, next_flow(held)});
    held.link = entry->resets;
}

void decide_next(held_flows& held, packet_header& header)
{
    header.flow = next_flow(held);
    held.actions.clear();
    route_packet(held.router, {.header = header, .payload = {}, .from = {}}, held.now,
                 held.actions);
    const auto& sent = std::get<send_to_target>(held.actions.front());
    held.link = sent.header.hops;
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

void compare_with_reads(ledger& book, const packet_costs& costs)
{
    book.tell_bounded("packets/look_up", "dependent reads at 500,000 flows",
                      costs.look_up / costs.read, "ratio", most_reads);
    book.tell_bounded("packets/decision", "dependent reads at 500,000 flows",
                      costs.decision / costs.read, "ratio", most_reads);
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
            compare_with_reads(book, costs);
        }
    }
    book.add_line({"packets/dependent_read", "flow", "ns", growth::logarithmic}, reads);
    book.add_line({"packets/look_up", "flow", "ns", growth::logarithmic}, look_ups);
    book.add_line({"packets/decision", "flow", "ns", growth::logarithmic}, decisions);
    measure_flow_memory(book);
}

} // namespace kumquatpath::bench
