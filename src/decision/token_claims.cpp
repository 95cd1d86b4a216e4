#include "token_claims.hpp"

#include <algorithm>
#include <tuple>

namespace kumquatpath
{
namespace
{

/// Returns whether the token of both targets stands for \p left rather than \p right.
bool is_preferred(const known_target& left, const known_target& right)
{
    if (left.record.key != right.record.key)
    {
        return left.record.key < right.record.key;
    }
    const auto rank = [](const known_target& target)
    {
        return std::tuple(target.is_announced, target.record.incarnation,
                          target.record.sequence);
    };
    return rank(left) == rank(right) ? left.entry < right.entry
                                     : rank(left) > rank(right);
}

void choose_holder(target_directory& directory, flow_token token,
                   const std::vector<target_index>& sharers)
{
    const target_index holder = *std::ranges::min_element(
        sharers, [&](target_index left, target_index right)
        { return is_preferred(directory.targets[left], directory.targets[right]); });
    directory.by_token[token.value] = holder;
    for (const target_index each : sharers)
    {
        directory.targets[each].is_shadowed = each != holder;
    }
}

} // namespace

void claim_token(target_directory& directory, target_index index)
{
    const flow_token token = directory.targets[index].token;
    const auto [holder, is_only] = directory.by_token.try_emplace(token.value, index);
    if (is_only)
    {
        return;
    }
    std::vector<target_index>& sharers = directory.token_sharers[token.value];
    if (sharers.empty())
    {
        sharers.push_back(holder->second);
    }
    sharers.push_back(index);
    choose_holder(directory, token, sharers);
}

void review_token(target_directory& directory, target_index index)
{
    const flow_token token = directory.targets[index].token;
    const auto found = directory.token_sharers.find(token.value);
    if (found != directory.token_sharers.end())
    {
        choose_holder(directory, token, found->second);
    }
}

void release_token(target_directory& directory, target_index index)
{
    const flow_token token = directory.targets[index].token;
    const auto found = directory.token_sharers.find(token.value);
    if (found == directory.token_sharers.end())
    {
        directory.by_token.erase(token.value);
        return;
    }
    std::erase(found->second, index);
    choose_holder(directory, token, found->second);
    if (found->second.size() == 1)
    {
        directory.token_sharers.erase(found);
    }
}

} // namespace kumquatpath
