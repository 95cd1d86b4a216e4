#include "target_server.hpp"

#include <support/settings.hpp>

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
constexpr std::size_t connections_per_slot = 2000;
constexpr std::size_t most_flows = slot_count * connections_per_slot;
constexpr std::size_t longest_queue = 600;
/// Runs remembered to answer copies by; the oldest is forgotten first.
constexpr std::size_t most_runs_remembered = 1U << 20U;
/// How many times slower a target is right after its start.
constexpr double cold_factor = 4;
constexpr milliseconds idle_check_interval{1000};

/// The shape of an answer, as the request's payload asks: "get FRAGMENTS BYTES".
struct wanted_answer
{
    std::uint32_t fragments = 1;
    std::size_t bytes = 64;
};

wanted_answer wanted_by(const std::string& payload)
{
    constexpr std::uint32_t most_fragments = 1000;
    wanted_answer wanted;
    std::string verb;
    std::istringstream(payload) >> verb >> wanted.fragments >> wanted.bytes;
    wanted.fragments = std::clamp<std::uint32_t>(wanted.fragments, 1, most_fragments);
    wanted.bytes = std::min(wanted.bytes, max_payload_bytes);
    return wanted;
}

queued_request as_request(const decoded_packet& packet)
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
              [this](const decoded_packet& packet, const endpoint&) { receive(packet); }),
      idle_timer_(context)
{
    expire_regularly();
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
            {"misdelivered", counts_.misdelivered},
            {"unknown_flow", counts_.unknown_flow},
            {"new_flows_in_drain", counts_.new_flows_in_drain},
            {"malformed", socket_.malformed()},
            {"open_flows", flows_.size()},
            {"queued", queue_.size()}};
}

std::uint64_t target_server::told_load()
{
    if (options_.reported_load >= 0)
    {
        return static_cast<std::uint64_t>(options_.reported_load);
    }
    const time_point now = present_time();
    loads_.emplace_back(now, busy_slots_ + queue_.size());
    while (loads_.size() > 1 && loads_[1].first + options_.report_lag <= now)
    {
        loads_.pop_front();
    }
    return loads_.front().second;
}

bool target_server::is_draining() const
{
    return draining_;
}

void target_server::draining_is(bool draining)
{
    draining_ = draining;
}

void target_server::receive(const decoded_packet& packet)
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
        open(header);
        break;
    case packet_kind::data:
        accept(packet);
        break;
    case packet_kind::close:
        flows_.erase(header.flow);
        break;
    case packet_kind::cancel:
        cancel(header);
        break;
    default:
        break;
    }
}

void target_server::open(const packet_header& header)
{
    const bool known = flows_.contains(header.flow);
    if (!known && flows_.size() >= most_flows)
    {
        return;
    }
    counts_.new_flows_in_drain += draining_ && !known ? 1U : 0U;
    flows_[header.flow] = present_time();
    reply(header, {.kind = packet_kind::answer});
}

void target_server::accept(const decoded_packet& packet)
{
    const packet_header& header = packet.header;
    if (!flows_.contains(header.flow))
    {
        ++counts_.unknown_flow;
        reply(header, {.kind = packet_kind::reset});
        return;
    }
    flows_[header.flow] = present_time();
    if (!header.repeatable && is_copy(header))
    {
        answer_again(packet);
        return;
    }
    ++counts_.requests;
    if (queue_.size() >= longest_queue)
    {
        ++counts_.shed;
        refuse(header, refusal_reason::target_shed);
        return;
    }
    queue_.push_back(as_request(packet));
    start_next();
}

void target_server::cancel(const packet_header& header)
{
    const auto matches = [&](const queued_request& each)
    {
        return each.header.flow == header.flow && each.header.request == header.request;
    };
    for (const queued_request& each : queue_)
    {
        if (matches(each))
        {
            ++counts_.cancelled;
            refuse(each.header, refusal_reason::target_shed);
        }
    }
    std::erase_if(queue_, matches);
}

void target_server::start_next()
{
    while (busy_slots_ < slot_count && !queue_.empty())
    {
        const queued_request next = std::move(queue_.front());
        queue_.pop_front();
        const auto waited = present_time() - next.received_at;
        if (next.header.deadline.count() > 0 && waited > next.header.deadline)
        {
            ++counts_.expired;
            refuse(next.header, refusal_reason::deadline_passed);
            continue;
        }
        execute(next);
    }
}

void target_server::execute(const queued_request& request)
{
    ++busy_slots_;
    remember_run(request.header);
    const auto timer =
        std::make_shared<boost::asio::steady_timer>(context_, next_service_time());
    timer->async_wait(
        [this, timer, request](const boost::system::error_code&)
        {
            --busy_slots_;
            answer(request);
            start_next();
        });
}

microseconds target_server::next_service_time()
{
    const bool cold = present_time() < started_at_ + options_.cold;
    const double mean =
        static_cast<double>(options_.service_time.count()) * (cold ? cold_factor : 1.0);
    if (mean <= 0)
    {
        return microseconds(0);
    }
    std::exponential_distribution<double> draw(1 / mean);
    return microseconds(static_cast<std::int64_t>(draw(random_)));
}

void target_server::remember_run(const packet_header& header)
{
    if (header.repeatable)
    {
        return;
    }
    const run_key key{header.flow, header.request};
    runs_.emplace(key, false);
    run_order_.push_back(key);
    if (run_order_.size() > most_runs_remembered)
    {
        runs_.erase(run_order_.front());
        run_order_.pop_front();
    }
}

bool target_server::is_copy(const packet_header& header) const
{
    const bool is_queued =
        std::ranges::any_of(queue_,
                            [&](const queued_request& each) {
                                return each.header.flow == header.flow &&
                                       each.header.request == header.request;
                            });
    return is_queued || runs_.contains({header.flow, header.request});
}

void target_server::answer_again(const decoded_packet& packet)
{
    const auto run = runs_.find({packet.header.flow, packet.header.request});
    if (run != runs_.end() && run->second)
    {
        answer(as_request(packet));
    }
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

void target_server::answer(const queued_request& request)
{
    const wanted_answer wanted = wanted_by(request.payload);
    ++counts_.answered;
    const auto run = runs_.find({request.header.flow, request.header.request});
    if (run != runs_.end())
    {
        run->second = true;
    }
    for (std::uint32_t i = 0; i < wanted.fragments; ++i)
    {
        std::string text = std::to_string(request.header.flow.value) + ' ' +
                           std::to_string(request.header.request.value) + ' ' +
                           std::to_string(i) + ' ' + options_.name + ' ';
        text.resize(std::max(wanted.bytes, text.size()), '.');
        reply(request.header,
              {.kind = packet_kind::answer, .fragment = i, .fragments = wanted.fragments},
              text);
    }
}

void target_server::refuse(const packet_header& request, refusal_reason reason)
{
    reply(request, {.kind = packet_kind::refusal,
                    .outcome = request_outcome::not_run,
                    .reason = reason});
}

void target_server::reply(const packet_header& request, packet_header header,
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

void target_server::expire_regularly()
{
    const time_point oldest = present_time() - options_.flow_idle;
    std::erase_if(flows_, [oldest](const auto& entry) { return entry.second < oldest; });
    idle_timer_.expires_after(idle_check_interval);
    idle_timer_.async_wait(
        [this](const boost::system::error_code& error)
        {
            if (!error)
            {
                expire_regularly();
            }
        });
}

} // namespace kumquatpath::fakes
