#include "caller.hpp"

#include <support/program.hpp>

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
                                     std::to_string(options.fragment_bytes)),
      arrivals_end_at_(present_time() +
                       std::chrono::duration_cast<duration>(options.arrival_duration))
{
    next_open_at_ = present_time();
    open_due_flows();
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

void caller::open_due_flows()
{
    while (next_open_at_ <= present_time())
    {
        open_flow();
        const std::chrono::duration<double> gap(
            std::exponential_distribution<double>(options_.flows_per_second)(random_));
        next_open_at_ += std::chrono::duration_cast<duration>(gap);
    }
    if (next_open_at_ > arrivals_end_at_)
    {
        has_opened_all_flows_ = true;
        stop_when_done();
        return;
    }
    open_timer_.expires_after(next_open_at_ - present_time());
    open_timer_.async_wait(
        [this](const boost::system::error_code& error)
        {
            if (!error)
            {
                open_due_flows();
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

void caller::handle_opening_answer(caller_flow& flow, flow_token token)
{
    // Another target may answer a retransmitted opening. The flow stays with the target
    // that answered first.
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
    flow.is_waiting = true;
    flow.received_fragments.assign(options_.fragments, false);
    flow.received_fragment_count = 0;
    ++counts_.sent;
    send_request(flow);
}

void caller::send_request(caller_flow& flow)
{
    const auto elapsed =
        std::chrono::duration_cast<microseconds>(present_time() - flow.request_sent_at);
    send(flow, flow.is_open ? packet_kind::data : packet_kind::open,
         options_.deadline - elapsed);
    call_after(flow, options_.retry_interval,
               [this](caller_flow& current_flow) { resend_or_give_up(current_flow); });
}

void caller::resend_or_give_up(caller_flow& flow)
{
    if (present_time() < flow.request_sent_at + options_.deadline)
    {
        ++counts_.resent;
        send_request(flow);
        return;
    }
    ++(flow.is_open ? counts_.timed_out : counts_.unopened);
    fail_flow(flow);
}

void caller::fail_flow(const caller_flow& flow)
{
    counts_.broken_flows += flow.request.value > 1 ? 1U : 0U;
    close_flow(flow);
}

void caller::close_flow(const caller_flow& flow)
{
    send(flow, packet_kind::close, microseconds(0));
    flows_.erase(flow.id);
    stop_when_done();
}

void caller::stop_when_done()
{
    if (has_opened_all_flows_ && flows_.empty())
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

template <class Callback>
void caller::call_after(const caller_flow& flow, duration delay, Callback callback)
{
    flow.timer->expires_after(delay);
    flow.timer->async_wait(
        [this, id = flow.id, callback](const boost::system::error_code& error)
        {
            const auto found = flows_.find(id);
            if (!error && found != flows_.end())
            {
                callback(found->second);
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
        close_flow(flow);
        return;
    }
    if (header.kind == packet_kind::answer && header.request.value == 0)
    {
        handle_opening_answer(flow, header.token);
        return;
    }
    const bool is_awaited = flow.is_open ? flow.is_waiting : header.request.value == 0;
    if (!is_awaited || header.request != flow.request)
    {
        ++counts_.stray_answers;
        return;
    }
    if (header.kind == packet_kind::refusal)
    {
        handle_refusal(flow, header);
    }
    else if (header.kind == packet_kind::answer)
    {
        handle_fragment(flow, packet);
    }
}

void caller::handle_refusal(caller_flow& flow, const packet_header& header)
{
    ++refusals_[header.reason];
    const bool not_run = header.outcome == request_outcome::not_run;
    ++(not_run ? counts_.refused_not_run : counts_.unknown);
    fail_flow(flow);
}

void caller::handle_fragment(caller_flow& flow, const decoded_packet& packet)
{
    const packet_header& header = packet.header;
    const std::string target = answering_target(packet);
    if (target.empty() || header.fragment >= flow.received_fragments.size())
    {
        ++counts_.wrong_answers;
        return;
    }
    if (flow.received_fragments[header.fragment])
    {
        return;
    }
    flow.received_fragments[header.fragment] = true;
    ++flow.received_fragment_count;
    if (flow.received_fragment_count == flow.received_fragments.size())
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
    flow.is_waiting = false;
    latencies_.push_back(
        std::chrono::duration_cast<microseconds>(present_time() - flow.request_sent_at)
            .count());
    if (flow.request.value >= options_.requests_per_flow)
    {
        close_flow(flow);
        return;
    }
    call_after(flow, options_.request_interval,
               [this](caller_flow& current_flow) { start_request(current_flow); });
}

std::int64_t caller::percentile(double fraction)
{
    if (latencies_.empty())
    {
        return 0;
    }
    std::ranges::sort(latencies_);
    const auto last = static_cast<double>(latencies_.size() - 1);
    return latencies_[static_cast<std::size_t>(fraction * last)];
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
