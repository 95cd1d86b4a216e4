/// \file
/// A whole configuration by its targets: the bytes that are stored and told, the time to
/// read them, and what a day's withdrawals add.

#include <kumquatpath/model/configuration_check.hpp>
#include <kumquatpath/model/configuration_envelope.hpp>

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <boost/leaf/handle_errors.hpp>

#include <capacity/bytes_on_wire.hpp>
#include <capacity/sections.hpp>
#include <capacity/target_size.hpp>
#include <malloc.h>

#include <array>
#include <optional>

namespace kumquatpath::bench
{
namespace
{

namespace json = boost::json;

constexpr std::array<std::size_t, 5> target_counts = {18, 540, 1350, 2700, 5400};
constexpr std::size_t targets_per_service = 11;
constexpr std::size_t centre_count = 7;
constexpr double nanoseconds_per_millisecond = 1e6;
constexpr std::chrono::seconds between_withdrawals{600};

std::string numbered(const char* kind, std::size_t number)
{
    return kind + std::to_string(number);
}

json::object one_target(std::size_t index, std::size_t centre)
{
    const std::string address = "10." + std::to_string(index / 65536) + '.' +
                                std::to_string(index / 256 % 256) + '.' +
                                std::to_string(index % 256) + ":9000";
    return {{"address", address},
            {"data_centre", numbered("centre-", centre % centre_count)},
            {"state", "active"},
            {"connections", 6000}};
}

json::object centres(std::size_t drained)
{
    json::object all;
    for (std::size_t i = 0; i < centre_count; ++i)
    {
        all[numbered("centre-", i)] = {{"region", numbered("region-", i % 2)},
                                       {"state", i == drained ? "draining" : "active"}};
    }
    return all;
}

/// Returns an operators' document; the data centre \p drained is being withdrawn.
json::value sample_document(std::size_t target_count, std::size_t drained = centre_count)
{
    json::object pools;
    json::object services;
    json::object listeners;
    const std::size_t service_count =
        std::max<std::size_t>(1, target_count / targets_per_service);
    for (std::size_t i = 0; i < service_count; ++i)
    {
        const std::string name = numbered("service-", i);
        json::object hosts;
        for (std::size_t host = i; host < target_count; host += service_count)
        {
            // The hosts of one service are spread over the data centres.
            hosts[numbered("host-", host)] = one_target(host, i + host / service_count);
        }
        pools[name + "-hosts"] = {{"targets", std::move(hosts)}};
        services[name] = {{"pool", name + "-hosts"}, {"flow_lifetime_s", 3600}};
        listeners[name + "-front"] = {
            {"address", "10.200.0.1:" + std::to_string(7001 + i)},
            {"kind", "datagram"},
            {"service", name}};
    }
    return {{"format", 1},
            {"data_centres", centres(drained)},
            {"pools", std::move(pools)},
            {"services", std::move(services)},
            {"listeners", std::move(listeners)},
            {"tenants", {{"tenant", {{"id", 1}}}}},
            {"classes", {{"class", {{"id", 1}, {"priority", 0}, {"repeatable", true}}}}}};
}

/// Returns what \p attempt returns, or nothing when it fails in any way.
template <class Attempt>
auto successful(Attempt attempt)
    -> std::optional<std::remove_cvref_t<decltype(attempt().value())>>
{
    using value = std::remove_cvref_t<decltype(attempt().value())>;
    return boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<std::optional<value>>
        {
            BOOST_LEAF_AUTO(made, attempt());
            return std::optional<value>(std::move(made));
        },
        [] { return std::optional<value>(); });
}

std::optional<configuration_envelope> submitted(const configuration_envelope* previous,
                                                json::value document, wall_time now)
{
    return successful(
        [&]
        {
            return next_envelope(previous,
                                 {.document = std::move(document),
                                  .submission = "6f1c2a90-3b7e-4f2d-9d7a-0a1b2c3d4e5f",
                                  .author = "operator"},
                                 now);
        });
}

/// Returns the bytes of the heap that the checked configuration in \p text takes.
double bytes_in_memory(const std::string& text)
{
    const std::size_t before = mallinfo2().uordblks;
    const auto held = successful([&] { return read_envelope(text); });
    keep(held);
    return static_cast<double>(mallinfo2().uordblks - before);
}

/// What is stored, the time to read it and the memory it takes, by the count of targets.
void measure_size(ledger& book)
{
    std::vector<cost_point> memory;
    std::vector<cost_point> bytes;
    std::vector<cost_point> times;
    memory.reserve(target_counts.size());
    bytes.reserve(target_counts.size());
    times.reserve(target_counts.size());
    for (const std::size_t count : target_counts)
    {
        const auto envelope = submitted(nullptr, sample_document(count), wall_time{});
        const auto text = envelope ? successful([&] { return write_envelope(*envelope); })
                                   : std::optional<std::string>();
        if (!text)
        {
            book.tell("configuration/refused", numbered("targets ", count), 1,
                      "refusals");
            continue;
        }
        const double time =
            nanoseconds_per_call(5, 1, [&] { keep(read_envelope(*text)); });
        bytes.push_back({static_cast<double>(count), static_cast<double>(text->size())});
        memory.push_back({static_cast<double>(count), bytes_in_memory(*text)});
        times.push_back({static_cast<double>(count), time / nanoseconds_per_millisecond});
    }
    const cost_line line =
        book.add_line({"configuration/stored", "target", "bytes"}, bytes);
    book.add_line({"configuration/read", "target", "ms"}, times);
    book.add_line({"configuration/memory", "target", "bytes"}, memory);
    book.tell_bounded("configuration/at_target", "bytes stored at 5400 targets",
                      line.at(targets), "bytes", largest_platform_bytes);
}

/// Withdraws one data centre after another, as long as the value still fits, and tells
/// how the stored value grows.
void measure_history(ledger& book)
{
    const auto count = static_cast<std::size_t>(targets);
    wall_time now{};
    auto envelope = submitted(nullptr, sample_document(count), now);
    std::vector<cost_point> bytes;
    for (std::size_t change = 0; change < most_placement_epochs && envelope; ++change)
    {
        now += between_withdrawals;
        envelope = submitted(
            &*envelope, sample_document(count, change % 2 == 0 ? 0 : centre_count), now);
        const auto text = envelope ? successful([&] { return write_envelope(*envelope); })
                                   : std::optional<std::string>();
        if (!text)
        {
            break;
        }
        bytes.push_back(
            {static_cast<double>(change + 1), static_cast<double>(text->size())});
    }
    book.add({.variant = "configuration/at_target",
              .metric = "changes of every service within an hour that fit one value",
              .value = static_cast<double>(bytes.size()),
              .unit = "changes",
              .bound = metric_bound{.kind = bound_kind::at_least,
                                    .value = most_placement_epochs}});
    if (bytes.size() > 1)
    {
        book.add_line({"configuration/history", "withdrawal", "bytes"}, bytes);
    }
}

} // namespace

void measure_configuration(ledger& book)
{
    measure_size(book);
    measure_history(book);
}

} // namespace kumquatpath::bench
