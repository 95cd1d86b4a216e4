#ifndef KUMQUATPATH_EDGE_LOG_HPP
#define KUMQUATPATH_EDGE_LOG_HPP

/// \file
/// Structured logging: one JSON object per line, on standard output.
///
/// log() may be called from any thread. It appends the line to a bounded queue, which a
/// separate thread writes out. When the queue is full, the line is dropped, and the next
/// line that is queued reports how many lines were dropped before it.

#include <boost/json/object.hpp>

#include <chrono>
#include <string_view>

namespace kumquatpath
{

/// The severity of a line.
enum class log_level
{
    info,
    warning,
    error,
};

/// Writes the queued lines to standard output during its lifetime. A process may have at
/// most one object of this class at a time. The destructor writes all queued lines.
class log_writer
{
public:
    /// Starts the writer thread. Every line contains \p instance.
    explicit log_writer(std::string_view instance);
    ~log_writer();
    /// Writes the queued lines and ends the writer thread. Returns false if that takes
    /// longer than \p max_wait, for example because nobody reads the standard output and
    /// its pipe is full. The process must then end without running static destructors,
    /// as the writer thread may hold locks of the logging library.
    bool close(std::chrono::milliseconds max_wait);
    log_writer(const log_writer&) = delete;
    log_writer& operator=(const log_writer&) = delete;
};

/// Logs \p event with its \p fields. Does nothing while no log_writer exists.
void log(log_level level, std::string_view event, boost::json::object fields = {});

} // namespace kumquatpath

#endif
