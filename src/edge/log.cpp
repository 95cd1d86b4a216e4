#include <kumquatpath/edge/log.hpp>

#include <boost/json/serialize.hpp>

#include <chrono>
#include <condition_variable>
#include <cstddef>
#include <mutex>
#include <string>
#include <thread>

// The header of easylogging++ causes warnings, which this project treats as errors.
#pragma GCC diagnostic push
#pragma GCC diagnostic ignored "-Wall"
#pragma GCC diagnostic ignored "-Wextra"
#include <easylogging++.h>
#pragma GCC diagnostic pop

namespace kumquatpath
{
namespace
{

constexpr std::size_t max_queued_lines = 4096;
/// How long lines are collected before they are written together. Each write costs a
/// wake-up of the writer thread.
constexpr std::chrono::milliseconds write_interval{100};

/// The queue between the threads that log and the writer thread. It is guarded by a
/// mutex because several threads log; the other queues have one producer each. The thread
/// that handles packets does not log every packet, so it does not take the mutex for
/// every packet.
struct line_queue
{
    std::mutex mutex;
    std::condition_variable changed;
    /// The queued lines, each terminated by a newline.
    std::string pending_text;
    std::size_t pending_lines = 0;
    std::string instance;
    std::uint64_t dropped_lines = 0;
    bool is_open = false;
    /// The writer thread has written everything and ends.
    bool is_written = false;
    std::thread writer;
};

line_queue& queue()
{
    static line_queue instance;
    return instance;
}

std::string_view level_name(log_level level)
{
    switch (level)
    {
    case log_level::warning:
        return "warning";
    case log_level::error:
        return "error";
    default:
        return "info";
    }
}

std::string format_line(log_level level, std::string_view instance,
                        std::string_view event, const boost::json::object& fields)
{
    const auto now = std::chrono::time_point_cast<std::chrono::milliseconds>(
        std::chrono::system_clock::now());
    boost::json::object line = {{"time_ms", now.time_since_epoch().count()},
                                {"level", level_name(level)},
                                {"instance", instance},
                                {"event", event}};
    for (const auto& field : fields)
    {
        line.insert(field);
    }
    return boost::json::serialize(line);
}

void write_until_closed()
{
    line_queue& shared = queue();
    std::unique_lock lock(shared.mutex);
    while (shared.is_open || shared.pending_lines > 0)
    {
        shared.changed.wait(lock,
                            [&] { return !shared.is_open || shared.pending_lines > 0; });
        shared.changed.wait_for(lock, write_interval, [&] { return !shared.is_open; });
        std::string batch;
        batch.swap(shared.pending_text);
        shared.pending_lines = 0;
        lock.unlock();
        if (!batch.empty())
        {
            batch.pop_back();
            LOG(INFO) << batch;
        }
        lock.lock();
    }
    shared.is_written = true;
    shared.changed.notify_all();
}

/// Accepts no further lines and tells the writer thread to end when it has written the
/// queued ones.
void stop_writing()
{
    line_queue& shared = queue();
    {
        const std::scoped_lock lock(shared.mutex);
        shared.is_open = false;
    }
    shared.changed.notify_all();
}

void configure_easylogging()
{
    el::Configurations settings;
    settings.setToDefault();
    settings.setGlobally(el::ConfigurationType::Format, "%msg");
    settings.setGlobally(el::ConfigurationType::ToFile, "false");
    settings.setGlobally(el::ConfigurationType::ToStandardOutput, "true");
    el::Loggers::setDefaultConfigurations(settings, true);
}

} // namespace

log_writer::log_writer(std::string_view instance)
{
    configure_easylogging();
    line_queue& shared = queue();
    const std::scoped_lock lock(shared.mutex);
    shared.instance = instance;
    shared.is_open = true;
    shared.is_written = false;
    shared.writer = std::thread(write_until_closed);
}

log_writer::~log_writer()
{
    line_queue& shared = queue();
    if (shared.writer.joinable())
    {
        stop_writing();
        shared.writer.join();
    }
}

bool log_writer::close(std::chrono::milliseconds max_wait)
{
    line_queue& shared = queue();
    stop_writing();
    std::unique_lock lock(shared.mutex);
    if (!shared.changed.wait_for(lock, max_wait, [&] { return shared.is_written; }))
    {
        return false;
    }
    lock.unlock();
    shared.writer.join();
    return true;
}

void log(log_level level, std::string_view event, boost::json::object fields)
{
    line_queue& shared = queue();
    const std::scoped_lock lock(shared.mutex);
    if (!shared.is_open)
    {
        return;
    }
    if (shared.pending_lines >= max_queued_lines)
    {
        ++shared.dropped_lines;
        return;
    }
    if (shared.dropped_lines > 0)
    {
        fields["lines_dropped_before"] = shared.dropped_lines;
        shared.dropped_lines = 0;
    }
    shared.pending_text += format_line(level, shared.instance, event, fields);
    shared.pending_text += '\n';
    ++shared.pending_lines;
    if (shared.pending_lines == 1)
    {
        shared.changed.notify_one();
    }
}

} // namespace kumquatpath
