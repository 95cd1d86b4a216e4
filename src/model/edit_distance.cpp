#include "model/edit_distance.hpp"

#include <algorithm>
#include <numeric>
#include <vector>

namespace kumquatpath
{

std::size_t edit_distance(std::string_view from, std::string_view to)
{
    std::vector<std::size_t> row(to.size() + 1);
    std::iota(row.begin(), row.end(), std::size_t{0});
    for (std::size_t i = 0; i < from.size(); ++i)
    {
        std::size_t diagonal = row[0];
        row[0] = i + 1;
        for (std::size_t j = 0; j < to.size(); ++j)
        {
            const std::size_t substitution = diagonal + (from[i] == to[j] ? 0U : 1U);
            diagonal = row[j + 1];
            row[j + 1] = std::min({substitution, row[j] + 1, row[j + 1] + 1});
        }
    }
    return row.back();
}

std::string_view nearest_name(std::string_view name,
                              std::span<const std::string_view> candidates)
{
    constexpr std::size_t always_allowed_edits = 2;
    const std::size_t max_edits = std::max(always_allowed_edits, name.size() / 3);
    std::string_view nearest;
    std::size_t nearest_distance = max_edits + 1;
    for (const std::string_view each : candidates)
    {
        // The difference in length is a lower bound of the edit distance.
        const std::size_t longer = std::max(each.size(), name.size());
        const std::size_t shorter = std::min(each.size(), name.size());
        if (longer - shorter >= nearest_distance)
        {
            continue;
        }
        const std::size_t distance = edit_distance(name, each);
        if (distance < nearest_distance)
        {
            nearest = each;
            nearest_distance = distance;
        }
    }
    return nearest;
}

} // namespace kumquatpath
