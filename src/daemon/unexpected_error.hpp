#ifndef KUMQUATPATH_DAEMON_UNEXPECTED_ERROR_HPP
#define KUMQUATPATH_DAEMON_UNEXPECTED_ERROR_HPP

/// \file
/// Keeps an exception that nobody expected from ending the process.
///
/// An exception that leaves the entry function of a thread ends the process and with it
/// every flow's state of this instance, although it may concern one message alone. The
/// workers therefore drop the message, log the error and go on.

#include <kumquatpath/edge/log.hpp>

#include <boost/asio/io_context.hpp>

#include <exception>
#include <string_view>

namespace kumquatpath
{

/// Calls \p step. Returns whether it returned without an exception; logs any
/// std::exception as an error of \p worker.
template <class Step>
bool run_logging_errors(std::string_view worker, Step step)
{
    try
    {
        step();
        return true;
    }
    catch (const std::exception& error)
    {
        log(log_level::error, "unexpected_error",
            {{"worker", worker}, {"error", error.what()}});
        return false;
    }
}

/// Runs the handlers of \p context until it is stopped or has no more work. A handler
/// that throws a std::exception is given up; the others go on.
inline void run_context(boost::asio::io_context& context, std::string_view worker)
{
    while (!run_logging_errors(worker, [&] { context.run(); }))
    {
    }
}

} // namespace kumquatpath

#endif
