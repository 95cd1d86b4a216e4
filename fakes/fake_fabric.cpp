/// \file
/// The program of the stand-in fabric.

#include "fabric.hpp"

#include <boost/json/parse.hpp>
#include <boost/json/value_to.hpp>

#include <support/http_server.hpp>
#include <support/settings.hpp>
#include <tclap/CmdLine.h>

namespace kumquatpath::fakes
{
namespace
{

std::vector<endpoint> endpoints_in(const boost::json::value& list)
{
    std::vector<endpoint> endpoints;
    for (const auto& each : list.as_array())
    {
        endpoints.push_back(required_endpoint(boost::json::value_to<std::string>(each)));
    }
    return endpoints;
}

/// PUT /fabric/live {"listener","instances"}, PUT /fabric/cut {"instances"} and
/// GET /fabric/counts.
boost::asio::awaitable<http_reply> control(fabric& held, const http_request& request)
{
    if (request.path == "/fabric/counts")
    {
        const fabric_counts& counts = held.counts();
        co_return http_reply{.body = {{"to_instances", counts.to_instances},
                                      {"to_callers", counts.to_callers},
                                      {"lost", counts.lost},
                                      {"cut", counts.cut},
                                      {"without_instance", counts.without_instance},
                                      {"evicted_callers", counts.evicted_callers}}};
    }
    const auto body = boost::json::parse(request.body).as_object();
    const auto instances = endpoints_in(body.at("instances"));
    if (request.path == "/fabric/live")
    {
        const auto listener = boost::json::value_to<std::string>(body.at("listener"));
        held.live_are(required_endpoint(listener), instances);
        co_return http_reply{.body = boost::json::object()};
    }
    if (request.path == "/fabric/cut")
    {
        std::set<std::uint32_t> addresses;
        for (const endpoint& each : instances)
        {
            addresses.insert(each.address);
        }
        held.cut_are(std::move(addresses));
        co_return http_reply{.body = boost::json::object()};
    }
    co_return http_reply{.status = 404};
}

fabric_options read_command_line(int argc, char** argv)
{
    TCLAP::CmdLine command("Stand-in for the fabric", ' ', "0.1");
    TCLAP::ValueArg<std::string> listen("", "listen", "Address of the HTTP control", true,
                                        "", "IP:PORT", command);
    TCLAP::MultiArg<std::string> maps("", "map", "An address and its instances", true,
                                      "IP:PORT=IP:PORT,...", command);
    TCLAP::ValueArg<double> loss("", "loss", "Part of packets lost", false, 0, "P",
                                 command);
    TCLAP::ValueArg<double> duplicate("", "duplicate", "Part of packets sent twice",
                                      false, 0, "P", command);
    TCLAP::ValueArg<double> reorder("", "reorder", "Part of packets sent late", false, 0,
                                    "P", command);
    TCLAP::ValueArg<std::size_t> callers("", "callers", "Bound of the callers' sockets",
                                         false, 1024, "N", command);
    TCLAP::ValueArg<std::uint64_t> seed("", "seed", "Seed of the spraying", false, 1, "N",
                                        command);
    command.parse(argc, argv);
    fabric_options options{.control = required_endpoint(listen.getValue()),
                           .loss = loss.getValue(),
                           .duplicate = duplicate.getValue(),
                           .reorder = reorder.getValue(),
                           .most_callers = callers.getValue(),
                           .seed = seed.getValue()};
    for (const std::string& map : maps.getValue())
    {
        const auto sides = split(map, '=');
        options.live[required_endpoint(sides.at(0))] = required_endpoints(sides.at(1));
    }
    return options;
}

void run(const fabric_options& options)
{
    boost::asio::io_context context;
    fabric held(context, options);
    serve_http(context, options.control,
               [&held](const http_request& request) { return control(held, request); });
    run_until_signal(context);
}

} // namespace
} // namespace kumquatpath::fakes

int main(int argc, char** argv)
{
    using namespace kumquatpath::fakes;
    return run_program("fake_fabric", [&] { run(read_command_line(argc, argv)); });
}
