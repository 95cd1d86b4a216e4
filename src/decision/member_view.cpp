#include <kumquatpath/decision/member_view.hpp>

#include <algorithm>

namespace kumquatpath
{
namespace
{

struct candidate
{
    std::uint64_t score = 0;
    instance_id instance;
};

bool is_better(const candidate& left, const candidate& right)
{
    return left.score != right.score ? left.score > right.score
                                     : left.instance < right.instance;
}

} // namespace

std::optional<instance_id> keeper_of(const member_view& view, std::uint64_t key,
                                     std::size_t rank)
{
    std::vector<candidate> best;
    best.reserve(rank + 2);
    for (const member& each : view.members)
    {
        if (each.state != member_state::alive)
        {
            continue;
        }
        const candidate next{.score = mix(key, each.instance.value),
                             .instance = each.instance};
        best.insert(std::ranges::upper_bound(best, next, is_better), next);
        if (best.size() > rank + 1)
        {
            best.pop_back();
        }
    }
    if (best.size() <= rank)
    {
        return std::nullopt;
    }
    return best[rank].instance;
}

} // namespace kumquatpath
