#include <boost/leaf/handle_errors.hpp>

#include <throughput/driver.hpp>

#include <optional>

namespace kumquatpath::bench
{
namespace
{

using steady = std::chrono::steady_clock;

/// A request without an answer was lost by a full buffer.
constexpr std::chrono::milliseconds resend_after{50};

std::optional<packet_header> header_of(payload_view bytes)
{
    return boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<std::optional<packet_header>>
        {
            BOOST_LEAF_AUTO(packet, decode_packet(bytes));
            return std::optional(packet.header);
        },
        [] { return std::optional<packet_header>(); });
}

} // namespace

driver::driver(const driver_options& options)
    : options_(options), caller_(context_, options.caller, longest_datagram),
      sent_at_(options.window)
{
    for (const endpoint& each : options.targets)
    {
        targets_.push_back(std::make_unique<udp_port>(context_, each, longest_datagram));
    }
    for (std::size_t i = 0; i < options.window; ++i)
    {
        requests_.push_back(encoded(packet_kind::open, i));
        answers_.push_back(encoded(packet_kind::answer, i));
    }
}

driver::datagram driver::encoded(packet_kind kind, std::size_t index)
{
    const std::vector<std::byte> payload(options_.payload_bytes);
    const payload_view bytes = encode_packet(builder_,
                                             {.kind = kind,
                                              .repeatable = true,
                                              .service = options_.service,
                                              .tenant = {1},
                                              .traffic_class = {1},
                                              .flow = {index},
                                              .request = {1},
                                              .return_path = options_.caller},
                                             payload);
    return {bytes.begin(), bytes.end()};
}

void driver::send(std::size_t index)
{
    sent_at_[index] = steady::now();
    caller_.queue(options_.forwarder, requests_[index]);
}

void driver::run_until(steady::time_point end)
{
    for (std::size_t i = 0; i < options_.window; ++i)
    {
        send(i);
    }
    caller_.flush();
    for (steady::time_point now = steady::now(); now < end; now = steady::now())
    {
        std::size_t taken = take_answers(now);
        for (const auto& target : targets_)
        {
            taken += answer_requests(*target);
        }
        if (taken == 0)
        {
            resend_silent(now);
        }
    }
}

std::size_t driver::take_answers(steady::time_point /*now*/)
{
    const auto batch = caller_.receive();
    for (const received_datagram& each : batch)
    {
        const auto header = header_of(each.bytes);
        if (!header || header->flow.value >= options_.window)
        {
            continue;
        }
        ++(header->kind == packet_kind::answer ? counts_.answered : counts_.refused);
        send(header->flow.value);
    }
    caller_.flush();
    return batch.size();
}

std::size_t driver::answer_requests(udp_port& target)
{
    const auto batch = target.receive();
    for (const received_datagram& each : batch)
    {
        const auto header = header_of(each.bytes);
        if (header && header->flow.value < options_.window)
        {
            target.queue(each.source, answers_[header->flow.value]);
        }
    }
    target.flush();
    return batch.size();
}

void driver::resend_silent(steady::time_point now)
{
    for (std::size_t i = 0; i < options_.window; ++i)
    {
        if (now - sent_at_[i] > resend_after)
        {
            ++counts_.resent;
            send(i);
        }
    }
    caller_.flush();
}

const driver_counts& driver::counts() const
{
    return counts_;
}

} // namespace kumquatpath::bench
