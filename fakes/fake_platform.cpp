/// \file
/// The fake_platform program.

#include "platform.hpp"

#include <support/program.hpp>
#include <tclap/CmdLine.h>

namespace kumquatpath::fakes
{
namespace
{

using std::chrono::milliseconds;

platform_options read_command_line(int argc, char** argv)
{
    TCLAP::CmdLine command("Fake of the platform's key-value store", ' ', "0.1");
    TCLAP::ValueArg<std::string> listen("", "listen", "Address of the store", true, "",
                                        "IP:PORT", command);
    TCLAP::ValueArg<double> writes("", "writes-per-second", "Maximum writes per second",
                                   false, 400, "N", command);
    TCLAP::ValueArg<double> reads("", "reads-per-second", "Maximum reads per second",
                                  false, 2000, "N", command);
    command.parse(argc, argv);
    return {.listen = require_endpoint(listen.getValue()),
            .writes_per_second = writes.getValue(),
            .reads_per_second = reads.getValue()};
}

void run(const platform_options& options)
{
    const time_point now = present_time();
    platform_state state{.options = options,
                         .read_bucket = {.rate = options.reads_per_second,
                                         .tokens = options.reads_per_second,
                                         .refilled_at = now},
                         .write_bucket = {.rate = options.writes_per_second,
                                          .tokens = options.writes_per_second,
                                          .refilled_at = now}};
    boost::asio::io_context context;
    boost::asio::steady_timer timer(context);
    expire_leases_periodically(state, timer);
    serve_http(context, options.listen,
               [&state](const http_request& request)
               { return handle_request(state, request); });
    run_until_signal(context);
}

} // namespace
} // namespace kumquatpath::fakes

int main(int argc, char** argv)
{
    using namespace kumquatpath::fakes;
    return run_program("fake_platform", [&] { run(read_command_line(argc, argv)); });
}
