#include "rehash_detection.hpp"

namespace kumquatpath
{
namespace
{

/// More flows than this that were opened through other instances and arrive here within
/// rehash_window mean that the fabric is rehashing, that is, redistributing flows among
/// the instances. An unanswered opening then says nothing about its target.
constexpr std::uint32_t max_flows_opened_elsewhere = 3;
constexpr duration rehash_window = std::chrono::milliseconds(500);

} // namespace

void record_flow_opened_elsewhere(flow_steering& steering, time_point now)
{
    if (now >= steering.rehash_window_start + rehash_window)
    {
        steering.rehash_window_start = now;
        steering.flows_opened_elsewhere = 0;
    }
    ++steering.flows_opened_elsewhere;
    steering.last_opened_elsewhere_at = now;
    if (steering.flows_opened_elsewhere > max_flows_opened_elsewhere)
    {
        steering.last_rehash_at = now;
    }
}

bool is_rehashing(const flow_steering& steering, time_point now)
{
    return steering.flows_opened_elsewhere > max_flows_opened_elsewhere &&
           now < steering.rehash_window_start + 2 * rehash_window;
}

} // namespace kumquatpath
