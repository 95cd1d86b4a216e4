#include "fabric.hpp"

#include <boost/asio/steady_timer.hpp>

#include <chrono>

namespace kumquatpath::fakes
{
namespace
{

constexpr std::chrono::milliseconds longest_reorder_delay{5};

} // namespace

fabric::fabric(boost::asio::io_context& context, const fabric_options& options)
    : context_(context), options_(options), random_(options.seed)
{
    for (const auto& [address, instances] : options_.live)
    {
        const endpoint listener = address;
        listeners_[listener] = std::make_shared<datagram_socket>(
            context_, listener,
            [this, listener](byte_view datagram, const endpoint& caller) {
                spray({listener, caller}, {datagram.begin(), datagram.end()});
            });
    }
}

void fabric::live_are(const endpoint& listener, std::vector<endpoint> instances)
{
    options_.live[listener] = std::move(instances);
}

void fabric::cut_are(std::set<std::uint32_t> addresses)
{
    cut_ = std::move(addresses);
}

const fabric_counts& fabric::counts() const
{
    return counts_;
}

bool fabric::strikes(double probability)
{
    return std::bernoulli_distribution(probability)(random_);
}

void fabric::spray(const caller_key& key, std::vector<std::byte> datagram)
{
    const auto& live = options_.live[key.listener];
    if (live.empty())
    {
        ++counts_.without_instance;
        return;
    }
    std::uniform_int_distribution<std::size_t> pick(0, live.size() - 1);
    const endpoint instance = live[pick(random_)];
    if (cut_.contains(instance.address))
    {
        ++counts_.cut;
        return;
    }
    ++counts_.to_instances;
    carry(upstream_of(key), std::move(datagram), instance);
}

void fabric::bring_back(const caller_key& key, std::vector<std::byte> datagram,
                        const endpoint& instance)
{
    if (cut_.contains(instance.address))
    {
        ++counts_.cut;
        return;
    }
    ++counts_.to_callers;
    carry(listeners_[key.listener], std::move(datagram), key.caller);
}

void fabric::carry(const std::shared_ptr<datagram_socket>& socket,
                   std::vector<std::byte> datagram, const endpoint& destination)
{
    if (strikes(options_.loss))
    {
        ++counts_.lost;
        return;
    }
    if (strikes(options_.duplicate))
    {
        socket->send(datagram, destination);
    }
    if (!strikes(options_.reorder))
    {
        socket->send(datagram, destination);
        return;
    }
    std::uniform_int_distribution<std::int64_t> delay(
        1, std::chrono::microseconds(longest_reorder_delay).count());
    const auto timer = std::make_shared<boost::asio::steady_timer>(
        context_, std::chrono::microseconds(delay(random_)));
    timer->async_wait([timer, socket, datagram = std::move(datagram),
                       destination](const boost::system::error_code&)
                      { socket->send(datagram, destination); });
}

const std::shared_ptr<datagram_socket>& fabric::upstream_of(const caller_key& key)
{
    const auto found = upstreams_.find(key);
    if (found != upstreams_.end())
    {
        uses_.splice(uses_.end(), uses_, found->second.use);
        return found->second.socket;
    }
    if (upstreams_.size() >= options_.most_callers)
    {
        evict_oldest();
    }
    auto socket = std::make_shared<datagram_socket>(
        context_, endpoint{.address = key.listener.address, .port = 0},
        [this, key](byte_view datagram, const endpoint& instance) {
            bring_back(key, {datagram.begin(), datagram.end()}, instance);
        });
    const auto use = uses_.insert(uses_.end(), key);
    return upstreams_.emplace(key, upstream{std::move(socket), use}).first->second.socket;
}

void fabric::evict_oldest()
{
    const auto oldest = upstreams_.find(uses_.front());
    upstreams_.erase(oldest);
    uses_.pop_front();
    ++counts_.evicted_callers;
}

} // namespace kumquatpath::fakes
