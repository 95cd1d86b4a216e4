#include "listener_set.hpp"

#include <kumquatpath/edge/log.hpp>
#include <kumquatpath/edge/packet_codec.hpp>

#include <algorithm>

namespace kumquatpath
{

listener_set::listener_set(boost::asio::io_context& context,
                           std::optional<std::uint32_t> data_address,
                           std::function<void(open_listener&)> on_readable)
    : context_(context), data_address_(data_address), on_readable_(std::move(on_readable))
{
}

void listener_set::adopt(const configuration& whole)
{
    std::vector<std::unique_ptr<open_listener>> kept;
    for (const listener& each : whole.listeners)
    {
        if (each.kind != listener_kind::datagram)
        {
            continue;
        }
        endpoint address = each.address;
        address.address = data_address_.value_or(address.address);
        auto wanted = take_known(address);
        if (!wanted)
        {
            wanted = open(each, address);
        }
        if (wanted)
        {
            wanted->service = each.service;
            kept.push_back(std::move(wanted));
        }
    }
    listeners_ = std::move(kept);
    by_service_.clear();
    for (const auto& each : listeners_)
    {
        by_service_[each->service] = each.get();
    }
}

std::unique_ptr<open_listener> listener_set::take_known(const endpoint& address)
{
    const auto known = std::ranges::find_if(listeners_, [&](const auto& each)
                                            { return each && each->address == address; });
    return known == listeners_.end() ? nullptr : std::move(*known);
}

std::unique_ptr<open_listener> listener_set::open(const listener& wanted,
                                                  const endpoint& address)
{
    try
    {
        auto opened = std::make_unique<open_listener>(open_listener{
            .address = address,
            .port = std::make_unique<udp_port>(context_, address, longest_datagram)});
        opened->port->on_readable([this, raw = opened.get()] { on_readable_(*raw); });
        return opened;
    }
    catch (const boost::system::system_error& failure)
    {
        log(log_level::error, "listener_not_opened",
            {{"listener", wanted.name},
             {"address", to_string(address)},
             {"failure", failure.what()}});
        return nullptr;
    }
}

open_listener* listener_set::find(service_id service)
{
    const auto found = by_service_.find(service);
    return found == by_service_.end() ? nullptr : found->second;
}

void listener_set::flush()
{
    for (const auto& each : listeners_)
    {
        each->port->flush();
    }
}

} // namespace kumquatpath
