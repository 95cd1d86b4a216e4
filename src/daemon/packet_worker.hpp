#ifndef KUMQUATPATH_DAEMON_PACKET_WORKER_HPP
#define KUMQUATPATH_DAEMON_PACKET_WORKER_HPP

/// \file
/// The thread that steers callers' packets, exchanges heartbeats with peers and owns the
/// state of the instance.

#include "messages.hpp"
#include "metrics.hpp"
#include "settings.hpp"
#include "state_reader.hpp"

#include <kumquatpath/decision/admission_order.hpp>
#include <kumquatpath/decision/entry_instance.hpp>
#include <kumquatpath/decision/opening_queue.hpp>
#include <kumquatpath/edge/packet_format.hpp>
#include <kumquatpath/edge/udp_socket.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <set>

namespace kumquatpath
{

/// The number of full batches of datagrams that are received at once before timers,
/// signals and messages get their turn. Otherwise a flood would hold them up for as long
/// as it lasts.
inline constexpr std::size_t max_batches_per_wake_up = 4;

/// The traffic of the connections that other workers own.
struct worker_traffic
{
    traffic state_transfers;
    traffic store;
};

/// Functions through which the packet_worker controls and queries the other workers. Each
/// is called on the packet_worker's thread and must not block.
struct packet_worker_outputs
{
    std::function<void(const read_request&)> request_reading;
    /// Returns whether the query was queued.
    std::function<bool(const peer_query&)> query_peer;
    std::function<void(bool)> set_ready;
    std::function<worker_traffic()> total_traffic;
    /// Returns the messages dropped so far between all workers.
    std::function<dropped_message_counts()> messages_dropped;
};

/// The state of a target as it was last logged.
struct logged_target_state
{
    bool is_suspect = false;
    bool is_failing = false;
};

/// Returns the datagram of a queued opening.
inline received_packet to_received_packet(const queued_opening& opening)
{
    return {.datagram = opening.datagram, .source = opening.source};
}

/// Why an opening is refused.
struct refusal
{
    std::string_view why;
    std::uint32_t priority = 0;
    /// The opening that was refused on an estimate of its wait; null: another reason.
    const unservable_opening* estimate = nullptr;
};

/// Owns the UDP sockets for callers' packets and for peers' heartbeats, and the state of
/// the instance: the entry_instance, the opening queue and the metrics. While run() runs,
/// only its thread may call other functions.
class packet_worker
{
public:
    /// Binds both sockets. Throws boost::system::system_error if one cannot be bound.
    /// \p incarnation differs from one start of the instance to the next. \p format must
    /// outlive this object.
    packet_worker(const daemon_settings& settings, const packet_format& format,
                  std::uint64_t incarnation, packet_worker_outputs outputs);

    /// Returns the context that run() runs.
    boost::asio::io_context& context();

    /// Handles a message from another worker.
    void handle(packet_worker_message message);

    /// Serves until a graceful stop is complete.
    void run();

private:
    void process(source_update&& message);
    void process(source_read_failure&& message);
    void process(peer_reply&& message);
    void process(peer_query_completion&& message);
    void process(peer_state_request&& message);
    void process(page_request&& message);
    void process(stop_request&& message);
    void process(settings_update&& message);

    void receive_packets();
    void steer_packet(const received_packet& received, time_point now);
    void forward(const received_packet& received, const steering_decision& decision);
    /// Forwards an opening and keeps it for correct_tokens().
    void forward_opening(const flow_packet& packet, const received_packet& received,
                         const steering_decision& decision, time_point now);
    /// Sends the opening of the flow of \p packet, which was forwarded by \p decision, to
    /// the other targets that may have answered it, with the token of the flow's target.
    void correct_tokens(const flow_packet& packet, const steering_decision& decision,
                        time_point now);
    /// Sends the opening of \p flow, which must be kept, to \p targets with \p token.
    void send_corrections(flow_id flow, const std::vector<target_index>& targets,
                          flow_token token, time_point now);
    void log_token_correction(const received_packet& opening, target_index target,
                              flow_token token, time_point now);
    /// Sends \p notice to all live peers of this data centre.
    void send_to_local_peers(const flow_notice& notice, time_point now);
    /// Processes a notice that \p sender sent from \p source.
    void process_flow_notice(instance_id sender, const flow_notice& notice,
                             const endpoint& source, time_point now);
    void refuse(const flow_packet& packet, const received_packet& received,
                const refusal& refused, time_point now);
    /// Queues an opening until a target has room for it. If the queue is full, refuses
    /// the opening that add_opening() evicts from it.
    void queue_opening(const flow_packet& packet, const received_packet& received,
                       time_point now);
    /// Returns whether \p packet has to queue behind openings that wait for its service.
    bool is_behind_others(const flow_packet& packet) const;
    void record_opening_placement(const flow_packet& packet, target_index target,
                                  time_point now);
    /// Refuses the queued openings whose estimated wait is too long for their callers.
    void refuse_unservable(time_point now);
    /// Places queued openings in the order of their priorities as far as the targets have
    /// room.
    void place_by_priority(time_point now);
    /// Forwards and records the placement of \p opening if \p decision is to forward it.
    void finish_placement(const queued_opening& opening,
                          const steering_decision& decision, time_point now);
    /// Refuses the queued openings that have waited for as long as they may.
    void refuse_expired(time_point now);
    /// Refuses every queued opening, before the process exits.
    void refuse_all_queued(time_point now);
    /// Places queued openings as far as the targets have room.
    void place_queued_openings(time_point now);
    void log_placement(const flow_packet& packet, const steering_decision& decision,
                       time_point now);
    /// Updates the second tries after an opening or an answer, as \p decision says.
    void follow_second_tries(const flow_packet& packet, const received_packet& received,
                             const steering_decision& decision, time_point now);
    /// Sends the second tries that are due and sets the timer for the next ones.
    void send_second_tries(time_point now);
    /// Sets the timer for the next second try unless it expires sooner.
    void wait_for_second_tries(time_point now);
    void log_second_try(const second_try& sent, time_point now);
    /// Returns whether another line about a flow may be logged in this second. A line
    /// that may not is counted, and the count is logged when lines may be written again.
    bool may_log(time_point now);
    void receive_heartbeats();
    /// Ignores and counts a message that cannot be authenticated or read, or that was not
    /// sent from the address in it. Replies at once to the first heartbeat after a peer's
    /// start.
    void process_peer_datagram(byte_view datagram, const endpoint& source,
                               time_point now);
    /// Counts \p update. Logs the first target that has no room in the directory.
    void count_update(const state_update& update, const state_update_result& outcome);
    /// Logs whether the store has come back from an older copy, and the changes as
    /// report_state_change() does.
    void report_shared_state(std::string_view from, const shared_state_result& outcome,
                             bool is_new_to_data_centre, time_point now);
    /// Logs changes of the shared state and updates the readiness. If the changes are new
    /// to this data centre, sends heartbeats with the new position at once.
    void report_state_change(std::string_view from, const state_update_result& outcome,
                             bool is_configuration_new, bool is_new_to_data_centre,
                             time_point now);
    /// Logs the evacuations in \p changes, which came into force or were withdrawn, and
    /// one that matches no target. Logs once that the table of evacuations is full.
    void report_evacuations(std::string_view from,
                            const std::vector<evacuation_change>& changes);
    /// Logs the services that have lost their last target to evacuations, and those that
    /// have one again.
    void log_evacuated_services(time_point now);
    /// Logs when the evacuation of the local data centre is suspended because that is cut
    /// off, and when it is obeyed again, with the services that this concerns.
    void log_cut_off(time_point now);
    void wait_for_tick();
    void run_tick(time_point now);
    /// Sends the heartbeats that are due to peers in this data centre and in others.
    void send_heartbeats(time_point now);
    /// Sends a heartbeat at once to all peers in this data centre and to a few in others.
    void broadcast_heartbeats(time_point now);
    /// Sends a heartbeat to at most \p max_count peers, either of this data centre or of
    /// the others, and continues with the next peers at the next call.
    void send_heartbeats_in_turn(bool is_local, std::size_t max_count, time_point now);
    void send_heartbeat(const endpoint& to, bool is_local, time_point now);
    /// Logs how many entries of evidence in a heartbeat from \p peer were dropped.
    void log_dropped_evidence(const endpoint& peer, const evidence_counts& before,
                              time_point now);
    /// Sends a heartbeat to each seed that is not known as a peer, and to each instance
    /// that peers have named but that this instance has not heard from.
    void contact_new_peers(time_point now);
    /// Queries a peer that has newer state, unless a query is in progress.
    void query_peer_if_behind(time_point now);
    /// Logs targets that have become or ceased to be suspect or failing.
    void log_target_changes(time_point now);
    /// Logs, at most once a second, how many targets warm up if that has changed, and
    /// once that an announced warm-up was too long.
    void log_warm_ups(time_point now);
    /// Logs a changed number of targets whose service the configuration does not name.
    void log_unnamed_services(time_point now);
    /// Updates the traffic of the other workers in the metrics.
    void count_control_traffic();
    /// Logs the control traffic so far at intervals.
    void log_control_traffic(time_point now);
    /// Updates the numbers of waiting openings in the metrics.
    void count_waiting_openings();
    /// Logs the concurrency limit of each service, once a second while openings are
    /// queued.
    void log_waiting_openings(time_point now);

    daemon_settings settings_;
    const packet_format& format_;
    packet_worker_outputs outputs_;
    boost::asio::io_context context_{1};
    udp_socket data_socket_;
    udp_socket peer_socket_;
    boost::asio::steady_timer timer_;
    boost::asio::steady_timer second_try_timer_;
    /// When second_try_timer_ expires; unset: it is not running.
    std::optional<time_point> second_try_timer_due_;
    entry_instance self_;
    opening_queue opening_queue_;
    admission_order admission_order_;
    /// The value of flow_steering::finished_requests at the last check. When it has
    /// changed, targets may have room for queued openings.
    std::uint64_t last_finished_requests_ = 0;
    instance_metrics metrics_;
    std::vector<std::byte> output_buffer_;
    time_point next_warm_up_log_at_;
    time_point next_unnamed_service_log_at_;
    /// The number of targets in warm-up as it was last logged.
    std::size_t logged_cold_targets_ = 0;
    std::size_t logged_unnamed_service_targets_ = 0;
    bool is_shortened_warm_up_logged_ = false;
    /// Indexed like the targets of the directory.
    std::vector<logged_target_state> logged_target_states_;
    /// The services that were logged as having only targets of evacuated data centres.
    std::set<service_id> evacuated_services_;
    bool is_full_evacuation_table_logged_ = false;
    bool was_cut_off_ = false;
    /// A query is in progress until its completion is reported or this time has come.
    time_point query_pending_until_;
    /// The peer of the last query until its reply arrives. Other peers are preferred for
    /// the next query.
    instance_id unanswered_peer_;
    bool was_reading_ = false;
    /// The peer with which the next round of heartbeats starts, modulo the number of
    /// peers.
    std::size_t next_local_peer_ = 0;
    std::size_t next_remote_peer_ = 0;
    bool is_source_lost_ = false;
    bool has_logged_refused_targets_ = false;
    time_point next_local_heartbeat_at_;
    time_point next_remote_heartbeat_at_;
    time_point next_seed_contact_at_;
    time_point next_waiting_log_at_;
    time_point next_traffic_log_at_;
    time_point next_refusal_at_;
    time_point log_refill_at_;
    /// How many lines may_log() still allows before log_refill_at_.
    std::uint32_t log_lines_left_ = 0;
    /// The part of instance_metrics::log_lines_held_back that was logged.
    std::uint64_t reported_held_back_lines_ = 0;
};

} // namespace kumquatpath

#endif
