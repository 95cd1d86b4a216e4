#include "target_server.hpp"

#include <support/program.hpp>

#include <algorithm>
#include <memory>
#include <sstream>

namespace kumquatpath::fakes
{
namespace
{

using std::chrono::microseconds;
using std::chrono::milliseconds;

constexpr std::size_t slot_count = 3;
constexpr std::size_t flows_per_slot = 2000;
constexpr std::size_t max_flows = slot_count * flows_per_slot;
constexpr std::size_t max_queued_requests = 600;
/// The number of runs remembered to recognise retransmissions. The oldest is removed
/// first.
constexpr std::size_t max_remembered_runs = 1U << 20U;
/// The number of openings in the report. The oldest is removed first.
constexpr std::size_t max_remembered_openings = 1U << 16U;
/// The factor by which requests take longer during the warm-up after the start.
constexpr double warm_up_slowdown_factor = 4;
constexpr milliseconds idle_check_interval{1000};

/// The number of fragments of an answer and the payload bytes of each, as requested by
/// the payload "get FRAGMENTS BYTES".
struct answer_shape
{
    std::uint32_t fragments = 1;
    std::size_t bytes = 64;
};

answer_shape parse_answer_shape(const std::string& payload)
{
    constexpr std::uint32_t max_fragments = 1000;
    answer_shape shape;
    std::string command;
    std::istringstream(payload) >> command >> shape.fragments >> shape.bytes;
    shape.fragments = std::clamp<std::uint32_t>(shape.fragments, 1, max_fragments);
    shape.bytes = std::min(shape.bytes, max_payload_bytes);
    return shape;
}

queued_request to_queued_request(const decoded_packet& packet)
{
    const auto* const text = reinterpret_cast<const char*>(packet.payload.data());
    return {.header = packet.header,
            .payload = std::string(text, packet.payload.size()),
            .received_at = present_time()};
}

} // namespace

target_server::target_server(boost::asio::io_context& context,
                             const target_options& options)
    : context_(context), options_(options), random_(options.seed),
      service_(id_of<service_id>(options.service)), started_at_(present_time()),
      socket_(context, options.listen,
              [this](const decoded_packet& packet, const endpoint& sender)
              { receive(packet, sender); }),
      idle_timer_(context)
{
    remove_idle_flows_periodically();
}

boost::json::object target_server::report() const
{
    return {{"name", options_.name},
            {"service", options_.service},
            {"data_centre", options_.data_centre},
            {"requests", counts_.requests},
            {"answered", counts_.answered},
            {"shed", counts_.shed},
            {"expired", counts_.expired},
            {"cancelled", counts_.cancelled},
            {"runs", runs()},
            {"openings", openings()},
            {"misdelivered", counts_.misdelivered},
            {"unknown_flow", counts_.unknown_flow},
            {"new_flows_in_drain", counts_.new_flows_in_drain},
            {"malformed", socket_.malformed_datagrams()},
            {"open_flows", flows_.size()},
            {"queued", queue_.size()}};
}

std::uint64_t target_server::reported_load()
{
    if (options_.fixed_load >= 0)
    {
        return static_cast<std::uint64_t>(options_.fixed_load);
    }
    const time_point now = present_time();
    load_history_.emplace_back(now, busy_slots_ + queue_.size());
    while (load_history_.size() > 1 &&
           load_history_[1].first + options_.report_lag <= now)
    {
        load_history_.pop_front();
    }
    return load_history_.front().second;
}

bool target_server::is_draining() const
{
    return is_draining_;
}

void target_server::set_draining(bool draining)
{
    is_draining_ = draining;
}

void target_server::receive(const decoded_packet& packet, const endpoint& sender)
{
    const packet_header& header = packet.header;
    if (header.service != service_)
    {
        ++counts_.misdelivered;
        return;
    }
    switch (header.kind)
    {
    case packet_kind::open:
        open_flow(header, sender);
        break;
    case packet_kind::data:
        handle_request(packet);
        break;
    case packet_kind::close:
        flows_.erase(header.flow);
        break;
    case packet_kind::cancel:
        cancel_request(header);
        break;
    default:
        break;
    }
}

void target_server::open_flow(const packet_header& header, const endpoint& sender)
{
    const bool is_known = flows_.contains(header.flow);
    if (!is_known && flows_.size() >= max_flows)
    {
        return;
    }
    counts_.new_flows_in_drain += is_draining_ && !is_known ? 1U : 0U;
    flows_[header.flow] = present_time();
    if (!is_known)
    {
        record_opening(sender);
    }
    send_to_caller(header, {.kind = packet_kind::answer});
}

void target_server::record_opening(const endpoint& sender)
{
    openings_.push_back({.at = present_time(), .sender = sender});
    if (openings_.size() > max_remembered_openings)
    {
        openings_.pop_front();
    }
}

void target_server::handle_request(const decoded_packet& packet)
{
    const packet_header& header = packet.header;
    if (!flows_.contains(header.flow))
    {
        ++counts_.unknown_flow;
        send_to_caller(header, {.kind = packet_kind::reset});
        return;
    }
    flows_[header.flow] = present_time();
    if (!header.repeatable && is_duplicate(header))
    {
        resend_answer(packet);
        return;
    }
    ++counts_.requests;
    if (queue_.size() >= max_queued_requests)
    {
        ++counts_.shed;
        send_refusal(header, refusal_reason::target_shed);
        return;
    }
    queue_.push_back(to_queued_request(packet));
    start_queued_requests();
}

void target_server::cancel_request(const packet_header& header)
{
    const auto is_cancelled = [&](const queued_request& queued)
    {
        return queued.header.flow == header.flow &&
               queued.header.request == header.request;
    };
    for (const queued_request& queued : queue_)
    {
        if (is_cancelled(queued))
        {
            ++counts_.cancelled;
            send_refusal(queued.header, refusal_reason::target_shed);
        }
    }
    std::erase_if(queue_, is_cancelled);
}

void target_server::start_queued_requests()
{
    while (busy_slots_ < slot_count && !queue_.empty())
    {
        const queued_request next = std::move(queue_.front());
        queue_.pop_front();
        const auto waited = present_time() - next.received_at;
        if (next.header.deadline.count() > 0 && waited > next.header.deadline)
        {
            ++counts_.expired;
            send_refusal(next.header, refusal_reason::deadline_passed);
            continue;
        }
        execute(next);
    }
}

void target_server::execute(const queued_request& request)
{
    ++busy_slots_;
    record_run(request.header);
    const auto timer =
        std::make_shared<boost::asio::steady_timer>(context_, draw_service_time());
    timer->async_wait(
        [this, timer, request](const boost::system::error_code&)
        {
            --busy_slots_;
            send_answer(request);
            start_queued_requests();
        });
}

microseconds target_server::draw_service_time()
{
    const bool is_warming_up = present_time() < started_at_ + options_.warm_up;
    const double mean = static_cast<double>(options_.service_time.count()) *
                        (is_warming_up ? warm_up_slowdown_factor : 1.0);
    if (mean <= 0)
    {
        return microseconds(0);
    }
    std::exponential_distribution<double> draw(1 / mean);
    return microseconds(static_cast<std::int64_t>(draw(random_)));
}

void target_server::record_run(const packet_header& header)
{
    if (header.repeatable)
    {
        return;
    }
    const request_key key{header.flow, header.request};
    runs_.emplace(key, false);
    run_order_.push_back(key);
    if (run_order_.size() > max_remembered_runs)
    {
        runs_.erase(run_order_.front());
        run_order_.pop_front();
    }
}

bool target_server::is_duplicate(const packet_header& header) const
{
    const bool is_queued =
        std::ranges::any_of(queue_,
                            [&](const queued_request& queued) {
                                return queued.header.flow == header.flow &&
                                       queued.header.request == header.request;
                            });
    return is_queued || runs_.contains({header.flow, header.request});
}

void target_server::resend_answer(const decoded_packet& packet)
{
    const auto run = runs_.find({packet.header.flow, packet.header.request});
    if (run != runs_.end() && run->second)
    {
        send_answer(to_queued_request(packet));
    }
}

boost::json::array target_server::openings() const
{
    boost::json::array openings;
    for (const auto& [at, sender] : openings_)
    {
        const auto since_start = at.time_since_epoch();
        openings.emplace_back(boost::json::array{
            std::chrono::duration_cast<milliseconds>(since_start).count(),
            to_string(sender)});
    }
    return openings;
}

boost::json::array target_server::runs() const
{
    boost::json::array keys;
    for (const auto& [key, is_answered] : runs_)
    {
        keys.emplace_back(std::to_string(key.first.value) + ":" +
                          std::to_string(key.second.value));
    }
    return keys;
}

void target_server::send_answer(const queued_request& request)
{
    const answer_shape shape = parse_answer_shape(request.payload);
    ++counts_.answered;
    const auto run = runs_.find({request.header.flow, request.header.request});
    if (run != runs_.end())
    {
        run->second = true;
    }
    for (std::uint32_t i = 0; i < shape.fragments; ++i)
    {
        std::string payload = std::to_string(request.header.flow.value) + ' ' +
                              std::to_string(request.header.request.value) + ' ' +
                              std::to_string(i) + ' ' + options_.name + ' ';
        payload.resize(std::max(shape.bytes, payload.size()), '.');
        send_to_caller(
            request.header,
            {.kind = packet_kind::answer, .fragment = i, .fragments = shape.fragments},
            payload);
    }
}

void target_server::send_refusal(const packet_header& request, refusal_reason reason)
{
    send_to_caller(request, {.kind = packet_kind::refusal,
                             .outcome = request_outcome::not_run,
                             .reason = reason});
}

void target_server::send_to_caller(const packet_header& request, packet_header header,
                                   const std::string& payload)
{
    header.repeatable = request.repeatable;
    header.service = request.service;
    header.tenant = request.tenant;
    header.traffic_class = request.traffic_class;
    header.flow = request.flow;
    header.request = request.request;
    header.token = request.token;
    header.listener = request.listener;
    header.return_path = request.return_path;
    socket_.send(header, std::as_bytes(std::span(payload)), request.return_path);
}

void target_server::remove_idle_flows_periodically()
{
    const time_point oldest = present_time() - options_.flow_idle_timeout;
    std::erase_if(flows_, [oldest](const auto& entry) { return entry.second < oldest; });
    idle_timer_.expires_after(idle_check_interval);
    idle_timer_.async_wait(
        [this](const boost::system::error_code& error)
        {
            if (!error)
            {
                remove_idle_flows_periodically();
            }
        });
}

} // namespace kumquatpath::fakes
