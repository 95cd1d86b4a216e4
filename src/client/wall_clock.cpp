#include "client/wall_clock.hpp"

#include <ctime>
#include <iomanip>
#include <sstream>

namespace kumquatpath
{

std::string to_utc_text(wall_time time)
{
    const std::time_t seconds = std::chrono::system_clock::to_time_t(time);
    std::tm parts{};
    gmtime_r(&seconds, &parts);
    std::ostringstream text;
    text << std::put_time(&parts, "%Y-%m-%d %H:%M:%S UTC");
    return text.str();
}

} // namespace kumquatpath
