#include "roster_duty.hpp"

#include <kumquatpath/edge/log.hpp>

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value_to.hpp>
#include <boost/leaf/handle_errors.hpp>

namespace kumquatpath
{
namespace
{

namespace json = boost::json;
namespace leaf = boost::leaf;

std::string roster_key(const std::string& region)
{
    return "kumquatpath/roster/" + region;
}

std::string leader_key(const std::string& region)
{
    return "kumquatpath/leader/" + region;
}

json::array to_json(const std::vector<instance_id>& instances)
{
    json::array list;
    for (const instance_id each : instances)
    {
        list.push_back(each.value);
    }
    return list;
}

leaf::result<std::vector<instance_id>> instances_in(const json::object& object,
                                                    std::string_view key)
{
    const json::value* const list = object.if_contains(key);
    if (list == nullptr || !list->is_array())
    {
        return leaf::new_error(malformed_roster{});
    }
    std::vector<instance_id> instances;
    for (const json::value& each : list->get_array())
    {
        boost::system::error_code failure;
        const auto number = each.to_number<std::uint32_t>(failure);
        if (failure)
        {
            return leaf::new_error(malformed_roster{});
        }
        instances.push_back({number});
    }
    return instances;
}

} // namespace

std::string write_roster_value(const roster& value)
{
    return json::serialize(json::object{{"version", value.version.value},
                                        {"holders", to_json(value.holders)},
                                        {"previous", to_json(value.previous)}});
}

leaf::result<roster> parse_roster_value(std::string_view text)
{
    boost::system::error_code failure;
    const json::value parsed = json::parse({text.data(), text.size()}, failure);
    if (failure || !parsed.is_object())
    {
        return leaf::new_error(malformed_roster{});
    }
    const json::object& object = parsed.get_object();
    const json::value* const version = object.if_contains("version");
    if (version == nullptr)
    {
        return leaf::new_error(malformed_roster{});
    }
    roster read;
    read.version.value = version->to_number<std::uint64_t>(failure);
    if (failure)
    {
        return leaf::new_error(malformed_roster{});
    }
    BOOST_LEAF_ASSIGN(read.holders, instances_in(object, "holders"));
    BOOST_LEAF_ASSIGN(read.previous, instances_in(object, "previous"));
    return read;
}

roster_duty::roster_duty(key_value_store& store,
                         std::function<void(packet_message)> output)
    : store_(store), output_(std::move(output)), work_(context_.get_executor())
{
}

boost::asio::io_context& roster_duty::context()
{
    return context_;
}

void roster_duty::run()
{
    context_.run();
}

void roster_duty::stop()
{
    context_.stop();
}

void roster_duty::handle(const roster_order& order)
{
    leaf::try_handle_all(
        [&]() -> leaf::result<void>
        {
            return std::visit([&](const auto& command)
                              { return carry_out(order.region, command); },
                              order.command);
        },
        [](const malformed_roster&) { log(log_level::error, "roster_malformed"); },
        // The platform is away, or what it did is unknown: the decision's time-out tells.
        [] {});
}

leaf::result<void> roster_duty::carry_out(const std::string& region,
                                          const acquire_lease& command)
{
    if (!lease_)
    {
        return claim_leadership(region, command);
    }
    bool is_granted = false;
    BOOST_LEAF_CHECK(leaf::try_handle_some(
        [&]() -> leaf::result<void>
        {
            BOOST_LEAF_CHECK(store_.renew_lease(*lease_));
            is_granted = true;
            return {};
        },
        [&](const store_not_found&) -> leaf::result<void>
        {
            lease_.reset();
            return {};
        }));
    output_(lease_answer{.request = command.request, .is_granted = is_granted});
    return {};
}

leaf::result<void> roster_duty::claim_leadership(const std::string& region,
                                                 const acquire_lease& command)
{
    const auto lifetime =
        std::chrono::duration_cast<std::chrono::milliseconds>(command.time_to_live);
    BOOST_LEAF_AUTO(granted, store_.grant_lease(lifetime));
    bool is_leader = false;
    BOOST_LEAF_CHECK(leaf::try_handle_some(
        [&]() -> leaf::result<void>
        {
            BOOST_LEAF_CHECK(store_.write({.key = leader_key(region),
                                           .value = std::to_string(command.token.value),
                                           .lease = granted}));
            is_leader = true;
            return {};
        },
        [&](const store_conflict&) -> leaf::result<void>
        {
            BOOST_LEAF_CHECK(store_.revoke_lease(granted));
            return {};
        }));
    if (is_leader)
    {
        lease_ = granted;
    }
    output_(lease_answer{.request = command.request, .is_granted = is_leader});
    return {};
}

leaf::result<void> roster_duty::carry_out(const std::string& region,
                                          const read_roster& command)
{
    roster_answer answer{.request = command.request};
    BOOST_LEAF_CHECK(leaf::try_handle_some(
        [&]() -> leaf::result<void>
        {
            BOOST_LEAF_AUTO(stored, store_.read(roster_key(region)));
            BOOST_LEAF_ASSIGN(answer.value, parse_roster_value(stored.value));
            answer.revision = {stored.revision.value};
            return {};
        },
        // The region has no roster yet.
        [](const store_not_found&) -> leaf::result<void> { return {}; }));
    output_(answer);
    return {};
}

leaf::result<void> roster_duty::carry_out(const std::string& region,
                                          const write_roster& command)
{
    roster_answer answer{.request = command.request, .value = command.value};
    BOOST_LEAF_CHECK(leaf::try_handle_some(
        [&]() -> leaf::result<void>
        {
            BOOST_LEAF_AUTO(written,
                            store_.write({.key = roster_key(region),
                                          .value = write_roster_value(command.value),
                                          .expected = {command.expected.value}}));
            answer.revision = {written.value};
            return {};
        },
        [&](const store_conflict&) -> leaf::result<void>
        {
            answer.is_accepted = false;
            BOOST_LEAF_AUTO(stored, store_.read(roster_key(region)));
            BOOST_LEAF_ASSIGN(answer.value, parse_roster_value(stored.value));
            answer.revision = {stored.revision.value};
            return {};
        }));
    output_(answer);
    return {};
}

} // namespace kumquatpath
