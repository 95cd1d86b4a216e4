#ifndef KUMQUATPATH_FAKES_FABRIC_HPP
#define KUMQUATPATH_FAKES_FABRIC_HPP

/// \file
/// A fake network fabric: it forwards each datagram of a caller to a random live instance
/// of the listener that it was sent to, and the answers of instances to the caller.
///
/// Each caller has its own upstream socket. An instance answers to the source address of
/// a packet, so the socket that receives an answer identifies the caller.

#include <support/datagram_socket.hpp>

#include <functional>
#include <list>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <vector>

namespace kumquatpath::fakes
{

/// Addresses and fault rates of the fabric. \c loss, \c duplicate and \c reorder are
/// probabilities per datagram, from 0 to 1.
struct fabric_options
{
    /// Where the HTTP control interface listens.
    endpoint control_endpoint;
    /// The live instances of each listener.
    std::map<endpoint, std::vector<endpoint>> live_instances;
    double loss = 0;
    double duplicate = 0;
    double reorder = 0;
    /// The maximum number of callers with an upstream socket at the same time.
    std::size_t max_callers = 1024;
    std::uint64_t seed = 1;
};

/// Datagrams forwarded, datagrams dropped by cause, and callers evicted.
struct fabric_counts
{
    std::uint64_t to_instances = 0;
    std::uint64_t to_callers = 0;
    /// Dropped at random. These datagrams also count in to_instances or to_callers.
    std::uint64_t lost = 0;
    /// Dropped because the address of the instance is cut off.
    std::uint64_t cut = 0;
    /// Dropped because the listener has no live instance.
    std::uint64_t without_instance = 0;
    /// Callers whose upstream socket was closed to make room for another caller.
    std::uint64_t evicted_callers = 0;
};

/// Identifies a caller of one listener.
struct caller_key
{
    endpoint listener;
    endpoint caller;

    friend auto operator<=>(const caller_key&, const caller_key&) = default;
};

/// Forwards datagrams between callers and instances. At most fabric_options::max_callers
/// callers have an upstream socket; a further caller evicts the least recently used one.
class fabric
{
public:
    /// Binds every listener. Throws if one cannot be bound.
    fabric(boost::asio::io_context& context, const fabric_options& options);

    /// Replaces the live instances of \p listener.
    void set_live_instances(const endpoint& listener, std::vector<endpoint> instances);

    /// Replaces the IP addresses that are cut off. Datagrams to and from them are
    /// dropped, although the instances may still be listed as live.
    void set_cut_addresses(std::set<std::uint32_t> addresses);

    /// Returns the counts since the start.
    const fabric_counts& counts() const;

private:
    /// A caller's upstream socket and its position in lru_order_.
    struct upstream
    {
        std::shared_ptr<datagram_socket> socket;
        std::list<caller_key>::iterator lru_position;
    };

    /// Returns true with \p probability.
    bool is_fault_drawn(double probability);
    void forward_to_instance(const caller_key& key, std::vector<std::byte> datagram);
    void forward_to_caller(const caller_key& key, std::vector<std::byte> datagram,
                           const endpoint& instance);

    /// Sends a datagram, or drops, duplicates or delays it with the configured
    /// probabilities.
    void send_with_faults(const std::shared_ptr<datagram_socket>& socket,
                          std::vector<std::byte> datagram, const endpoint& destination);

    /// Returns the upstream socket of \p key, which becomes the most recently used one.
    /// Creates the socket if necessary.
    const std::shared_ptr<datagram_socket>& upstream_socket_for(const caller_key& key);
    void evict_least_recently_used();

    boost::asio::io_context& context_;
    fabric_options options_;
    std::mt19937_64 random_;
    std::map<endpoint, std::shared_ptr<datagram_socket>> listeners_;
    std::map<caller_key, upstream> upstreams_;
    /// The callers, the least recently used first.
    std::list<caller_key> lru_order_;
    std::set<std::uint32_t> cut_addresses_;
    fabric_counts counts_;
};

} // namespace kumquatpath::fakes

#endif
