#ifndef KUMQUATPATH_BENCH_CAPACITY_MEMBER_WORLD_HPP
#define KUMQUATPATH_BENCH_CAPACITY_MEMBER_WORLD_HPP

/// \file
/// Many memberships in one process and in virtual time. Every heartbeat is encoded, keyed
/// and decoded as the daemon does it; there are no sockets.

#include <kumquatpath/decision/membership.hpp>
#include <kumquatpath/edge/peer_codec.hpp>

#include <cstdint>
#include <functional>
#include <vector>

namespace kumquatpath::bench
{

/// How the members of a world are spread, and how much each heartbeat tells of its work.
struct world_options
{
    std::size_t members = 9;
    std::size_t data_centres = 7;
    std::size_t usages = most_usages;
    std::uint64_t seed = 1;
    /// Whether the members have only just met, so that each is news to be told on.
    bool have_just_met = false;

    static constexpr std::size_t most_usages = 12;
};

/// The bytes and messages of one member, with the headers of IP and UDP.
struct member_traffic
{
    std::uint64_t sent_bytes = 0;
    std::uint64_t received_bytes = 0;
    std::uint64_t sent_messages = 0;
};

/// Tells whether a message gets from one member to another.
using link_filter = std::function<bool(std::size_t from, std::size_t to)>;

/// Members that send each other heartbeats.
class member_world
{
public:
    /// Makes members that know each other and believe each other alive.
    explicit member_world(const world_options& options);

    /// Runs for \p span of virtual time.
    void run(duration span);

    /// Ends member \p index without a word.
    void kill(std::size_t index);

    /// Lets only messages through that \p passes says so of; null lets all through.
    void links_are(link_filter passes);

    /// Sets the traffic of every member to zero.
    void reset_traffic();

    const std::vector<member_traffic>& traffic() const;

    const membership& member(std::size_t index) const;

    /// Returns how many living members believe that member \p index is there.
    std::size_t believers(std::size_t index) const;

    bool is_alive(std::size_t index) const;

    std::size_t size() const;

private:
    void step();
    void beat(std::size_t index);
    void deliver(std::size_t from, std::size_t to, payload_view bytes);

    world_options options_;
    time_point now_{};
    std::vector<membership> members_;
    std::vector<member_traffic> traffic_;
    std::vector<char> alive_;
    std::vector<time_point> starts_;
    link_filter passes_;
    peer_key key_{};
    flatbuffers::FlatBufferBuilder builder_;
    std::vector<std::byte> bytes_;
    std::vector<usage> usages_;
    /// The index of each member by its id, in ascending order of id.
    std::vector<std::pair<instance_id, std::size_t>> index_;
};

} // namespace kumquatpath::bench

#endif
