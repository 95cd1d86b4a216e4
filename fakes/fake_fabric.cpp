/// \file
/// The fake_fabric program.

#include "fabric.hpp"

#include <boost/json/parse.hpp>
#include <boost/json/value_to.hpp>

#include <support/http_server.hpp>
#include <support/program.hpp>
#include <tclap/CmdLine.h>

namespace kumquatpath::fakes
{
namespace
{

std::vector<endpoint> parse_endpoints(const boost::json::value& list)
{
    std::vector<endpoint> endpoints;
    for (const auto& element : list.as_array())
    {
        endpoints.push_back(
            require_endpoint(boost::json::value_to<std::string>(element)));
    }
    return endpoints;
}

/// Handles PUT /fabric/live {"listener","instances"}, PUT /fabric/cut {"instances"} and
/// GET /fabric/counts. Other paths get status 404. Throws if the body is invalid.
boost::asio::awaitable<http_response> handle_control_request(fabric& fake,
                                                             const http_request& request)
{
    if (request.path == "/fabric/counts")
    {
        const fabric_counts& counts = fake.counts();
        co_return http_response{.body = {{"to_instances", counts.to_instances},
                                         {"to_callers", counts.to_callers},
                                         {"lost", counts.lost},
                                         {"cut", counts.cut},
                                         {"without_instance", counts.without_instance},
                                         {"evicted_callers", counts.evicted_callers}}};
    }
    const auto body = boost::json::parse(request.body).as_object();
    const auto instances = parse_endpoints(body.at("instances"));
    if (request.path == "/fabric/live")
    {
        const auto listener = boost::json::value_to<std::string>(body.at("listener"));
        fake.set_live_instances(require_endpoint(listener), instances);
        co_return http_response{.body = boost::json::object()};
    }
    if (request.path == "/fabric/cut")
    {
        std::set<std::uint32_t> addresses;
        for (const endpoint& element : instances)
        {
            addresses.insert(element.address);
        }
        fake.set_cut_addresses(std::move(addresses));
        co_return http_response{.body = boost::json::object()};
    }
    co_return http_response{.status = 404};
}

fabric_options read_command_line(int argc, char** argv)
{
    TCLAP::CmdLine command("Fake network fabric between callers and instances", ' ',
                           "0.1");
    TCLAP::ValueArg<std::string> listen("", "listen",
                                        "Address of the HTTP control interface", true, "",
                                        "IP:PORT", command);
    TCLAP::MultiArg<std::string> maps("", "map", "A listener and its live instances",
                                      true, "IP:PORT=IP:PORT,...", command);
    TCLAP::ValueArg<double> loss("", "loss", "Probability that a packet is lost", false,
                                 0, "P", command);
    TCLAP::ValueArg<double> duplicate("", "duplicate",
                                      "Probability that a packet is sent twice", false, 0,
                                      "P", command);
    TCLAP::ValueArg<double> reorder("", "reorder", "Probability that a packet is delayed",
                                    false, 0, "P", command);
    TCLAP::ValueArg<std::size_t> callers("", "callers",
                                         "Maximum number of callers with a socket", false,
                                         1024, "N", command);
    TCLAP::ValueArg<std::uint64_t> seed("", "seed", "Random seed", false, 1, "N",
                                        command);
    command.parse(argc, argv);
    fabric_options options{.control_endpoint = require_endpoint(listen.getValue()),
                           .loss = loss.getValue(),
                           .duplicate = duplicate.getValue(),
                           .reorder = reorder.getValue(),
                           .max_callers = callers.getValue(),
                           .seed = seed.getValue()};
    for (const std::string& map : maps.getValue())
    {
        const auto listener_and_instances = split(map, '=');
        options.live_instances[require_endpoint(listener_and_instances.at(0))] =
            require_endpoints(listener_and_instances.at(1));
    }
    return options;
}

void run(const fabric_options& options)
{
    boost::asio::io_context context;
    fabric fake(context, options);
    serve_http(context, options.control_endpoint,
               [&fake](const http_request& request)
               { return handle_control_request(fake, request); });
    run_until_signal(context);
}

} // namespace
} // namespace kumquatpath::fakes

int main(int argc, char** argv)
{
    using namespace kumquatpath::fakes;
    return run_program("fake_fabric", [&] { run(read_command_line(argc, argv)); });
}
