#include "packet_duty.hpp"

#include "status.hpp"

#include <kumquatpath/edge/clock.hpp>
#include <kumquatpath/edge/fleet_codec.hpp>
#include <kumquatpath/edge/log.hpp>

namespace kumquatpath
{
namespace
{

constexpr std::chrono::milliseconds tick_interval{50};
/// A reading after a state of this age is told at once, so that others need not read.
constexpr std::chrono::milliseconds stale_for_peers{1300};

entry make_self(const daemon_settings& settings, std::uint64_t start)
{
    return make_entry({.self = id_of<instance_id>(settings.name),
                       .home = id_of<data_centre_id>(settings.data_centre),
                       .address = settings.peer,
                       .incarnation = start});
}

std::string_view to_string(state_failure failure)
{
    switch (failure)
    {
    case state_failure::unreachable:
        return "unreachable";
    case state_failure::refused:
        return "refused";
    case state_failure::history_lost:
        return "history_lost";
    case state_failure::malformed:
        return "malformed";
    case state_failure::cancelled:
        break;
    }
    return "cancelled";
}

} // namespace

packet_duty::packet_duty(const daemon_settings& settings, const packet_format& format,
                         std::uint64_t start, packet_duty_outputs outputs)
    : settings_(settings), format_(format), outputs_(std::move(outputs)),
      data_(context_, settings.data, max_forwarded_packet_bytes),
      peers_(context_, settings.peer, max_fleet_datagram_bytes), timer_(context_),
      self_(make_self(settings, start)), scratch_(max_forwarded_packet_bytes)
{
    data_.on_readable([this] { receive_packets(); });
    peers_.on_readable([this] { receive_beats(); });
}

boost::asio::io_context& packet_duty::context()
{
    return context_;
}

void packet_duty::run()
{
    tick_now(monotonic_now());
    wait_for_tick();
    context_.run();
}

void packet_duty::handle(packet_input message)
{
    std::visit([this](auto&& each) { take(std::forward<decltype(each)>(each)); },
               std::move(message));
}

void packet_duty::take(state_was_read&& message)
{
    const time_point now = monotonic_now();
    ++metrics_.readings;
    if (is_source_lost_)
    {
        is_source_lost_ = false;
        log(log_level::info, "state_source_regained",
            {{"position", message.state.position.value}});
    }
    const bool was_stale = state_age(self_, now) > stale_for_peers;
    const bool is_newer = message.state.configuration &&
                          take_configuration(self_, *message.state.configuration);
    const state_outcome outcome =
        message.is_whole
            ? take_listing(self_, message.state.targets, message.state.position, now)
            : take_changes(self_, message.state.targets, message.state.position, now);
    note_reading(self_, message.as_of, now);
    if (was_stale)
    {
        tell_news(now);
    }
    note_state(message.is_whole ? "listing" : "changes", outcome, is_newer, true, now);
}

void packet_duty::take(reading_failed&& message)
{
    ++metrics_.readings_failed;
    if (!is_source_lost_ && message.failure != state_failure::cancelled)
    {
        is_source_lost_ = true;
        const auto age = state_age(self_, monotonic_now());
        log(log_level::warning, "state_source_lost",
            {{"failure", to_string(message.failure)}, {"state_age_ms", age.count()}});
    }
}

void packet_duty::take(state_was_told&& message)
{
    const time_point now = monotonic_now();
    last_asked_ = {};
    bool is_newer = false;
    if (message.table)
    {
        is_newer =
            take_configuration(self_, {.revision = message.reply.configuration,
                                       .text = std::make_shared<const std::string>(
                                           std::move(message.reply.configuration_text)),
                                       .table = message.table});
    }
    const state_outcome outcome =
        take_changes(self_, message.reply.targets, message.reply.position, now);
    const auto teller = self_.fleet.peers.find(message.by);
    const bool is_from_afar = teller != self_.fleet.peers.end() &&
                              teller->second.data_centre != self_.fleet.home;
    note_state("peer", outcome, is_newer, is_from_afar, now);
}

void packet_duty::take(asking_ended&& /*message*/)
{
    is_asking_ = false;
}

void packet_duty::take(state_was_asked&& message)
{
    message.answer(reply_to(self_, message.request));
}

void packet_duty::take(page_was_asked&& message)
{
    const time_point now = monotonic_now();
    message.answer(message.page == page_kind::status
                       ? status_page(settings_, self_, now)
                       : metrics_page(metrics_, self_, now));
}

void packet_duty::take(stop_was_asked&& /*message*/)
{
    if (self_.leaving_since)
    {
        return;
    }
    const time_point now = monotonic_now();
    self_.leaving_since = now;
    outputs_.set_ready(false);
    log(log_level::info, "leaving", {{"flows", self_.steering.flows.size()}});
    send_beats(now);
}

void packet_duty::take(settings_were_read&& message)
{
    settings_.seeds = std::move(message.seeds);
    log(log_level::info, "reloaded", {{"seeds", settings_.seeds.size()}});
}

void packet_duty::note_state(std::string_view from, const state_outcome& outcome,
                             bool is_configuration_new, bool is_news_here, time_point now)
{
    const auto position = self_.directory.position.value;
    if (is_configuration_new)
    {
        log(log_level::info, "configuration_in_force",
            {{"from", from},
             {"generation", self_.configuration.table->generation.value},
             {"revision", self_.configuration.revision.value},
             {"routes", self_.configuration.table->routes.size()}});
    }
    if (outcome.targets_changed > 0)
    {
        log(log_level::info, "targets_changed",
            {{"from", from},
             {"changes", outcome.targets_changed},
             {"position", position},
             {"age_ms", state_age(self_, now).count()}});
    }
    outputs_.set_ready(is_ready(self_));
    if (is_news_here && (outcome.targets_changed > 0 || is_configuration_new))
    {
        tell_news(now);
    }
}

void packet_duty::wait_for_tick()
{
    timer_.expires_after(tick_interval);
    timer_.async_wait(
        [this](const boost::system::error_code& failure)
        {
            if (failure)
            {
                return;
            }
            const time_point now = monotonic_now();
            tick_now(now);
            if (may_end(self_, now))
            {
                context_.stop();
                return;
            }
            wait_for_tick();
        });
}

void packet_duty::tick_now(time_point now)
{
    tick(self_, now);
    refuse_expired(now);
    place_waiting(now);
    send_beats(now);
    find_seeds(now);
    watch_targets(now);
    watch_limits(now);
    const bool is_reading = decide_reading(self_.fleet, self_.directory.position, now);
    if (is_reading != was_reading_)
    {
        was_reading_ = is_reading;
        log(log_level::info, is_reading ? "reading_started" : "reading_ended",
            {{"state_age_ms", state_age(self_, now).count()},
             {"peers", self_.fleet.peers.size()}});
    }
    outputs_.read({.is_wanted = is_reading,
                   .position = self_.directory.position,
                   .pause = reading_pause(self_.fleet)});
    follow_state(now);
}

} // namespace kumquatpath
