#ifndef KUMQUATPATH_EDGE_LOG_HPP
#define KUMQUATPATH_EDGE_LOG_HPP

/// \file
/// Structured logs: one JSON object a line, on standard output.
///
/// Any thread may log. A line costs its writer a bounded queue; a thread of its own
/// writes. When the queue is full the line is dropped and counted, and the count is
/// logged later.

#include <boost/json/object.hpp>

#include <string_view>

namespace kumquatpath
{

/// How much a line matters.
enum class log_level
{
    info,
    warning,
    error,
};

/// Writes logs for as long as it lives; one object a process.
class log_writer
{
public:
    /// Starts the writing thread. \p instance is written with every line.
    explicit log_writer(std::string_view instance);
    ~log_writer();
    log_writer(const log_writer&) = delete;
    log_writer& operator=(const log_writer&) = delete;
};

/// Logs that \p event happened, with its \p fields. Does nothing while no log_writer
/// lives.
void log(log_level level, std::string_view event, boost::json::object fields = {});

} // namespace kumquatpath

#endif
