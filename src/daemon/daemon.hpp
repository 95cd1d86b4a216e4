#ifndef KUMQUATPATH_DAEMON_DAEMON_HPP
#define KUMQUATPATH_DAEMON_DAEMON_HPP

/// \file
/// All duties of one instance, joined by their inboxes.

#include "operator_duty.hpp"
#include "packet_duty.hpp"
#include "platform_duty.hpp"
#include "roster_duty.hpp"
#include "settings.hpp"
#include "transfer_duty.hpp"

#include <kumquatpath/edge/inbox.hpp>
#include <kumquatpath/edge/platform_client.hpp>

#include <boost/asio/signal_set.hpp>

namespace kumquatpath
{

/// Runs each duty on a thread of its own. The packet duty has the thread that calls
/// run().
///
/// Every inbox joins one producer to one consumer, so each duty that tells the packet
/// duty something has an inbox of its own there. A full inbox refuses and counts.
class daemon
{
public:
    /// Binds every port that the settings name. Throws boost::system::system_error if one
    /// cannot be bound.
    explicit daemon(const daemon_settings& settings);

    /// Serves until SIGTERM or SIGINT has come and the graceful stop has ended.
    void run();

private:
    packet_duty_outputs outputs();
    void take(packet_message message);
    void wait_for_signal();
    void stop_duties();

    platform_client configuration_store_;
    platform_client roster_store_;
    packet_duty packets_;
    inbox<packet_message> from_platform_;
    inbox<packet_message> from_transfer_;
    inbox<packet_message> from_roster_;
    platform_duty platform_;
    transfer_duty transfers_;
    roster_duty rosters_;
    operator_duty operators_;
    inbox<transfer_message> to_transfer_;
    inbox<roster_order> to_roster_;
    inbox<shared_snapshot> to_operators_;
    boost::asio::signal_set signals_;
};

} // namespace kumquatpath

#endif
