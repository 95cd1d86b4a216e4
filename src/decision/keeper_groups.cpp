#include <kumquatpath/decision/keeper_groups.hpp>

#include <algorithm>

namespace kumquatpath
{
namespace
{

struct ranked
{
    std::uint64_t score = 0;
    const member* holder = nullptr;
};

bool outranks(const ranked& left, const ranked& right)
{
    return right.holder == nullptr || left.score > right.score;
}

const member* find_member(const member_view& view, instance_id id)
{
    const auto found = std::ranges::lower_bound(view.members, id, {}, &member::instance);
    return found != view.members.end() && found->instance == id ? &*found : nullptr;
}

bool can_answer(const member_view& view, instance_id id)
{
    const member* found = find_member(view, id);
    return id != view.self && found != nullptr && found->state != member_state::dead;
}

bool keeps(const keepers& pair, instance_id id)
{
    return pair.first == id || pair.replica == id;
}

/// Returns who may know the flows of a group that \p before kept and \p after keeps.
instance_id former_of(const member_view& view, std::uint16_t group, const keepers& before)
{
    for (const instance_id each : {before.first, before.replica})
    {
        if (can_answer(view, each))
        {
            return each;
        }
    }
    // An instance that has just started has no earlier view, but those who were there
    // before it agree on the keepers without it.
    const bool has_started = before == keepers{};
    return has_started ? keepers_of(view, group, view.self).first : instance_id{};
}

} // namespace

std::uint16_t group_of(service_id service, slot_index slot) noexcept
{
    return mix(service.value, slot.value) % keeper_group_count;
}

keepers keepers_of(const member_view& view, std::uint16_t group, instance_id excluded)
{
    ranked first;
    for (const member& each : view.members)
    {
        const ranked next{mix(group, each.instance.value), &each};
        if (each.state == member_state::alive && each.instance != excluded &&
            outranks(next, first))
        {
            first = next;
        }
    }
    if (first.holder == nullptr)
    {
        return {};
    }
    ranked near;
    ranked far;
    for (const member& each : view.members)
    {
        if (each.state != member_state::alive || each.instance == excluded ||
            &each == first.holder)
        {
            continue;
        }
        const bool is_far = each.data_centre != first.holder->data_centre;
        ranked& best = is_far ? far : near;
        const ranked next{mix(group, each.instance.value), &each};
        best = outranks(next, best) ? next : best;
    }
    const member* replica = far.holder != nullptr ? far.holder : near.holder;
    return {.first = first.holder->instance,
            .replica = replica != nullptr ? replica->instance : instance_id{}};
}

void adopt_keepers(keeper_groups& groups, const member_view& view, time_point now)
{
    for (std::uint16_t i = 0; i < keeper_group_count; ++i)
    {
        keeper_group& group = groups[i];
        const keepers before = group.now;
        group.now = keepers_of(view, i);
        const bool gains = keeps(group.now, view.self) && !keeps(before, view.self);
        if (group.now.first != before.first || gains)
        {
            group.former = former_of(view, i, before);
            group.changed = now;
        }
        if (gains)
        {
            group.is_complete = false;
            group.asked = {};
        }
        if (!can_answer(view, group.former))
        {
            group.former = {};
            group.is_complete = true;
        }
    }
}

void distrust_kept_groups(keeper_groups& groups, const member_view& view, time_point now)
{
    for (keeper_group& group : groups)
    {
        if (!keeps(group.now, view.self))
        {
            continue;
        }
        const instance_id other =
            group.now.first == view.self ? group.now.replica : group.now.first;
        group.former = other;
        group.changed = now;
        group.is_complete = other == instance_id{};
        group.asked = {};
    }
}

} // namespace kumquatpath
