#ifndef KUMQUATPATH_DAEMON_ROSTER_DUTY_HPP
#define KUMQUATPATH_DAEMON_ROSTER_DUTY_HPP

/// \file
/// The duty that reads and writes the roster in the platform's store, and holds its
/// leader's lease there.
///
/// The roster of a region is the value of kumquatpath/roster/REGION; the lease is the key
/// kumquatpath/leader/REGION, which goes when the platform's lease does. What cannot be
/// told for certain, such as a write whose answer was lost, is not answered at all: the
/// decision then reads back.

#include "messages.hpp"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/leaf/result.hpp>

#include <functional>
#include <optional>
#include <string>

namespace kumquatpath
{

/// Carries orders out one by one, on a thread of its own that may wait in a call.
class roster_duty
{
public:
    /// \p output takes the answers; \p store is used by the thread in run() only.
    roster_duty(key_value_store& store, std::function<void(packet_message)> output);

    /// Returns the context whose thread this duty is.
    boost::asio::io_context& context();

    /// Carries \p order out.
    void handle(const roster_order& order);

    /// Serves until stop().
    void run();

    /// Ends run(); may be called from any thread.
    void stop();

private:
    boost::leaf::result<void> carry_out(const std::string& region,
                                        const acquire_lease& command);
    boost::leaf::result<void> carry_out(const std::string& region,
                                        const read_roster& command);
    boost::leaf::result<void> carry_out(const std::string& region,
                                        const write_roster& command);
    boost::leaf::result<void> claim_leadership(const std::string& region,
                                               const acquire_lease& command);

    key_value_store& store_;
    std::function<void(packet_message)> output_;
    boost::asio::io_context context_{1};
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work_;
    /// The platform's lease under which this instance holds the leader's key.
    std::optional<lease_id> lease_;
};

/// Writes a roster as the platform stores it.
std::string write_roster_value(const roster& value);

/// The failure of parse_roster_value(): the text is no roster.
struct malformed_roster
{
};

/// Reads what write_roster_value() wrote. Fails with malformed_roster.
boost::leaf::result<roster> parse_roster_value(std::string_view text);

} // namespace kumquatpath

#endif
