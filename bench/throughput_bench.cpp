/// \file
/// Packets a second per core through real sockets: the daemon's packet duty beside a
/// baseline that does nothing but receive and send, in the same run.
///
/// A packet counts when it was received and sent on. The time is the processor time of
/// the thread that forwards, so a busy machine changes it little.

#include <boost/asio/post.hpp>

#include <packet_duty.hpp>
#include <report.hpp>
#include <throughput/driver.hpp>

#include <ctime>
#include <functional>
#include <future>
#include <thread>

using namespace kumquatpath;
using namespace kumquatpath::bench;

namespace
{

constexpr std::size_t target_count = 8;
constexpr std::chrono::seconds warm_up{1};
constexpr std::chrono::seconds measured{3};
/// The goal: this part of the baseline's packets.
constexpr double least_part = 0.5;
constexpr std::uint32_t network = 0x7f5a0000;

endpoint at(std::uint32_t host, std::uint16_t port)
{
    return {.address = network + host, .port = port};
}

driver_options sample_driver()
{
    driver_options options{.forwarder = at(1, 7001),
                           .caller = at(2, 7002),
                           .service = id_of<service_id>("service")};
    for (std::uint32_t i = 0; i < target_count; ++i)
    {
        options.targets.push_back(at(0x100 + i, 9000));
    }
    return options;
}

double thread_seconds()
{
    timespec time{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
    return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_nsec) * 1e-9;
}

double thread_seconds_of(boost::asio::io_context& context)
{
    std::promise<double> told;
    boost::asio::post(context, [&told] { told.set_value(thread_seconds()); });
    return told.get_future().get();
}

struct throughput
{
    double packets_per_core_second = 0;
    double refused = 0;
    double resent = 0;
};

/// Drives whatever serves on \p context by \p serve, on a thread of its own.
throughput measure(boost::asio::io_context& context, const std::function<void()>& serve)
{
    driver load(sample_driver());
    std::thread forwarder(serve);
    load.run_until(std::chrono::steady_clock::now() + warm_up);
    const driver_counts before = load.counts();
    const double begin = thread_seconds_of(context);
    load.run_until(std::chrono::steady_clock::now() + measured);
    const double spent = thread_seconds_of(context) - begin;
    context.stop();
    forwarder.join();
    const driver_counts& after = load.counts();
    const auto answered = static_cast<double>(after.answered - before.answered);
    const auto refused = static_cast<double>(after.refused - before.refused);
    // An answered request is two packets that pass; a refused one comes in and goes out.
    const double packets = 2 * answered + refused;
    return {.packets_per_core_second = packets / spent,
            .refused = refused / (answered + refused),
            .resent = static_cast<double>(after.resent - before.resent)};
}

/// Receives and sends, with the same batches as the daemon, and looks at nothing.
throughput measure_baseline()
{
    const driver_options options = sample_driver();
    boost::asio::io_context context(1);
    udp_port callers(context, options.forwarder, longest_datagram);
    udp_port targets(context, at(1, 7100), longest_datagram);
    std::size_t next = 0;
    const auto forward = [](udp_port& from, udp_port& to, auto destination)
    {
        for (auto batch = from.receive(); !batch.empty(); batch = from.receive())
        {
            for (const received_datagram& each : batch)
            {
                to.queue(destination(), each.bytes);
            }
            to.flush();
        }
    };
    callers.on_readable(
        [&] {
            forward(callers, targets,
                    [&] { return options.targets[next++ % target_count]; });
        });
    targets.on_readable([&]
                        { forward(targets, callers, [&] { return options.caller; }); });
    return measure(context, [&context] { context.run(); });
}

std::shared_ptr<const configuration> sample_configuration()
{
    const driver_options options = sample_driver();
    const data_centre_id here = id_of<data_centre_id>("here");
    configuration whole{.generation = {1}};
    whole.data_centres.push_back({.id = here, .name = "here", .region = "region"});
    target_pool pool{.name = "pool"};
    for (const endpoint& each : options.targets)
    {
        const std::string name = to_string(each);
        pool.targets.push_back({.id = id_of<target_id>(name),
                                .name = name,
                                .address = each,
                                .data_centre = here});
    }
    whole.pools.push_back(std::move(pool));
    whole.services.push_back({.id = options.service, .name = "service"});
    whole.listeners.push_back(
        {.name = "in", .address = options.forwarder, .service = options.service});
    whole.tenants.push_back({.id = {1}, .name = "tenant"});
    whole.classes.push_back({.id = {1}, .name = "class", .repeatable = true});
    return std::make_shared<const configuration>(std::move(whole));
}

throughput measure_daemon()
{
    packet_duty duty({.name = "entry",
                      .data_centre = "here",
                      .egress = at(1, 7100),
                      .peer = at(1, 7101)},
                     {.transfer = [](const transfer_message&) {},
                      .platform = [](const platform_message&) {},
                      .roster = [](const roster_order&) {},
                      .operators =
                          [](const shared_snapshot&) {
                          }});
    duty.handle(checked_envelope{.whole = sample_configuration(),
                                 .text = std::make_shared<const std::string>()});
    return measure(duty.context(), [&duty] { duty.run(); });
}

void tell(report& out, std::string_view variant, const throughput& result)
{
    out.add({.variant = variant,
             .metric = "packets a second per core",
             .value = result.packets_per_core_second,
             .unit = "1/s"});
    out.add({.variant = variant,
             .metric = "requests refused",
             .value = result.refused,
             .unit = "fraction"});
    out.add({.variant = variant,
             .metric = "requests sent again",
             .value = result.resent,
             .unit = "requests"});
}

} // namespace

int main(int argc, char** argv)
{
    const bench_options options = read_options(argc, argv, "throughput");
    report out("throughput", options.seed);
    const throughput baseline = measure_baseline();
    tell(out, "baseline", baseline);
    const throughput daemon = measure_daemon();
    tell(out, "daemon", daemon);
    out.add({.variant = "daemon",
             .metric = "part of the baseline",
             .value = daemon.packets_per_core_second / baseline.packets_per_core_second,
             .unit = "fraction",
             .bound = metric_bound{.kind = bound_kind::at_least, .value = least_part}});
    return out.exit_code();
}
