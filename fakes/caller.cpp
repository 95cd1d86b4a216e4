#include "caller.hpp"

#include <support/settings.hpp>

#include <algorithm>
#include <sstream>

namespace kumquatpath::fakes
{

using std::chrono::microseconds;

caller::caller(boost::asio::io_context& context, const caller_options& options)
    : context_(context), options_(options), random_(options.seed),
      socket_(context, options.listen,
              [this](const decoded_packet& packet, const endpoint&) { receive(packet); }),
      open_timer_(context), payload_("get " + std::to_string(options.fragments) + ' ' +
                                     std::to_string(options.bytes)),
      ends_at_(present_time() + std::chrono::duration_cast<duration>(options.length))
{
    next_open_at_ = present_time();
    open_regularly();
}

boost::json::object caller::report()
{
    boost::json::object targets;
    for (const auto& [name, count] : answers_by_target_)
    {
        targets[name] = count;
    }
    return {
        {"name", options_.name},
        {"sent", counts_.sent},
        {"resent", counts_.resent},
        {"answered", counts_.answered},
        {"refused_not_run", counts_.refused_not_run},
        {"unknown", counts_.unknown},
        {"timed_out", counts_.timed_out},
        {"flows", counts_.flows},
        {"unopened", counts_.unopened},
        {"broken_flows", counts_.broken_flows},
        {"stray_answers", counts_.stray_answers},
        {"wrong_answers", counts_.wrong_answers},
        {"latency_us",
         {{"p50", percentile(0.5)}, {"p90", percentile(0.9)}, {"p99", percentile(0.99)}}},
        {"answers_by_target", targets},
        {"refusals_by_reason", refusals_by_reason()}};
}

void caller::open_regularly()
{
    while (next_open_at_ <= present_time())
    {
        open_flow();
        const std::chrono::duration<double> gap(
            std::exponential_distribution<double>(options_.rate)(random_));
        next_open_at_ += std::chrono::duration_cast<duration>(gap);
    }
    if (next_open_at_ > ends_at_)
    {
        is_over_ = true;
        stop_when_done();
        return;
    }
    open_timer_.expires_after(next_open_at_ - present_time());
    open_timer_.async_wait(
        [this](const boost::system::error_code& error)
        {
            if (!error)
            {
                open_regularly();
            }
        });
}

void caller::open_flow()
{
    ++counts_.flows;
    const flow_id id{random_()};
    caller_flow& flow = flows_[id];
    flow.id = id;
    flow.timer = std::make_unique<boost::asio::steady_timer>(context_);
    flow.request_sent_at = present_time();
    send_request(flow);
}

void caller::take_opening(caller_flow& flow, flow_token token)
{
    // A second target may answer a copy of the opening; the flow is at the first one.
    if (!flow.is_open)
    {
        flow.is_open = true;
        flow.token = token;
        start_request(flow);
    }
}

void caller::start_request(caller_flow& flow)
{
    ++flow.request.value;
    flow.request_sent_at = present_time();
    flow.waiting = true;
    flow.fragments.assign(options_.fragments, false);
    flow.fragments_come = 0;
    ++counts_.sent;
    send_request(flow);
}

void caller::send_request(caller_flow& flow)
{
    const auto passed =
        std::chrono::duration_cast<microseconds>(present_time() - flow.request_sent_at);
    send(flow, flow.is_open ? packet_kind::data : packet_kind::open,
         options_.deadline - passed);
    wait(flow, options_.retry, [this](caller_flow& held) { retry(held); });
}

void caller::retry(caller_flow& flow)
{
    if (present_time() < flow.request_sent_at + options_.deadline)
    {
        ++counts_.resent;
        send_request(flow);
        return;
    }
    ++(flow.is_open ? counts_.timed_out : counts_.unopened);
    fail(flow);
}

void caller::fail(const caller_flow& flow)
{
    counts_.broken_flows += flow.request.value > 1 ? 1U : 0U;
    end(flow);
}

void caller::end(const caller_flow& flow)
{
    send(flow, packet_kind::close, microseconds(0));
    flows_.erase(flow.id);
    stop_when_done();
}

void caller::stop_when_done()
{
    if (is_over_ && flows_.empty())
    {
        context_.stop();
    }
}

void caller::send(const caller_flow& flow, packet_kind kind, microseconds deadline)
{
    const bool is_request = kind == packet_kind::data;
    const std::string empty;
    socket_.send({.kind = kind,
                  .repeatable = options_.repeatable,
                  .token = flow.token,
                  .listener = options_.fabric,
                  .service = options_.service,
                  .tenant = options_.tenant,
                  .traffic_class = options_.traffic_class,
                  .flow = flow.id,
                  .request = flow.request,
                  .deadline = deadline},
                 std::as_bytes(std::span(is_request ? payload_ : empty)),
                 options_.fabric);
}

template <class Then>
void caller::wait(const caller_flow& flow, duration delay, Then then)
{
    flow.timer->expires_after(delay);
    flow.timer->async_wait(
        [this, id = flow.id, then](const boost::system::error_code& error)
        {
            const auto found = flows_.find(id);
            if (!error && found != flows_.end())
            {
                then(found->second);
            }
        });
}

void caller::receive(const decoded_packet& packet)
{
    const packet_header& header = packet.header;
    const auto found = flows_.find(header.flow);
    if (found == flows_.end())
    {
        ++counts_.stray_answers;
        return;
    }
    caller_flow& flow = found->second;
    if (header.kind == packet_kind::reset)
    {
        ++counts_.broken_flows;
        end(flow);
        return;
    }
    if (header.kind == packet_kind::answer && header.request.value == 0)
    {
        take_opening(flow, header.token);
        return;
    }
    const bool is_awaited = flow.is_open ? flow.waiting : header.request.value == 0;
    if (!is_awaited || header.request != flow.request)
    {
        ++counts_.stray_answers;
        return;
    }
    if (header.kind == packet_kind::refusal)
    {
        take_refusal(flow, header);
    }
    else if (header.kind == packet_kind::answer)
    {
        take_fragment(flow, packet);
    }
}

void caller::take_refusal(caller_flow& flow, const packet_header& header)
{
    ++refusals_[header.reason];
    const bool not_run = header.outcome == request_outcome::not_run;
    ++(not_run ? counts_.refused_not_run : counts_.unknown);
    fail(flow);
}

void caller::take_fragment(caller_flow& flow, const decoded_packet& packet)
{
    const packet_header& header = packet.header;
    const std::string target = answering_target(packet);
    if (target.empty() || header.fragment >= flow.fragments.size())
    {
        ++counts_.wrong_answers;
        return;
    }
    if (flow.fragments[header.fragment])
    {
        return;
    }
    flow.fragments[header.fragment] = true;
    ++flow.fragments_come;
    if (flow.fragments_come == flow.fragments.size())
    {
        ++answers_by_target_[target];
        finish_request(flow);
    }
}

std::string caller::answering_target(const decoded_packet& packet) const
{
    const auto* const text = reinterpret_cast<const char*>(packet.payload.data());
    std::istringstream payload(std::string(text, packet.payload.size()));
    std::uint64_t flow = 0;
    std::uint64_t request = 0;
    std::uint32_t fragment = 0;
    std::string target;
    payload >> flow >> request >> fragment >> target;
    const bool matches =
        packet.header.flow.value == flow && packet.header.request.value == request &&
        packet.header.fragment == fragment && packet.header.service == options_.service;
    return matches ? target : std::string();
}

void caller::finish_request(caller_flow& flow)
{
    ++counts_.answered;
    flow.waiting = false;
    latencies_.push_back(
        std::chrono::duration_cast<microseconds>(present_time() - flow.request_sent_at)
            .count());
    if (flow.request.value >= options_.flow_requests)
    {
        end(flow);
        return;
    }
    wait(flow, options_.request_interval,
         [this](caller_flow& held) { start_request(held); });
}

std::int64_t caller::percentile(double part)
{
    if (latencies_.empty())
    {
        return 0;
    }
    std::ranges::sort(latencies_);
    const auto last = static_cast<double>(latencies_.size() - 1);
    return latencies_[static_cast<std::size_t>(part * last)];
}

boost::json::object caller::refusals_by_reason() const
{
    boost::json::object counts;
    for (const auto& [reason, count] : refusals_)
    {
        counts[std::to_string(static_cast<unsigned>(reason))] = count;
    }
    return counts;
}

} // namespace kumquatpath::fakes
