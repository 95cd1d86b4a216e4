/// \file
/// Benchmarks of the processing of one packet and of messages between instances, at
/// several numbers of targets and instances.

#include <kumquatpath/decision/entry_instance.hpp>
#include <kumquatpath/decision/target_review.hpp>
#include <kumquatpath/edge/fleet_codec.hpp>

#include <benchmark/benchmark.h>
#include <platform/packet_header.hpp>

#include <array>

namespace
{

using namespace kumquatpath;

const service_id benchmark_service = id_of<service_id>("served");
constexpr endpoint listener_address{.address = 0xc6120001, .port = 443};

/// Returns an instance that knows \p targets targets of one service in three data centres
/// and has a configuration with one route to the service.
entry_instance instance_with_targets(std::size_t targets,
                                     const selection_options& selection = {})
{
    entry_instance self = make_entry_instance(
        {.self = {1}, .local_data_centre = {1}, .selection = selection});
    for (std::size_t i = 0; i < targets; ++i)
    {
        const target_record record{.key = {i + 1},
                                   .service = benchmark_service,
                                   .address = {.address = 1, .port = 80},
                                   .data_centre = {static_cast<std::uint32_t>(i % 3 + 1)},
                                   .slots = 3};
        apply_change(self.directory,
                     {.key = {i + 1}, .revision = {i + 1}, .record = record},
                     time_point());
    }
    self.directory.position = {targets};
    routing_table table;
    table.routes.emplace(
        pack(listener_address),
        route{.name = "a", .services = {{.service = benchmark_service}}});
    self.configuration = {.revision = {1},
                          .table = std::make_shared<const routing_table>(table)};
    return self;
}

/// Two peers report that the target at \p index is slow.
void hear_of(entry_instance& self, target_index index, time_point now)
{
    const known_target& target = self.directory.targets[index];
    const target_evidence evidence{.target = target.token,
                                   .incarnation =
                                       incarnation_check(target.record.incarnation),
                                   .kind = evidence_kind::speed,
                                   .level = 10};
    for (const std::uint32_t peer : {2U, 3U})
    {
        record_evidence(self.steering.selector, self.directory,
                        {.instance = {peer}, .data_centre = {1}}, std::span(&evidence, 1),
                        self.evidence, now);
    }
}

/// Returns an instance that learns speeds and uses evidence of peers. Each of its
/// \p targets targets has given some answers, and peers have reported each third one.
entry_instance instance_with_answers(std::size_t targets, time_point now)
{
    entry_instance self =
        instance_with_targets(targets, {.uses_speeds = true, .uses_peer_evidence = true});
    constexpr std::uint32_t answers_per_target = 4;
    for (std::uint32_t answer = 0; answer < answers_per_target; ++answer)
    {
        for (target_index index = 0; index < targets; ++index)
        {
            const auto time = std::chrono::milliseconds(40 + 7 * ((index + answer) % 9));
            record_request_answered(self.steering.selector, self.directory, index, time,
                                    duration(0), now);
        }
    }
    for (target_index index = 0; index < targets; index += 3)
    {
        hear_of(self, index, now);
    }
    return self;
}

/// Steers one flow with three packets at a time: the opening, a packet of the open flow
/// and the packet that ends the flow.
void steer_flows(benchmark::State& state, entry_instance& self, time_point now)
{
    std::uint64_t flow = 0;
    for (auto _ : state)
    {
        ++flow;
        now += std::chrono::microseconds(100);
        flow_packet packet{.flow = {hash_pair(flow, 1)},
                           .listener = listener_address,
                           .is_opening = true};
        const auto opening_decision =
            steer(self.steering, *self.configuration.table, self.directory, packet, now);
        packet.is_opening = false;
        packet.token = opening_decision.token;
        steer(self.steering, *self.configuration.table, self.directory, packet, now);
        packet.is_end = true;
        steer(self.steering, *self.configuration.table, self.directory, packet, now);
        if (flow % 64 == 0)
        {
            review_flows(self.steering, self.directory, now);
        }
    }
}

/// Measures the steering of one flow. The argument is the number of targets.
void steer_flow(benchmark::State& state)
{
    entry_instance self = instance_with_targets(static_cast<std::size_t>(state.range(0)));
    steer_flows(state, self, time_point());
}
BENCHMARK(steer_flow)->Arg(14)->Arg(120)->Arg(1000)->Arg(3000);

/// Measures the same with learnt speeds and evidence of peers.
void steer_flow_by_speed(benchmark::State& state)
{
    const time_point now(std::chrono::seconds(100));
    entry_instance self =
        instance_with_answers(static_cast<std::size_t>(state.range(0)), now);
    steer_flows(state, self, now);
}
BENCHMARK(steer_flow_by_speed)->Arg(14)->Arg(120)->Arg(1000)->Arg(3000);

/// Measures one opening of a flow that comes so late after the last one that the
/// measurements of the service are reviewed. The argument is the number of targets.
void select_target_after_pause(benchmark::State& state)
{
    time_point now(std::chrono::seconds(100));
    entry_instance self =
        instance_with_answers(static_cast<std::size_t>(state.range(0)), now);
    std::uint64_t random = 0;
    for (auto _ : state)
    {
        now += std::chrono::seconds(2);
        benchmark::DoNotOptimize(
            select_target(self.steering.selector, self.directory,
                          {.service = benchmark_service, .random = ++random}, now));
    }
}
BENCHMARK(select_target_after_pause)->Arg(120)->Arg(3000);

/// Measures a review of a service's targets. The argument is the number of targets.
void review_targets(benchmark::State& state)
{
    time_point now(std::chrono::seconds(100));
    entry_instance self =
        instance_with_answers(static_cast<std::size_t>(state.range(0)), now);
    target_selector& selector = self.steering.selector;
    for (auto _ : state)
    {
        now += std::chrono::seconds(2);
        review_service(selector, self.directory, selector.services[benchmark_service],
                       targets_of(self.directory, benchmark_service), now);
    }
}
BENCHMARK(review_targets)->Arg(120)->Arg(3000);

/// Measures the choice of the evidence of a heartbeat, at 20 heartbeats a second. The
/// argument is the number of targets.
void report_evidence(benchmark::State& state)
{
    time_point now(std::chrono::seconds(100));
    entry_instance self =
        instance_with_answers(static_cast<std::size_t>(state.range(0)), now);
    for (target_stats& each : self.steering.selector.stats)
    {
        // So many that the evidence does not fade in the course of the benchmark.
        each.speed.own.answers = 1e300;
    }
    fleet_heartbeat heartbeat;
    for (auto _ : state)
    {
        now += std::chrono::milliseconds(50);
        ++self.heartbeats_sent;
        add_evidence(self, heartbeat, now);
        benchmark::DoNotOptimize(heartbeat.evidence.data());
    }
}
BENCHMARK(report_evidence)->Arg(120)->Arg(3000);

/// Measures what a heartbeat with two reported speeds costs its receiver. The argument is
/// the number of targets.
void record_heartbeat_with_evidence(benchmark::State& state)
{
    time_point now(std::chrono::seconds(100));
    const auto targets = static_cast<std::size_t>(state.range(0));
    entry_instance self = instance_with_answers(targets, now);
    target_index index = 0;
    for (auto _ : state)
    {
        now += std::chrono::milliseconds(1);
        index = (index + 1) % static_cast<target_index>(targets);
        hear_of(self, index, now);
    }
}
BENCHMARK(record_heartbeat_with_evidence)->Arg(120)->Arg(3000);

/// Measures the parsing and rewriting of a data packet in the platform's format.
void read_and_forward_packet(benchmark::State& state)
{
    const platform::platform_packet_format format(8172);
    std::array<std::byte, 532> datagram{};
    // The ACK flag and a payload of 500 bytes after the header of 32 bytes.
    datagram[28] = std::byte{1};
    datagram[30] = std::byte{500 >> 8};
    datagram[31] = std::byte{500 & 0xff};
    std::array<std::byte, max_forwarded_packet_bytes> out{};
    const target_record target{.key = {1}};
    for (auto _ : state)
    {
        const received_packet packet{.datagram = datagram};
        benchmark::DoNotOptimize(format.read(packet));
        benchmark::DoNotOptimize(format.write_forward(packet, target, {1}, out));
    }
}
BENCHMARK(read_and_forward_packet);

/// Measures a heartbeat. The argument is the number of peers that it lists.
void encode_and_decode_heartbeat(benchmark::State& state)
{
    const peer_key key{1};
    fleet_heartbeat heartbeat;
    for (int i = 0; i < state.range(0); ++i)
    {
        heartbeat.members.push_back({.instance = {1}});
    }
    std::size_t bytes = 0;
    for (auto _ : state)
    {
        const auto message =
            encode_fleet_message({.sender = {1}, .body = heartbeat}, key);
        bytes = message.size();
        benchmark::DoNotOptimize(
            decode_fleet_message(message, key, max_fleet_frame_bytes));
    }
    state.counters["bytes"] = static_cast<double>(bytes);
}
BENCHMARK(encode_and_decode_heartbeat)->Arg(0)->Arg(3)->Arg(8);

/// Measures the transfer of the whole shared state to an instance that has just started.
/// The argument is the number of targets.
void transfer_full_state(benchmark::State& state)
{
    const peer_key key{1};
    const entry_instance self =
        instance_with_targets(static_cast<std::size_t>(state.range(0)));
    std::size_t bytes = 0;
    for (auto _ : state)
    {
        const auto message = encode_fleet_message(
            {.sender = {1}, .body = make_state_reply(self, {}, time_point())}, key);
        bytes = message.size();
        const auto read = decode_fleet_message(message, key, max_fleet_frame_bytes);
        entry_instance receiver = make_entry_instance({.self = {2}});
        const auto& reply = std::get<state_reply>(read->body);
        apply_state_update(receiver, reply.update, time_point());
    }
    state.counters["bytes"] = static_cast<double>(bytes);
}
BENCHMARK(transfer_full_state)->Arg(18)->Arg(150)->Arg(5400);

} // namespace

BENCHMARK_MAIN();
