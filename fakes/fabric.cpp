#include "fabric.hpp"

#include <boost/asio/steady_timer.hpp>

#include <chrono>

namespace kumquatpath::fakes
{
namespace
{

constexpr std::chrono::milliseconds max_reorder_delay{5};

} // namespace

fabric::fabric(boost::asio::io_context& context, const fabric_options& options)
    : context_(context), options_(options), random_(options.seed)
{
    for (const auto& [address, instances] : options_.live_instances)
    {
        const endpoint listener = address;
        listeners_[listener] = std::make_shared<datagram_socket>(
            context_, listener,
            [this, listener](byte_view datagram, const endpoint& caller) {
                forward_to_instance({listener, caller},
                                    {datagram.begin(), datagram.end()});
            });
    }
}

void fabric::set_live_instances(const endpoint& listener, std::vector<endpoint> instances)
{
    options_.live_instances[listener] = std::move(instances);
}

void fabric::set_cut_addresses(std::set<std::uint32_t> addresses)
{
    cut_addresses_ = std::move(addresses);
}

const fabric_counts& fabric::counts() const
{
    return counts_;
}

bool fabric::is_fault_drawn(double probability)
{
    return std::bernoulli_distribution(probability)(random_);
}

void fabric::forward_to_instance(const caller_key& key, std::vector<std::byte> datagram)
{
    const auto& live = options_.live_instances[key.listener];
    if (live.empty())
    {
        ++counts_.without_instance;
        return;
    }
    std::uniform_int_distribution<std::size_t> pick(0, live.size() - 1);
    const endpoint instance = live[pick(random_)];
    if (cut_addresses_.contains(instance.address))
    {
        ++counts_.cut;
        return;
    }
    ++counts_.to_instances;
    send_with_faults(upstream_socket_for(key), std::move(datagram), instance);
}

void fabric::forward_to_caller(const caller_key& key, std::vector<std::byte> datagram,
                               const endpoint& instance)
{
    if (cut_addresses_.contains(instance.address))
    {
        ++counts_.cut;
        return;
    }
    ++counts_.to_callers;
    send_with_faults(listeners_[key.listener], std::move(datagram), key.caller);
}

void fabric::send_with_faults(const std::shared_ptr<datagram_socket>& socket,
                              std::vector<std::byte> datagram,
                              const endpoint& destination)
{
    if (is_fault_drawn(options_.loss))
    {
        ++counts_.lost;
        return;
    }
    if (is_fault_drawn(options_.duplicate))
    {
        socket->send(datagram, destination);
    }
    if (!is_fault_drawn(options_.reorder))
    {
        socket->send(datagram, destination);
        return;
    }
    std::uniform_int_distribution<std::int64_t> delay(
        1, std::chrono::microseconds(max_reorder_delay).count());
    const auto timer = std::make_shared<boost::asio::steady_timer>(
        context_, std::chrono::microseconds(delay(random_)));
    timer->async_wait([timer, socket, datagram = std::move(datagram),
                       destination](const boost::system::error_code&)
                      { socket->send(datagram, destination); });
}

const std::shared_ptr<datagram_socket>& fabric::upstream_socket_for(const caller_key& key)
{
    const auto found = upstreams_.find(key);
    if (found != upstreams_.end())
    {
        lru_order_.splice(lru_order_.end(), lru_order_, found->second.lru_position);
        return found->second.socket;
    }
    if (upstreams_.size() >= options_.max_callers)
    {
        evict_least_recently_used();
    }
    auto socket = std::make_shared<datagram_socket>(
        context_, endpoint{.address = key.listener.address, .port = 0},
        [this, key](byte_view datagram, const endpoint& instance) {
            forward_to_caller(key, {datagram.begin(), datagram.end()}, instance);
        });
    const auto lru_position = lru_order_.insert(lru_order_.end(), key);
    return upstreams_.emplace(key, upstream{std::move(socket), lru_position})
        .first->second.socket;
}

void fabric::evict_least_recently_used()
{
    const auto least_recently_used = upstreams_.find(lru_order_.front());
    upstreams_.erase(least_recently_used);
    lru_order_.pop_front();
    ++counts_.evicted_callers;
}

} // namespace kumquatpath::fakes
