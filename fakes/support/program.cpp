#include <boost/asio/signal_set.hpp>
#include <boost/leaf/handle_errors.hpp>

#include <support/program.hpp>

#include <csignal>
#include <exception>
#include <iostream>
#include <sstream>
#include <stdexcept>

namespace kumquatpath::fakes
{

endpoint require_endpoint(const std::string& text)
{
    return boost::leaf::try_handle_all(
        [&] { return parse_endpoint(text); },
        [&]() -> endpoint {
            throw std::invalid_argument("invalid address, expected a.b.c.d:port: " +
                                        text);
        });
}

std::vector<std::string> split(const std::string& text, char separator)
{
    std::vector<std::string> parts;
    std::istringstream stream(text);
    for (std::string part; std::getline(stream, part, separator);)
    {
        parts.push_back(part);
    }
    return parts;
}

std::vector<endpoint> require_endpoints(const std::string& text)
{
    std::vector<endpoint> endpoints;
    for (const std::string& part : split(text, ','))
    {
        endpoints.push_back(require_endpoint(part));
    }
    return endpoints;
}

time_point present_time()
{
    const auto since_epoch = std::chrono::steady_clock::now().time_since_epoch();
    return time_point(std::chrono::duration_cast<duration>(since_epoch));
}

void run_until_signal(boost::asio::io_context& context)
{
    boost::asio::signal_set signals(context, SIGTERM, SIGINT);
    signals.async_wait(
        [&context](const boost::system::error_code& error, int)
        {
            if (!error)
            {
                context.stop();
            }
        });
    context.run();
}

int run_program(const char* name, const std::function<void()>& body)
{
    try
    {
        body();
        return 0;
    }
    catch (const std::exception& error)
    {
        std::cerr << name << ": " << error.what() << '\n';
        return 1;
    }
}

} // namespace kumquatpath::fakes
