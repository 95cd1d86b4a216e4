/// \file
/// The fake_target program.

#include "target_server.hpp"

#include <boost/json/serialize.hpp>

#include <support/http_server.hpp>
#include <support/program.hpp>
#include <tclap/CmdLine.h>

#include <iostream>

namespace kumquatpath::fakes
{
namespace
{

using std::chrono::microseconds;
using std::chrono::milliseconds;

/// Handles GET /report, /health and /load, and PUT /drain and /undrain. Other paths get
/// status 404.
boost::asio::awaitable<http_response> handle_request(target_server& server,
                                                     const http_request& request)
{
    if (request.path == "/report")
    {
        co_return http_response{.body = server.report()};
    }
    if (request.path == "/health")
    {
        co_return http_response{
            .body = {{"healthy", true}, {"draining", server.is_draining()}}};
    }
    if (request.path == "/load")
    {
        co_return http_response{.body = {{"load", server.reported_load()}}};
    }
    if (request.path == "/drain" || request.path == "/undrain")
    {
        server.set_draining(request.path == "/drain");
        co_return http_response{.body = boost::json::object()};
    }
    co_return http_response{.status = 404};
}

target_options read_command_line(int argc, char** argv)
{
    TCLAP::CmdLine command("Fake target that answers requests", ' ', "0.1");
    TCLAP::ValueArg<std::string> listen("", "listen", "Address to receive packets", true,
                                        "", "IP:PORT", command);
    TCLAP::ValueArg<std::string> http("", "http", "Address of the HTTP interface", true,
                                      "", "IP:PORT", command);
    TCLAP::ValueArg<std::string> name("", "name", "Name of the target", true, "", "NAME",
                                      command);
    TCLAP::ValueArg<std::string> service("", "service", "Service of the target", true, "",
                                         "NAME", command);
    TCLAP::ValueArg<std::string> data_centre(
        "", "data-centre", "Data centre of the target", false, "", "NAME", command);
    TCLAP::ValueArg<int> service_time("", "service-us", "Mean time that a request takes",
                                      false, 500, "US", command);
    TCLAP::ValueArg<int> warm_up("", "cold-ms",
                                 "Length of the slow warm-up after the start", false, 0,
                                 "MS", command);
    TCLAP::ValueArg<int> lag("", "report-lag-ms", "Age of the load that /load returns",
                             false, 0, "MS", command);
    TCLAP::ValueArg<int> load("", "report-load",
                              "Load to return instead of the actual one", false, -1, "N",
                              command);
    TCLAP::ValueArg<int> idle("", "flow-idle-ms",
                              "Time after which an idle flow is removed", false, 60000,
                              "MS", command);
    TCLAP::ValueArg<std::uint64_t> seed("", "seed", "Random seed of the service times",
                                        false, 1, "N", command);
    command.parse(argc, argv);
    return {.listen = require_endpoint(listen.getValue()),
            .http = require_endpoint(http.getValue()),
            .name = name.getValue(),
            .service = service.getValue(),
            .data_centre = data_centre.getValue(),
            .service_time = microseconds(service_time.getValue()),
            .warm_up = milliseconds(warm_up.getValue()),
            .report_lag = milliseconds(lag.getValue()),
            .fixed_load = load.getValue(),
            .flow_idle_timeout = milliseconds(idle.getValue()),
            .seed = seed.getValue()};
}

void run(const target_options& options)
{
    boost::asio::io_context context;
    target_server server(context, options);
    serve_http(context, options.http,
               [&server](const http_request& request)
               { return handle_request(server, request); });
    run_until_signal(context);
    std::cout << boost::json::serialize(server.report()) << std::endl;
}

} // namespace
} // namespace kumquatpath::fakes

int main(int argc, char** argv)
{
    using namespace kumquatpath::fakes;
    return run_program("fake_target", [&] { run(read_command_line(argc, argv)); });
}
