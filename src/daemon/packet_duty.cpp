#include "packet_duty.hpp"

#include "status.hpp"

#include <kumquatpath/edge/clock.hpp>
#include <kumquatpath/edge/fleet_codec.hpp>
#include <kumquatpath/edge/log.hpp>

#include <algorithm>

namespace kumquatpath
{
namespace
{

constexpr std::chrono::milliseconds tick_interval{50};
/// How often peers of the own data centre are told of the loads.
constexpr duration home_beat_interval = std::chrono::milliseconds(100);
/// How often other peers get a sign of life.
constexpr duration far_beat_interval = std::chrono::milliseconds(400);
/// A reading after a state of this age is told at once, so that others need not read.
constexpr std::chrono::milliseconds stale_for_peers{1300};
/// Peers that are told each time; in a large fleet they take turns.
constexpr std::size_t home_beats_a_turn = 6;
constexpr std::size_t far_beats_a_turn = 4;
constexpr duration seeds_interval = std::chrono::milliseconds(250);
/// The longest datagram between a caller and this instance, without what goes before it.
constexpr std::size_t most_lines_a_second = 100;
/// What a flow takes from its placement on; an opening that waits must leave as much.
constexpr duration usual_flow_time = std::chrono::milliseconds(100);

entry make_self(const daemon_settings& settings, std::uint64_t start)
{
    return make_entry({.self = id_of<instance_id>(settings.name),
                       .home = id_of<data_centre_id>(settings.data_centre),
                       .address = settings.peer,
                       .incarnation = start,
                       .started_at = monotonic_now()});
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

received_packet as_received(const waiting_opening& opening)
{
    return {.datagram = opening.datagram, .source = opening.source};
}

std::string flow_name(const flow_packet& packet)
{
    return to_string(packet.caller) + ">" + to_string(packet.listener);
}

} // namespace

packet_duty::packet_duty(const daemon_settings& settings, const packet_format& format,
                         std::uint64_t start, packet_duty_outputs outputs)
    : settings_(settings), format_(format), outputs_(std::move(outputs)),
      data_(context_, settings.data, longest_forward),
      peers_(context_, settings.peer, longest_fleet_datagram), timer_(context_),
      self_(make_self(settings, start)), scratch_(longest_forward)
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
        send_to_some(true, self_.fleet.peers.size(), now);
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
        send_to_some(true, self_.fleet.peers.size(), now);
        send_to_some(false, far_beats_a_turn, now);
        peers_.flush();
    }
}

void packet_duty::receive_packets()
{
    const time_point now = monotonic_now();
    bool may_have_more = true;
    while (may_have_more)
    {
        const auto batch = data_.receive();
        for (const received_datagram& each : batch)
        {
            steer_packet({.datagram = each.bytes, .source = each.source}, now);
        }
        data_.flush();
        may_have_more = batch.size() == udp_port::batch_size;
    }
    review_flows(self_.steering, self_.directory, now);
    place_waiting(now);
}

void packet_duty::steer_packet(const received_packet& received, time_point now)
{
    const auto packet = format_.read(received);
    if (!packet || self_.configuration.table == nullptr)
    {
        ++metrics_.packets_malformed;
        return;
    }
    self_.last_packet_at = now;
    const routing_table& table = *self_.configuration.table;
    const steering_decision decision =
        steer(self_.steering, table, self_.directory, *packet, now);
    ++metrics_.verdicts[static_cast<std::size_t>(decision.verdict)];
    if (decision.verdict == steering_verdict::forward)
    {
        forward(received, decision);
    }
    if (decision.verdict == steering_verdict::wait)
    {
        let_wait(*packet, received, now);
    }
    if (decision.opening_time || decision.flow_time)
    {
        const route* const found = find_route(table, packet->listener);
        add_times(metrics_, found == nullptr ? "" : found->name, decision);
    }
    if (decision.is_placement || decision.verdict != steering_verdict::forward)
    {
        log_placement(*packet, decision, now);
    }
}

void packet_duty::forward(const received_packet& received,
                          const steering_decision& decision)
{
    const target_record& target = self_.directory.targets[decision.target].record;
    const std::size_t size =
        format_.write_forward(received, target, decision.token, scratch_);
    data_.queue(target.address, payload_view(scratch_).first(size));
}

void packet_duty::let_wait(const flow_packet& packet, const received_packet& received,
                           time_point now)
{
    const route* const found = find_route(*self_.configuration.table, packet.listener);
    const time_point begun = now - packet.age;
    const auto displaced = add_waiting(
        waiting_, {.packet = packet,
                   .datagram = {received.datagram.begin(), received.datagram.end()},
                   .source = received.source,
                   .begun = begun,
                   .in_time_until = begun + found->latency_goal - usual_flow_time,
                   .priority = found->priority});
    if (displaced)
    {
        refuse(*displaced, now);
    }
}

void packet_duty::refuse(const waiting_opening& opening, time_point now)
{
    endpoint to;
    const std::size_t size = format_.write_refusal(as_received(opening), scratch_, to);
    data_.queue(to, payload_view(scratch_).first(size));
    ++metrics_.openings_refused;
    if (may_log(now))
    {
        log(log_level::info, "flow_refused",
            {{"flow", flow_name(opening.packet)},
             {"why", "every target is full"},
             {"waiting", waiting_.openings.size()}});
    }
}

void packet_duty::place_waiting(time_point now)
{
    if (waiting_.openings.empty())
    {
        return;
    }
    for (const waiting_opening& each : take_expired(waiting_, now))
    {
        refuse(each, now);
    }
    order_waiting(waiting_, now);
    std::vector<endpoint> full;
    std::erase_if(waiting_.openings,
                  [&](const waiting_opening& each)
                  {
                      if (std::find(full.begin(), full.end(), each.packet.listener) !=
                          full.end())
                      {
                          return false;
                      }
                      const steering_decision decision =
                          steer(self_.steering, *self_.configuration.table,
                                self_.directory, each.packet, now);
                      if (decision.verdict == steering_verdict::wait)
                      {
                          full.push_back(each.packet.listener);
                          return false;
                      }
                      if (decision.verdict == steering_verdict::forward)
                      {
                          forward(as_received(each), decision);
                      }
                      log_placement(each.packet, decision, now);
                      return true;
                  });
    data_.flush();
}

bool packet_duty::may_log(time_point now)
{
    if (now >= log_refill_)
    {
        log_refill_ = now + std::chrono::seconds(1);
        log_allowance_ = most_lines_a_second;
        if (metrics_.log_lines_held_back > logged_held_back_)
        {
            log(log_level::warning, "lines_held_back",
                {{"lines", metrics_.log_lines_held_back - logged_held_back_}});
            logged_held_back_ = metrics_.log_lines_held_back;
        }
    }
    if (log_allowance_ == 0)
    {
        ++metrics_.log_lines_held_back;
        return false;
    }
    --log_allowance_;
    return true;
}

void packet_duty::log_placement(const flow_packet& packet,
                                const steering_decision& decision, time_point now)
{
    metrics_.flows_placed += decision.is_placement ? 1U : 0U;
    if (!may_log(now))
    {
        return;
    }
    boost::json::object fields = {
        {"flow", flow_name(packet)},
        {"outcome", to_string(decision.verdict)},
        {"generation", self_.configuration.table->generation.value},
        {"position", self_.directory.position.value},
        {"state_age_ms", state_age(self_, now).count()}};
    if (decision.verdict == steering_verdict::unknown_token)
    {
        fields["token"] = packet.token.value;
    }
    if (decision.verdict == steering_verdict::forward)
    {
        const target_evidence& evidence = self_.steering.choice.evidence[decision.target];
        fields["target"] =
            to_string(self_.directory.targets[decision.target].record.address);
        fields["busy"] = evidence.busy;
        fields["peers_busy"] = evidence.peers_busy;
        fields["overdue"] = evidence.overdue;
    }
    log(log_level::info, "flow_placed", std::move(fields));
}

void packet_duty::receive_beats()
{
    const time_point now = monotonic_now();
    bool may_have_more = true;
    while (may_have_more)
    {
        const auto batch = peers_.receive();
        for (const received_datagram& each : batch)
        {
            hear(each.bytes, each.source, now);
        }
        may_have_more = batch.size() == udp_port::batch_size;
    }
    peers_.flush();
    follow_state(now);
}

void packet_duty::hear(payload_view datagram, const endpoint& source, time_point now)
{
    const auto message = decode_fleet(datagram, settings_.key, longest_fleet_datagram);
    const auto* const beat = message ? std::get_if<fleet_beat>(&message->body) : nullptr;
    if (beat == nullptr || beat->address.address != source.address)
    {
        ++metrics_.peer_messages_refused;
        return;
    }
    const beat_outcome outcome = take_beat(self_, *message, *beat, now);
    if (outcome.is_new)
    {
        log(log_level::info, "peer_heard",
            {{"peer", to_string(beat->address)}, {"position", beat->position.value}});
        send_beat(beat->address, false, now);
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
    place_waiting(now);
    send_beats(now);
    find_seeds(now);
    watch_targets(now);
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

void packet_duty::send_beats(time_point now)
{
    if (now >= next_home_beat_)
    {
        next_home_beat_ = now + home_beat_interval;
        send_to_some(true, home_beats_a_turn, now);
    }
    if (now >= next_far_beat_)
    {
        next_far_beat_ = now + far_beat_interval;
        send_to_some(false, far_beats_a_turn, now);
    }
    peers_.flush();
}

void packet_duty::send_to_some(bool is_home, std::size_t most, time_point now)
{
    std::vector<endpoint> candidates;
    for (const auto& [instance, peer] : self_.fleet.peers)
    {
        if ((peer.data_centre == self_.fleet.home) == is_home)
        {
            candidates.push_back(peer.address);
        }
    }
    std::size_t& next = is_home ? next_home_peer_ : next_far_peer_;
    for (std::size_t i = 0; i < std::min(most, candidates.size()); ++i)
    {
        send_beat(candidates[next++ % candidates.size()], is_home, now);
    }
}

void packet_duty::send_beat(const endpoint& to, bool has_loads, time_point now)
{
    ++self_.beats_sent;
    const fleet_message message{.sender = self_.fleet.self,
                                .sequence = self_.beats_sent,
                                .body = make_beat(self_, has_loads, now)};
    const std::vector<std::byte> bytes = encode_fleet(message, settings_.key);
    metrics_.control_bytes_sent += bytes.size();
    peers_.queue(to, bytes);
}

void packet_duty::find_seeds(time_point now)
{
    if (now < next_seeds_)
    {
        return;
    }
    next_seeds_ = now + seeds_interval;
    for (const endpoint& each : settings_.seeds)
    {
        const endpoint seed{.address = each.address, .port = settings_.peer.port};
        const bool is_known =
            seed.address == settings_.peer.address ||
            std::any_of(self_.fleet.peers.begin(), self_.fleet.peers.end(),
                        [&](const auto& peer) { return peer.second.address == seed; });
        if (!is_known)
        {
            send_beat(seed, false, now);
        }
    }
    for (const fleet_member& each : self_.fleet.strangers)
    {
        send_beat(each.address, false, now);
    }
    self_.fleet.strangers.clear();
    peers_.flush();
}

void packet_duty::follow_state(time_point now)
{
    if (is_asking_)
    {
        return;
    }
    const fleet_peer* const teller =
        better_informed(self_.fleet,
                        {.position = self_.directory.position,
                         .configuration = self_.configuration.revision,
                         .avoided = last_asked_,
                         .random = mix(self_.incarnation, self_.beats_sent)},
                        now);
    if (teller == nullptr)
    {
        return;
    }
    is_asking_ = true;
    last_asked_ = teller->instance;
    outputs_.ask({.peer = teller->address,
                  .instance = teller->instance,
                  .request = {.position = self_.directory.position,
                              .configuration = self_.configuration.revision}});
}

void packet_duty::watch_targets(time_point now)
{
    const auto& evidence = self_.steering.choice.evidence;
    were_suspect_.resize(evidence.size(), false);
    for (std::size_t i = 0; i < evidence.size(); ++i)
    {
        const bool is_now = is_suspect(evidence[i]);
        if (is_now == were_suspect_[i])
        {
            continue;
        }
        were_suspect_[i] = is_now;
        boost::json::object fields = {
            {"target", to_string(self_.directory.targets[i].record.address)},
            {"overdue", evidence[i].overdue}};
        if (evidence[i].answered_opening != time_point())
        {
            fields["last_answer_age_ms"] =
                std::chrono::duration_cast<std::chrono::milliseconds>(
                    now - evidence[i].answered_opening)
                    .count();
        }
        log(log_level::warning, is_now ? "target_suspect" : "target_trusted",
            std::move(fields));
    }
}

} // namespace kumquatpath
