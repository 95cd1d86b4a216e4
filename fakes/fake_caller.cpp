/// \file
/// The fake_caller program.

#include "caller.hpp"

#include <boost/json/serialize.hpp>

#include <support/program.hpp>
#include <tclap/CmdLine.h>

#include <iostream>

namespace kumquatpath::fakes
{
namespace
{

using std::chrono::milliseconds;

caller_options read_command_line(int argc, char** argv)
{
    using text = TCLAP::ValueArg<std::string>;
    using number = TCLAP::ValueArg<std::uint32_t>;
    TCLAP::CmdLine command("Fake caller that generates load and prints a report", ' ',
                           "0.1");
    text name("", "name", "Name in the report", false, "caller", "NAME", command);
    text fabric("", "fabric", "Listener to send packets to", true, "", "IP:PORT",
                command);
    text listen("", "listen", "Local IP address to send from", false, "127.0.0.1", "IP",
                command);
    text service("", "service", "Service to call", true, "", "NAME", command);
    number traffic_class("", "class", "Traffic class of the requests", true, 0, "ID",
                         command);
    number tenant("", "tenant", "Tenant of the requests", true, 0, "ID", command);
    TCLAP::ValueArg<double> rate("", "rate", "New flows per second", true, 0, "N",
                                 command);
    TCLAP::ValueArg<double> arrival_duration("", "seconds", "How long to open new flows",
                                             true, 0, "S", command);
    TCLAP::SwitchArg repeatable("", "repeatable", "Requests may run more than once",
                                command);
    number requests("", "flow-requests", "Requests per flow", false, 1, "K", command);
    number interval("", "request-interval-ms", "Pause between the requests of a flow",
                    false, 100, "MS", command);
    number fragments("", "fragments", "Fragments per answer", false, 1, "F", command);
    number bytes("", "bytes", "Payload bytes per fragment", false, 200, "B", command);
    number retry("", "retry-ms", "Time without an answer before retransmission", false,
                 100, "MS", command);
    number deadline("", "deadline-ms", "Time before a request is given up", false, 2000,
                    "MS", command);
    TCLAP::ValueArg<std::uint64_t> seed(
        "", "seed", "Random seed of flow ids and arrival times", false, 1, "N", command);
    command.parse(argc, argv);
    endpoint local = require_endpoint(listen.getValue() + ":1");
    local.port = 0;
    return {.name = name.getValue(),
            .fabric = require_endpoint(fabric.getValue()),
            .listen = local,
            .service = id_of<service_id>(service.getValue()),
            .traffic_class = {static_cast<std::uint16_t>(traffic_class.getValue())},
            .tenant = {static_cast<std::uint16_t>(tenant.getValue())},
            .flows_per_second = rate.getValue(),
            .arrival_duration =
                std::chrono::duration<double>(arrival_duration.getValue()),
            .repeatable = repeatable.getValue(),
            .requests_per_flow = requests.getValue(),
            .request_interval = milliseconds(interval.getValue()),
            .fragments = fragments.getValue(),
            .fragment_bytes = bytes.getValue(),
            .retry_interval = milliseconds(retry.getValue()),
            .deadline = milliseconds(deadline.getValue()),
            .seed = seed.getValue()};
}

void run(const caller_options& options)
{
    boost::asio::io_context context;
    caller fake(context, options);
    run_until_signal(context);
    std::cout << boost::json::serialize(fake.report()) << std::endl;
}

} // namespace
} // namespace kumquatpath::fakes

int main(int argc, char** argv)
{
    using namespace kumquatpath::fakes;
    return run_program("fake_caller", [&] { run(read_command_line(argc, argv)); });
}
