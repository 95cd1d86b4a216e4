#include "settings.hpp"

#include <boost/json/parse.hpp>
#include <boost/json/value.hpp>

#include <algorithm>
#include <iterator>

namespace kumquatpath
{
namespace
{

namespace json = boost::json;
namespace leaf = boost::leaf;

constexpr std::string_view known_keys[] = {"name",
                                           "data_centre",
                                           "data",
                                           "ready",
                                           "ready_path",
                                           "metrics",
                                           "peer",
                                           "peer_key",
                                           "seeds",
                                           "state",
                                           "interface",
                                           "target_speeds",
                                           "priorities",
                                           "second_tries_percent",
                                           "shared_evidence",
                                           "reset_ended_flows",
                                           "remote_placement"};

constexpr double max_second_tries_percent = 10;

leaf::result<std::string> read_string(const json::object& object, std::string_view key)
{
    const json::value* const found = object.if_contains(key);
    if (found == nullptr || !found->is_string() || found->get_string().empty())
    {
        return leaf::new_error(settings_fault{std::string(key), "a non-empty string"});
    }
    return std::string(found->get_string());
}

leaf::result<endpoint> read_endpoint(const json::object& object, std::string_view key)
{
    BOOST_LEAF_AUTO(text, read_string(object, key));
    auto parsed = parse_endpoint(text);
    if (!parsed)
    {
        return leaf::new_error(settings_fault{std::string(key), "\"a.b.c.d:port\""});
    }
    return *parsed;
}

leaf::result<std::vector<endpoint>> read_seeds(const json::object& object)
{
    const settings_fault fault{"seeds", "a list of \"a.b.c.d:port\""};
    const json::value* const found = object.if_contains("seeds");
    if (found == nullptr || !found->is_array())
    {
        return leaf::new_error(fault);
    }
    std::vector<endpoint> seeds;
    for (const json::value& each : found->get_array())
    {
        auto parsed = each.is_string() ? parse_endpoint(std::string(each.get_string()))
                                       : parse_endpoint("");
        if (!parsed)
        {
            return leaf::new_error(fault);
        }
        seeds.push_back(*parsed);
    }
    return seeds;
}

leaf::result<peer_key> read_peer_key(const json::object& object)
{
    BOOST_LEAF_AUTO(text, read_string(object, "peer_key"));
    auto key = parse_peer_key(text);
    if (!key)
    {
        return leaf::new_error(settings_fault{"peer_key", "64 hexadecimal digits"});
    }
    return *key;
}

leaf::result<served_interface> read_interface(const json::object& object)
{
    const json::value* const found = object.if_contains("interface");
    if (found == nullptr || *found == json::value("own"))
    {
        return served_interface::native;
    }
    if (*found == json::value("platform"))
    {
        return served_interface::platform;
    }
    return leaf::new_error(settings_fault{"interface", "\"own\" or \"platform\""});
}

/// Reads a key that is false if it is missing.
leaf::result<bool> read_flag(const json::object& object, std::string_view key)
{
    const json::value* const found = object.if_contains(key);
    if (found == nullptr)
    {
        return false;
    }
    if (!found->is_bool())
    {
        return leaf::new_error(settings_fault{std::string(key), "true or false"});
    }
    return found->get_bool();
}

/// Reads the limit of second tries, which is 0 if the key is missing.
leaf::result<double> read_second_tries_percent(const json::object& object)
{
    const json::value* const found = object.if_contains("second_tries_percent");
    if (found == nullptr)
    {
        return 0.0;
    }
    const double percent = found->is_number() ? found->to_number<double>() : -1;
    if (!(percent >= 0 && percent <= max_second_tries_percent))
    {
        return leaf::new_error(
            settings_fault{"second_tries_percent", "a number from 0 to 10"});
    }
    return percent;
}

/// Reads whether flows whose target has ended are reset. Only targets that announce
/// themselves, as on the platform, have an address to themselves.
leaf::result<bool> read_ended_flow_resets(const json::object& object,
                                          const daemon_settings& settings)
{
    BOOST_LEAF_AUTO(is_on, read_flag(object, "reset_ended_flows"));
    if (is_on && settings.interface != served_interface::platform)
    {
        return leaf::new_error(settings_fault{
            "reset_ended_flows", "false unless the interface is \"platform\""});
    }
    return is_on;
}

leaf::result<void> refuse_unknown_keys(const json::object& object)
{
    for (const auto& [key, value] : object)
    {
        if (std::find(std::begin(known_keys), std::end(known_keys),
                      std::string_view(key)) == std::end(known_keys))
        {
            return leaf::new_error(
                settings_fault{std::string(key), "a known key; see docs/SETTINGS.md"});
        }
    }
    return {};
}

} // namespace

leaf::result<daemon_settings> read_settings(std::string_view text)
{
    boost::system::error_code failure;
    const json::value parsed =
        json::parse(json::string_view(text.data(), text.size()), failure);
    if (failure || !parsed.is_object())
    {
        return leaf::new_error(
            settings_fault{"", "a readable file that holds a JSON object"});
    }
    const json::object& object = parsed.get_object();
    daemon_settings settings;
    BOOST_LEAF_CHECK(refuse_unknown_keys(object));
    BOOST_LEAF_ASSIGN(settings.name, read_string(object, "name"));
    BOOST_LEAF_ASSIGN(settings.data_centre, read_string(object, "data_centre"));
    BOOST_LEAF_ASSIGN(settings.data, read_endpoint(object, "data"));
    BOOST_LEAF_ASSIGN(settings.ready, read_endpoint(object, "ready"));
    BOOST_LEAF_ASSIGN(settings.ready_path, read_string(object, "ready_path"));
    BOOST_LEAF_ASSIGN(settings.metrics, read_endpoint(object, "metrics"));
    BOOST_LEAF_ASSIGN(settings.peer, read_endpoint(object, "peer"));
    BOOST_LEAF_ASSIGN(settings.key, read_peer_key(object));
    BOOST_LEAF_ASSIGN(settings.seeds, read_seeds(object));
    BOOST_LEAF_ASSIGN(settings.state, read_endpoint(object, "state"));
    BOOST_LEAF_ASSIGN(settings.interface, read_interface(object));
    BOOST_LEAF_ASSIGN(settings.uses_target_speeds, read_flag(object, "target_speeds"));
    BOOST_LEAF_ASSIGN(settings.uses_priorities, read_flag(object, "priorities"));
    BOOST_LEAF_ASSIGN(settings.second_tries_percent, read_second_tries_percent(object));
    BOOST_LEAF_ASSIGN(settings.shares_evidence, read_flag(object, "shared_evidence"));
    BOOST_LEAF_ASSIGN(settings.resets_ended_flows,
                      read_ended_flow_resets(object, settings));
    BOOST_LEAF_ASSIGN(settings.uses_remote_placement,
                      read_flag(object, "remote_placement"));
    return settings;
}

} // namespace kumquatpath
