#include "packet_worker.hpp"

#include "status.hpp"
#include "unexpected_error.hpp"

#include <kumquatpath/decision/held_back_entries.hpp>
#include <kumquatpath/edge/clock.hpp>
#include <kumquatpath/edge/fleet_codec.hpp>
#include <kumquatpath/edge/log.hpp>

namespace kumquatpath
{
namespace
{

constexpr std::chrono::milliseconds tick_interval{50};
constexpr double percent = 100;
/// When a read succeeds after the state had become older than this, heartbeats are sent
/// at once, so that peers need not read the source themselves.
constexpr std::chrono::milliseconds stale_state_age{1300};

entry_instance make_self(const daemon_settings& settings, std::uint64_t incarnation)
{
    return make_entry_instance(
        {.self = id_of<instance_id>(settings.name),
         .local_data_centre = id_of<data_centre_id>(settings.data_centre),
         .address = settings.peer,
         .incarnation = incarnation,
         .selection = {.uses_speeds = settings.uses_target_speeds,
                       .uses_peer_evidence = settings.shares_evidence,
                       .measures_distance = settings.uses_remote_placement},
         .second_tries_share = settings.second_tries_percent / percent,
         .has_exclusive_addresses = settings.resets_ended_flows,
         .has_lasting_generations = settings.interface == served_interface::platform,
         .corrects_tokens = settings.interface == served_interface::platform});
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
    case state_failure::too_long:
        return "too_long";
    case state_failure::incomplete:
        return "incomplete";
    case state_failure::outdated:
        return "outdated";
    case state_failure::malformed:
        return "malformed";
    case state_failure::cancelled:
        break;
    }
    return "cancelled";
}

} // namespace

packet_worker::packet_worker(const daemon_settings& settings, const packet_format& format,
                             std::uint64_t incarnation, packet_worker_outputs outputs)
    : settings_(settings), format_(format), outputs_(std::move(outputs)),
      data_socket_(context_, settings.data, max_forwarded_packet_bytes),
      peer_socket_(context_, settings.peer, max_fleet_datagram_bytes), timer_(context_),
      second_try_timer_(context_), self_(make_self(settings, incarnation)),
      output_buffer_(max_forwarded_packet_bytes)
{
    data_socket_.on_readable(
        [this] { run_logging_errors("packet_worker", [this] { receive_packets(); }); });
    peer_socket_.on_readable(
        [this]
        { run_logging_errors("packet_worker", [this] { receive_heartbeats(); }); });
}

boost::asio::io_context& packet_worker::context()
{
    return context_;
}

void packet_worker::run()
{
    run_tick(monotonic_now());
    wait_for_tick();
    run_context(context_, "packet_worker");
}

void packet_worker::handle(packet_worker_message message)
{
    std::visit([this](auto&& each) { process(std::forward<decltype(each)>(each)); },
               std::move(message));
}

void packet_worker::process(source_update&& message)
{
    const time_point now = monotonic_now();
    ++metrics_.readings;
    if (is_source_lost_)
    {
        is_source_lost_ = false;
        log(log_level::info, "state_source_regained",
            {{"position", message.state.update.position.value}});
    }
    const bool was_stale = state_age(self_, now) > stale_state_age;
    const auto& configuration = message.state.configuration;
    const shared_state_result outcome = apply_shared_state(
        self_, configuration ? &*configuration : nullptr, message.state.update, now);
    count_update(message.state.update, outcome.update);
    if (!outcome.update.is_incomplete)
    {
        record_state_read(self_, message.as_of, now);
    }
    if (was_stale)
    {
        broadcast_heartbeats(now);
    }
    report_shared_state(message.state.update.is_whole ? "listing" : "changes", outcome,
                        true, now);
}

void packet_worker::process(source_read_failure&& message)
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

void packet_worker::process(peer_reply&& message)
{
    const time_point now = monotonic_now();
    unanswered_peer_ = {};
    const state_update& update = message.reply.update;
    const peer_reply_result outcome =
        apply_peer_reply(self_, message.sender, message.reply, message.table, now);
    count_update(update, outcome.state.update);
    metrics_.whole_replies_received += update.is_whole ? 1U : 0U;
    if (outcome.is_first_in_vain)
    {
        log(log_level::warning, "peer_asked_in_vain",
            {{"peer", message.sender.value},
             {"position", self_.directory.position.value},
             {"peer_position", update.position.value},
             {"complete_from", update.complete_from.value}});
    }
    const auto sender = self_.fleet.peers.find(message.sender);
    const bool is_sender_remote =
        sender != self_.fleet.peers.end() &&
        sender->second.data_centre != self_.fleet.local_data_centre;
    report_shared_state("peer", outcome.state, is_sender_remote, now);
}

void packet_worker::process(peer_query_completion&& /*message*/)
{
    query_pending_until_ = {};
}

void packet_worker::process(peer_state_request&& message)
{
    state_reply reply = make_state_reply(self_, message.request, monotonic_now());
    metrics_.whole_replies_sent += reply.update.is_whole ? 1U : 0U;
    message.respond(std::move(reply));
}

void packet_worker::process(page_request&& message)
{
    const time_point now = monotonic_now();
    count_waiting_openings();
    count_control_traffic();
    metrics_.messages_dropped = outputs_.messages_dropped();
    message.respond(message.page == page_kind::status
                        ? status_page(settings_, self_, now)
                        : metrics_page(metrics_, self_, now));
}

void packet_worker::process(stop_request&& /*message*/)
{
    if (self_.leaving_since)
    {
        return;
    }
    const time_point now = monotonic_now();
    self_.leaving_since = now;
    outputs_.set_ready(false);
    log(log_level::info, "leaving", {{"flows", self_.steering.flows.size()}});
    send_heartbeats(now);
}

void packet_worker::process(settings_update&& message)
{
    settings_.seeds = std::move(message.seeds);
    log(log_level::info, "reloaded", {{"seeds", settings_.seeds.size()}});
}

void packet_worker::count_update(const state_update& update,
                                 const state_update_result& outcome)
{
    metrics_.updates_incomplete += outcome.is_incomplete ? 1U : 0U;
    if (self_.directory.refused_targets > 0 && !has_logged_refused_targets_)
    {
        has_logged_refused_targets_ = true;
        log(log_level::error, "targets_refused",
            {{"known", self_.directory.by_entry.size()},
             {"position", update.position.value}});
    }
}

void packet_worker::report_shared_state(std::string_view from,
                                        const shared_state_result& outcome,
                                        bool is_new_to_data_centre, time_point now)
{
    if (outcome.returned_from)
    {
        log(log_level::warning, "store_returned",
            {{"from", from},
             {"era", self_.directory.position.era.value},
             {"earlier_era", outcome.returned_from->value},
             {"position", self_.directory.position.value},
             {"held_back", count_held_back_entries(self_.directory)}});
    }
    if (outcome.is_configuration_kept)
    {
        log(log_level::warning, "configuration_kept",
            {{"from", from},
             {"generation", self_.configuration.table->generation.value},
             {"written", self_.configuration.written.value},
             {"revision", self_.configuration.revision.value}});
    }
    report_state_change(from, outcome.update, outcome.is_configuration_new,
                        is_new_to_data_centre, now);
}

void packet_worker::report_state_change(std::string_view from,
                                        const state_update_result& outcome,
                                        bool is_configuration_new,
                                        bool is_new_to_data_centre, time_point now)
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
    if (outcome.targets.changed > 0)
    {
        log(log_level::info, "targets_changed",
            {{"from", from},
             {"changes", outcome.targets.changed},
             {"position", position},
             {"age_ms", state_age(self_, now).count()}});
    }
    report_evacuations(from, outcome.evacuations);
    if (outcome.targets.updated > 0 || !outcome.evacuations.empty())
    {
        log_evacuated_services(now);
    }
    outputs_.set_ready(is_ready(self_));
    const bool has_changes = outcome.targets.updated > 0 || is_configuration_new ||
                             !outcome.evacuations.empty();
    if (is_new_to_data_centre && has_changes)
    {
        broadcast_heartbeats(now);
    }
}

void packet_worker::wait_for_tick()
{
    timer_.expires_after(tick_interval);
    timer_.async_wait(
        [this](const boost::system::error_code& failure)
        {
            if (failure)
            {
                return;
            }
            // Waits first, so that an exception in this tick does not end the ticks.
            wait_for_tick();
            const time_point now = monotonic_now();
            run_tick(now);
            if (may_exit(self_, now))
            {
                refuse_all_queued(now);
                context_.stop();
            }
        });
}

void packet_worker::run_tick(time_point now)
{
    tick(self_, now);
    const state_update_result used = use_held_back_state(self_, now);
    if (used.targets.updated > 0 || !used.evacuations.empty())
    {
        report_state_change("held_back", used, false, false, now);
    }
    log_cut_off(now);
    refuse_expired(now);
    refuse_unservable(now);
    place_queued_openings(now);
    send_heartbeats(now);
    contact_new_peers(now);
    log_target_changes(now);
    log_waiting_openings(now);
    log_control_traffic(now);
    const bool is_reading =
        update_reader_role(self_.fleet, self_.directory.position, now);
    if (is_reading != was_reading_)
    {
        was_reading_ = is_reading;
        log(log_level::info, is_reading ? "reading_started" : "reading_ended",
            {{"state_age_ms", state_age(self_, now).count()},
             {"peers", self_.fleet.peers.size()}});
    }
    outputs_.request_reading({.is_active = is_reading,
                              .position = self_.directory.position,
                              .pause = reading_pause(self_.fleet)});
    query_peer_if_behind(now);
}

} // namespace kumquatpath
