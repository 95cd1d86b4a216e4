#include "fleet_model.hpp"

#include <cmath>

/// \file
/// The part of fleet_model that simulates the targets and how callers handle their
/// answers.

namespace kumquatpath::bench
{
namespace
{

/// The standard deviation of the natural logarithm of the service time. The service time
/// has a log-normal distribution.
constexpr double service_time_log_sigma = 0.5;

} // namespace

void fleet_model::receive_opening_at_target(std::uint32_t target_number,
                                            const request_ptr& request,
                                            std::uint64_t flow)
{
    events_.schedule_after(caller_link_delay, [this, target_number, request, flow]
                           { handle_opening_answer(target_number, request, flow); });
}

void fleet_model::handle_opening_answer(std::uint32_t target_number,
                                        const request_ptr& request, std::uint64_t flow)
{
    if (request->flow != flow || request->is_flow_open || request->is_finished)
    {
        return;
    }
    request->is_flow_open = true;
    request->token = token_of({target_number + 1});
    send_to_instance(request,
                     {.flow = {flow}, .token = request->token, .has_payload = true});
}

void fleet_model::receive_request_at_target(std::uint32_t target_number,
                                            const request_ptr& request,
                                            std::uint64_t flow)
{
    target& receiver = targets_[target_number];
    if (receiver.is_crashed)
    {
        return;
    }
    if (receiver.queue.size() >= options_.max_queued_requests)
    {
        events_.schedule_after(caller_link_delay, [this, request, flow]
                               { handle_failed_attempt(request, flow); });
        send_to_instance(request,
                         {.flow = {flow}, .token = request->token, .is_end = true});
        return;
    }
    receiver.queue.emplace_back(request, flow);
    start_queued_requests(target_number);
}

void fleet_model::start_queued_requests(std::uint32_t target_number)
{
    target& receiver = targets_[target_number];
    while (receiver.busy_slots < options_.slots_per_target && !receiver.queue.empty())
    {
        const auto [request, flow] = receiver.queue.front();
        receiver.queue.pop_front();
        ++receiver.busy_slots;
        ++receiver.requests_run;
        // A log-normal variable has the mean
        // exp(service_time_log_mean + service_time_log_sigma^2 / 2).
        const double service_time_log_mean =
            std::log(options_.mean_service_time_ms) -
            service_time_log_sigma * service_time_log_sigma / 2;
        const double service_time_ms = std::lognormal_distribution<double>(
            service_time_log_mean, service_time_log_sigma)(random_);
        events_.schedule_after(from_milliseconds(service_time_ms),
                               [this, target_number, request = request, flow = flow]
                               {
                                   --targets_[target_number].busy_slots;
                                   if (!targets_[target_number].is_crashed)
                                   {
                                       events_.schedule_after(
                                           caller_link_delay, [this, request, flow]
                                           { handle_answer(request, flow); });
                                       start_queued_requests(target_number);
                                   }
                               });
    }
}

void fleet_model::handle_answer(const request_ptr& request, std::uint64_t flow)
{
    send_to_instance(request, {.flow = {flow}, .token = request->token, .is_end = true});
    if (request->is_finished || request->flow != flow)
    {
        return;
    }
    request->is_finished = true;
    const bool is_in_time = events_.now() <= request->started_at + options_.latency_goal;
    ++(is_in_time ? window_of(*request).in_time : window_of(*request).late);
}

} // namespace kumquatpath::bench
