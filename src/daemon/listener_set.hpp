#ifndef KUMQUATPATH_DAEMON_LISTENER_SET_HPP
#define KUMQUATPATH_DAEMON_LISTENER_SET_HPP

/// \file
/// The datagram listeners that a configuration asks for, and their sockets.

#include <kumquatpath/edge/udp_port.hpp>
#include <kumquatpath/model/configuration.hpp>

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <unordered_map>
#include <vector>

namespace kumquatpath
{

/// One listener that is open.
struct open_listener
{
    service_id service;
    endpoint address;
    std::unique_ptr<udp_port> port;
};

/// Opens, keeps and closes listeners as the configuration changes. A listener whose
/// address stays is never closed. One that cannot be opened is logged and left out.
class listener_set
{
public:
    /// \p on_readable is called with the listener for which datagrams wait. \p
    /// data_address stands in for the address of every listener if it is given.
    listener_set(boost::asio::io_context& context,
                 std::optional<std::uint32_t> data_address,
                 std::function<void(open_listener&)> on_readable);

    /// Opens and closes what \p whole asks for.
    void adopt(const configuration& whole);

    /// Returns a listener of \p service, or null.
    open_listener* find(service_id service);

    /// Sends what is queued on every listener.
    void flush();

private:
    std::unique_ptr<open_listener> take_known(const endpoint& address);
    std::unique_ptr<open_listener> open(const listener& wanted, const endpoint& address);

    boost::asio::io_context& context_;
    std::optional<std::uint32_t> data_address_;
    std::function<void(open_listener&)> on_readable_;
    std::vector<std::unique_ptr<open_listener>> listeners_;
    std::unordered_map<service_id, open_listener*> by_service_;
};

} // namespace kumquatpath

#endif
