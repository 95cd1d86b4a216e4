#include "settings.hpp"

#include <boost/json/parse.hpp>
#include <boost/json/value.hpp>
#include <boost/leaf/handle_errors.hpp>

#include <charconv>

namespace kumquatpath
{
namespace
{

namespace json = boost::json;
namespace leaf = boost::leaf;

constexpr std::uint32_t address_bits = 32;

leaf::result<std::string> required_text(const json::object& object, std::string_view key)
{
    const json::value* const found = object.if_contains(key);
    if (found == nullptr || !found->is_string() || found->get_string().empty())
    {
        return leaf::new_error(
            settings_fault{"/" + std::string(key), "a string that is not empty"});
    }
    return std::string(found->get_string());
}

leaf::result<endpoint> required_endpoint(const json::object& object, std::string_view key)
{
    BOOST_LEAF_AUTO(text, required_text(object, key));
    auto parsed = parse_endpoint(text);
    if (!parsed)
    {
        return leaf::new_error(
            settings_fault{"/" + std::string(key), "\"a.b.c.d:port\""});
    }
    return *parsed;
}

leaf::result<std::uint32_t> parse_address(std::string_view text, std::string_view pointer)
{
    auto parsed = parse_endpoint(std::string(text) + ":1");
    if (!parsed)
    {
        return leaf::new_error(settings_fault{std::string(pointer), "\"a.b.c.d\""});
    }
    return parsed->address;
}

leaf::result<network> parse_network(const json::value& value)
{
    const settings_fault fault{"/peer_networks", "networks such as \"127.1.0.0/16\""};
    if (!value.is_string())
    {
        return leaf::new_error(fault);
    }
    const std::string_view text = value.get_string();
    const std::size_t slash = text.find('/');
    if (slash == std::string_view::npos)
    {
        return leaf::new_error(fault);
    }
    BOOST_LEAF_AUTO(address, parse_address(text.substr(0, slash), fault.pointer));
    std::uint32_t bits = 0;
    const auto [stop, error] =
        std::from_chars(text.data() + slash + 1, text.data() + text.size(), bits);
    if (error != std::errc{} || stop != text.data() + text.size() || bits > address_bits)
    {
        return leaf::new_error(fault);
    }
    const std::uint32_t mask = bits == 0 ? 0 : ~std::uint32_t{0} << (address_bits - bits);
    return network{.address = address & mask, .mask = mask};
}

leaf::result<void> read_networks(const json::object& object, daemon_settings& settings)
{
    const json::value* const found = object.if_contains("peer_networks");
    if (found == nullptr || !found->is_array() || found->get_array().empty())
    {
        return leaf::new_error(settings_fault{"/peer_networks", "a list of networks"});
    }
    for (const json::value& each : found->get_array())
    {
        BOOST_LEAF_AUTO(parsed, parse_network(each));
        settings.peer_networks.push_back(parsed);
    }
    return {};
}

leaf::result<void> read_seeds(const json::object& object, daemon_settings& settings)
{
    const json::value* const found = object.if_contains("seeds");
    if (found == nullptr)
    {
        return {};
    }
    if (!found->is_object())
    {
        return leaf::new_error(
            settings_fault{"/seeds", "an object of names and addresses of peers"});
    }
    for (const auto& [name, value] : found->get_object())
    {
        BOOST_LEAF_AUTO(address, required_endpoint(found->get_object(), name));
        settings.seeds.push_back({.name = std::string(name), .address = address});
    }
    return {};
}

leaf::result<void> read_key(const json::object& object, daemon_settings& settings)
{
    BOOST_LEAF_AUTO(text, required_text(object, "peer_key"));
    auto key = parse_peer_key(text);
    if (!key)
    {
        return leaf::new_error(settings_fault{"/peer_key", "64 hexadecimal digits"});
    }
    settings.key = *key;
    return {};
}

leaf::result<void> read_addresses(const json::object& object, daemon_settings& settings)
{
    BOOST_LEAF_ASSIGN(settings.egress, required_endpoint(object, "egress"));
    BOOST_LEAF_ASSIGN(settings.peer, required_endpoint(object, "peer"));
    BOOST_LEAF_ASSIGN(settings.operators, required_endpoint(object, "operators"));
    BOOST_LEAF_ASSIGN(settings.platform, required_endpoint(object, "platform"));
    if (object.contains("data_address"))
    {
        BOOST_LEAF_AUTO(text, required_text(object, "data_address"));
        BOOST_LEAF_ASSIGN(settings.data_address, parse_address(text, "/data_address"));
    }
    return {};
}

leaf::result<void> refuse_unknown_keys(const json::object& object)
{
    constexpr std::string_view known[] = {
        "name",      "data_centre", "data_address", "egress",        "peer",
        "operators", "platform",    "peer_key",     "peer_networks", "seeds"};
    for (const auto& [key, value] : object)
    {
        if (std::find(std::begin(known), std::end(known), std::string_view(key)) ==
            std::end(known))
        {
            return leaf::new_error(settings_fault{"/" + std::string(key),
                                                  "no such key; see docs/SETTINGS.md"});
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
        return leaf::new_error(settings_fault{"", "a JSON object"});
    }
    const json::object& object = parsed.get_object();
    daemon_settings settings;
    BOOST_LEAF_CHECK(refuse_unknown_keys(object));
    BOOST_LEAF_ASSIGN(settings.name, required_text(object, "name"));
    BOOST_LEAF_ASSIGN(settings.data_centre, required_text(object, "data_centre"));
    BOOST_LEAF_CHECK(read_addresses(object, settings));
    BOOST_LEAF_CHECK(read_key(object, settings));
    BOOST_LEAF_CHECK(read_networks(object, settings));
    BOOST_LEAF_CHECK(read_seeds(object, settings));
    return settings;
}

bool is_in(const std::vector<network>& networks, std::uint32_t address)
{
    return std::any_of(networks.begin(), networks.end(),
                       [address](const network& each)
                       { return (address & each.mask) == each.address; });
}

} // namespace kumquatpath
