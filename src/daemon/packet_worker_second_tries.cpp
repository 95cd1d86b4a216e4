#include "packet_worker.hpp"
#include "unexpected_error.hpp"

#include <kumquatpath/edge/clock.hpp>
#include <kumquatpath/edge/log.hpp>

namespace kumquatpath
{

void packet_worker::follow_second_tries(const flow_packet& packet,
                                        const received_packet& received,
                                        const steering_decision& decision, time_point now)
{
    second_tries& tries = self_.second_try_state;
    if (decision.verdict == steering_verdict::wait)
    {
        record_capacity_shortage(tries, now);
    }
    if (decision.is_placement)
    {
        record_opening(tries, *self_.configuration.table, self_.directory, self_.steering,
                       packet, received.datagram, received.source, decision.target, now);
    }
    if (decision.opening_time)
    {
        record_answer(tries, packet.flow, self_.directory.targets[decision.target], now);
    }
}

void packet_worker::send_second_tries(time_point now)
{
    if (!next_due(self_.second_try_state))
    {
        return;
    }
    if (!opening_queue_.openings.empty())
    {
        record_capacity_shortage(self_.second_try_state, now);
    }
    const std::vector<second_try> sent =
        take_due(self_.second_try_state, self_.steering, *self_.configuration.table,
                 self_.directory, now);
    for (const second_try& each : sent)
    {
        forward_opening(each.packet, {.datagram = each.datagram, .source = each.source},
                        each.decision, now);
        log_second_try(each, now);
    }
    data_socket_.flush();
    wait_for_second_tries(now);
}

void packet_worker::wait_for_second_tries(time_point now)
{
    const auto due = next_due(self_.second_try_state);
    if (!due || (second_try_timer_due_ && *second_try_timer_due_ <= *due))
    {
        return;
    }
    second_try_timer_due_ = due;
    second_try_timer_.expires_after(*due - now);
    second_try_timer_.async_wait(
        [this](const boost::system::error_code& failure)
        {
            if (failure)
            {
                return;
            }
            second_try_timer_due_.reset();
            run_logging_errors("packet_worker",
                               [this] { send_second_tries(monotonic_now()); });
        });
}

void packet_worker::log_second_try(const second_try& sent, time_point now)
{
    ++metrics_.flows_placed;
    if (!may_log(now))
    {
        return;
    }
    const auto address_of = [&](target_index target)
    {
        return to_string(self_.directory.targets[target].record.address);
    };
    log(log_level::info, "second_try_sent",
        {{"flow", to_string(sent.packet.caller) + ">" + to_string(sent.packet.listener)},
         {"first_target", address_of(sent.first_target)},
         {"target", address_of(sent.decision.target)},
         {"waited_ms", milliseconds_of(sent.waited)},
         {"generation", self_.configuration.table->generation.value}});
}

} // namespace kumquatpath
