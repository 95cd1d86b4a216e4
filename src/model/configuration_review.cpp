#include "model/review_rules.hpp"

#include <array>

namespace kumquatpath
{
namespace
{

using kind = configuration_warning_kind;

constexpr std::array rules = {
    review_rule{kind::unused_data_centre, "unused_data_centre",
                "Remove the data centre, or add targets to it.",
                review::unused_data_centres},
    review_rule{kind::unused_pool, "unused_pool",
                "Remove the pool, or name it as the pool of a service.",
                review::unused_pools},
    review_rule{kind::unused_service, "unused_service",
                "Add a listener that leads to the service, or remove the service.",
                review::unused_services},
    review_rule{kind::shared_pool, "shared_pool",
                "Give each service a pool of its own, or lead the listeners of both to "
                "one service.",
                review::shared_pools},
    review_rule{kind::instance_without_effect, "instance_without_effect",
                "Remove the entry, or set its \"state\" to \"draining\".",
                review::instances_without_effect},
    review_rule{kind::unusable_address, "unusable_address", "Use an address of a host.",
                review::unusable_addresses},
    review_rule{kind::partial_slot, "partial_slot",
                "Use a multiple of 2000, the connections of one slot.",
                review::partial_slots},
    review_rule{kind::limit_without_effect, "limit_without_effect",
                "Lower this limit, or raise those of the services.",
                review::limits_without_effect},
    review_rule{kind::goal_above_deadlines, "goal_above_deadlines",
                "Lower the latency goal, or raise the deadline of a class.",
                review::goals_above_deadlines},
    review_rule{kind::deadline_below_goals, "deadline_below_goals",
                "Raise the deadline, or lower the latency goal of a service.",
                review::deadlines_below_goals},
    review_rule{kind::lifetime_below_goal, "lifetime_below_goal",
                "Raise the flow lifetime, or lower the latency goal.",
                review::lifetimes_below_goals},
    review_rule{kind::lifetime_below_deadlines, "lifetime_below_deadlines",
                "Raise the flow lifetime, or lower the deadline of a class.",
                review::lifetimes_below_deadlines},
    review_rule{kind::warm_up_limit_without_time, "warm_up_limit_without_time",
                "Set \"warm_up_s\", or remove the limit.",
                review::warm_up_limits_without_time},
    review_rule{kind::warm_up_limit_without_effect, "warm_up_limit_without_effect",
                "Lower this limit, or raise that of the service.",
                review::warm_up_limits_without_effect},
};

constexpr bool is_ordered_by_kind()
{
    for (std::size_t i = 0; i < rules.size(); ++i)
    {
        if (static_cast<std::size_t>(rules[i].kind) != i)
        {
            return false;
        }
    }
    return true;
}
static_assert(is_ordered_by_kind(),
              "rules must be in the order of configuration_warning_kind");

} // namespace

std::span<const review_rule> review_rules() noexcept
{
    return rules;
}

warning_list review_configuration(const configuration& config)
{
    warning_list all;
    for (const review_rule& rule : rules)
    {
        for (configuration_warning& each : rule.find(config))
        {
            each.kind = rule.kind;
            all.push_back(std::move(each));
        }
    }
    return all;
}

std::string_view to_string(configuration_warning_kind kind) noexcept
{
    return rules[static_cast<std::size_t>(kind)].name;
}

std::string_view remedy(configuration_warning_kind kind) noexcept
{
    return rules[static_cast<std::size_t>(kind)].remedy;
}

} // namespace kumquatpath
