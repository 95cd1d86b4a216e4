#include <boost/leaf/handle_errors.hpp>

#include <capacity/member_world.hpp>
#include <capacity/sample_fleet.hpp>
#include <capacity/target_size.hpp>

#include <algorithm>
#include <random>

namespace kumquatpath::bench
{
namespace
{

/// How often the daemon lets the decisions do what is due.
constexpr duration tick_interval = std::chrono::milliseconds(20);

member_digest digest_of(std::size_t index, const world_options& options)
{
    const auto number = static_cast<std::uint32_t>(index);
    return {.instance = sample_instance(index),
            .incarnation = {1},
            .data_centre = {static_cast<std::uint32_t>(index % options.data_centres) + 1},
            .address = {.address = 0x0a000000 + number, .port = 7000}};
}

} // namespace

member_world::member_world(const world_options& options)
    : options_(options), traffic_(options.members), alive_(options.members, 1),
      usages_(options.usages)
{
    std::mt19937_64 random(options.seed);
    std::vector<member_digest> everyone;
    for (std::size_t i = 0; i < options.members; ++i)
    {
        everyone.push_back(digest_of(i, options));
        index_.emplace_back(everyone.back().instance, i);
        starts_.push_back(time_point(duration(static_cast<std::int64_t>(
            random() % static_cast<std::uint64_t>(
                           duration(std::chrono::milliseconds(500)).count())))));
    }
    std::ranges::sort(index_);
    for (const member_digest& each : everyone)
    {
        members_.push_back(make_membership(each, {}));
        merge_members(members_.back(), everyone, now_);
        for (known_member& known : members_.back().others)
        {
            known.transmissions_left *= options.have_just_met ? 1U : 0U;
        }
    }
}

void member_world::run(duration span)
{
    const time_point end = now_ + span;
    while (now_ < end)
    {
        step();
    }
}

void member_world::step()
{
    now_ += tick_interval;
    for (std::size_t i = 0; i < members_.size(); ++i)
    {
        if (alive_[i] != 0 && now_ >= starts_[i])
        {
            beat(i);
        }
    }
}

void member_world::beat(std::size_t index)
{
    membership& state = members_[index];
    std::vector<instance_id> receivers;
    if (!advance_membership(state, now_, receivers))
    {
        return;
    }
    const heartbeat common{.members = take_digests(state), .usages = usages_};
    for (const instance_id each : receivers)
    {
        heartbeat message = common;
        if (const member_digest* const rumour = rumour_about(state, each))
        {
            message.members.push_back(*rumour);
        }
        bytes_.clear();
        encode_peer(builder_,
                    {.sender = state.self.instance, .body = peer_message(message)}, key_,
                    bytes_);
        const std::size_t to =
            std::ranges::lower_bound(index_, std::pair(each, std::size_t{0}))->second;
        traffic_[index].sent_bytes +=
            bytes_.size() + static_cast<std::size_t>(datagram_overhead);
        ++traffic_[index].sent_messages;
        deliver(index, to, bytes_);
    }
}

void member_world::deliver(std::size_t from, std::size_t to, payload_view bytes)
{
    if (alive_[to] == 0 || (passes_ && !passes_(from, to)))
    {
        return;
    }
    traffic_[to].received_bytes +=
        bytes.size() + static_cast<std::size_t>(datagram_overhead);
    boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<void>
        {
            BOOST_LEAF_AUTO(envelope, decode_peer(bytes, key_, longest_peer_datagram));
            const auto& message = std::get<peer_message>(envelope.body);
            note_heard(members_[to], envelope.sender, now_);
            merge_members(members_[to], std::get<heartbeat>(message).members, now_);
            return {};
        },
        [] {});
}

void member_world::kill(std::size_t index)
{
    alive_[index] = 0;
}

void member_world::links_are(link_filter passes)
{
    passes_ = std::move(passes);
}

void member_world::reset_traffic()
{
    traffic_.assign(traffic_.size(), {});
}

const std::vector<member_traffic>& member_world::traffic() const
{
    return traffic_;
}

const membership& member_world::member(std::size_t index) const
{
    return members_[index];
}

std::size_t member_world::believers(std::size_t index) const
{
    std::size_t count = 0;
    for (std::size_t i = 0; i < members_.size(); ++i)
    {
        if (i == index || alive_[i] == 0)
        {
            continue;
        }
        const known_member* const known =
            find_member(members_[i], members_[index].self.instance);
        count +=
            known != nullptr && known->digest.state < member_state::suspect ? 1U : 0U;
    }
    return count;
}

bool member_world::is_alive(std::size_t index) const
{
    return alive_[index] != 0;
}

std::size_t member_world::size() const
{
    return members_.size();
}

} // namespace kumquatpath::bench
