#ifndef KUMQUATPATH_FAKES_FABRIC_HPP
#define KUMQUATPATH_FAKES_FABRIC_HPP

/// \file
/// The stand-in fabric: it sprays each datagram of a caller over the live instances of
/// the address that it was sent to, and takes their answers back.
///
/// Each caller has an upstream socket of its own, so an instance's answer to the source
/// of a packet comes back to the right caller.

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

/// What the fabric carries, and how badly; \c live maps each listener to its instances.
struct fabric_options
{
    endpoint control_endpoint;
    std::map<endpoint, std::vector<endpoint>> live_instances;
    double loss = 0;
    double duplicate = 0;
    double reorder = 0;
    std::size_t max_callers = 1024;
    std::uint64_t seed = 1;
};

/// Datagrams carried, and those that were not, by cause.
struct fabric_counts
{
    std::uint64_t to_instances = 0;
    std::uint64_t to_callers = 0;
    std::uint64_t lost = 0;
    std::uint64_t cut = 0;
    std::uint64_t without_instance = 0;
    std::uint64_t evicted_callers = 0;
};

/// A caller at one of the fabric's addresses.
struct caller_key
{
    endpoint listener;
    endpoint caller;

    friend auto operator<=>(const caller_key&, const caller_key&) = default;
};

/// The listeners, and an upstream socket for each caller, the least recently used of
/// which goes when there are too many.
class fabric
{
public:
    /// Binds every listener. Throws when one can't be bound.
    fabric(boost::asio::io_context& context, const fabric_options& options);

    /// Sets the live instances of \p listener.
    void set_live_instances(const endpoint& listener, std::vector<endpoint> instances);

    /// Sets the IP addresses that the fabric can't reach, though they may be listed live.
    void set_cut_addresses(std::set<std::uint32_t> addresses);

    /// Returns the counts so far.
    const fabric_counts& counts() const;

private:
    struct upstream
    {
        std::shared_ptr<datagram_socket> socket;
        std::list<caller_key>::iterator lru_position;
    };
    bool is_fault_drawn(double probability);
    void forward_to_instance(const caller_key& key, std::vector<std::byte> datagram);
    void forward_to_caller(const caller_key& key, std::vector<std::byte> datagram,
                           const endpoint& instance);

    /// Sends one datagram with the losses, copies and delays that were asked for.
    void send_with_faults(const std::shared_ptr<datagram_socket>& socket,
                          std::vector<std::byte> datagram, const endpoint& destination);
    const std::shared_ptr<datagram_socket>& upstream_socket_for(const caller_key& key);
    void evict_least_recently_used();

    boost::asio::io_context& context_;
    fabric_options options_;
    std::mt19937_64 random_;
    std::map<endpoint, std::shared_ptr<datagram_socket>> listeners_;
    std::map<caller_key, upstream> upstreams_;
    std::list<caller_key> lru_order_;
    std::set<std::uint32_t> cut_addresses_;
    fabric_counts counts_;
};

} // namespace kumquatpath::fakes

#endif
