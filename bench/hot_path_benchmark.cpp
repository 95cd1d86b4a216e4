/// \file
/// Google Benchmark of the hot path: decode, look-up, new flow, admission, encode.

#include <kumquatpath/decision/admission.hpp>
#include <kumquatpath/edge/packet_codec.hpp>

#include <benchmark/benchmark.h>
#include <capacity/held_flows.hpp>
#include <capacity/sample_fleet.hpp>

namespace
{

using namespace kumquatpath;
using namespace kumquatpath::bench;

constexpr std::size_t usual_payload = 512;
constexpr std::size_t mean_pool = 11;
constexpr std::uint64_t seed = 1;

void encode(benchmark::State& state)
{
    flatbuffers::FlatBufferBuilder builder;
    const std::vector<std::byte> payload(usual_payload);
    const packet_header header = sample_header();
    for (auto _ : state)
    {
        benchmark::DoNotOptimize(encode_packet(builder, header, payload));
    }
}

void decode(benchmark::State& state)
{
    flatbuffers::FlatBufferBuilder builder;
    const std::vector<std::byte> payload(usual_payload);
    const payload_view datagram = encode_packet(builder, sample_header(), payload);
    for (auto _ : state)
    {
        benchmark::DoNotOptimize(decode_packet(datagram));
    }
}

void look_up(benchmark::State& state)
{
    std::mt19937_64 random(seed);
    held_flows held = make_held_flows(static_cast<std::size_t>(state.range(0)), random);
    const service_id service = sample_header().service;
    for (auto _ : state)
    {
        look_up_next(held, service);
    }
}

void decide_known_flow(benchmark::State& state)
{
    std::mt19937_64 random(seed);
    held_flows held = make_held_flows(static_cast<std::size_t>(state.range(0)), random);
    packet_header header = sample_header();
    for (auto _ : state)
    {
        decide_next(held, header);
    }
}

/// The read that a look-up is compared with, over the memory of the same table.
void dependent_read(benchmark::State& state)
{
    std::mt19937_64 random(seed);
    const auto flows = static_cast<std::size_t>(state.range(0));
    const flow_table table = make_flow_table(flows);
    read_chain chain(table.places.size() * sizeof(flow_entry), random);
    for (auto _ : state)
    {
        chain.step();
    }
    benchmark::DoNotOptimize(chain.at());
}

void place_new_flow(benchmark::State& state)
{
    const auto target_count = static_cast<std::size_t>(state.range(0));
    const std::size_t services = std::max<std::size_t>(1, target_count / mean_pool);
    const configuration whole = sample_configuration(
        {.services = services, .targets_per_service = target_count / services});
    flow_router router = make_flow_router({.self = sample_instance(0)});
    const time_point now{std::chrono::seconds(1)};
    adopt_plan(router, plan_placements(whole, nullptr, wall_time{}), whole.generation,
               now);
    std::mt19937_64 random(seed);
    action_list actions;
    packet_header header{.kind = packet_kind::open};
    for (auto _ : state)
    {
        header.service = whole.services[random() % services].id;
        header.flow = {random()};
        actions.clear();
        route_packet(router, {.header = header, .payload = {}, .from = {}}, now, actions);
    }
}

void admit_and_finish(benchmark::State& state)
{
    const configuration whole =
        sample_configuration({.services = 1, .targets_per_service = mean_pool});
    admission control;
    configure(control, whole);
    note_members(control, sample_view(1), time_point{});
    const packet_header header = sample_header();
    time_point now{std::chrono::seconds(1)};
    const target_id target = whole.pools.front().targets.front().id;
    for (auto _ : state)
    {
        now += std::chrono::microseconds(10);
        const admission_result result = admit(control, header, target, now);
        if (result.admitted)
        {
            note_finished(control, result.work, request_end::answered,
                          std::chrono::milliseconds(1), now);
        }
    }
}

BENCHMARK(encode);
BENCHMARK(decode);
BENCHMARK(dependent_read)->Arg(10'000)->Arg(100'000)->Arg(500'000)->Arg(2'000'000);
BENCHMARK(look_up)->Arg(10'000)->Arg(100'000)->Arg(500'000)->Arg(2'000'000);
BENCHMARK(decide_known_flow)->Arg(10'000)->Arg(100'000)->Arg(500'000)->Arg(2'000'000);
BENCHMARK(place_new_flow)->Arg(18)->Arg(540)->Arg(5'400);
BENCHMARK(admit_and_finish);

} // namespace

BENCHMARK_MAIN();
