#include "model/json_pointer.hpp"

namespace kumquatpath
{

std::string child_pointer(std::string_view parent, std::string_view key)
{
    std::string pointer(parent);
    pointer += '/';
    for (const char each : key)
    {
        if (each == '~')
        {
            pointer += "~0";
        }
        else if (each == '/')
        {
            pointer += "~1";
        }
        else
        {
            pointer += each;
        }
    }
    return pointer;
}

} // namespace kumquatpath
