#ifndef KUMQUATPATH_MODEL_CONFIGURATION_REVIEW_HPP
#define KUMQUATPATH_MODEL_CONFIGURATION_REVIEW_HPP

/// \file
/// Reviews a valid configuration for entries that have no effect and for limits that
/// contradict each other.
///
/// A warning never makes a configuration invalid. A rule reports only what follows from
/// the document alone; docs/design/configuration-check.md lists what it cannot tell. The
/// functions are pure and cannot fail; their time is proportional to the size of the
/// configuration.

#include <kumquatpath/model/configuration.hpp>

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace kumquatpath
{

/// The kind of a warning.
enum class configuration_warning_kind : std::uint8_t
{
    /// A data centre without targets.
    unused_data_centre,
    /// A pool that no service uses.
    unused_pool,
    /// A service that no listener leads to.
    unused_service,
    /// A service whose pool belongs to an earlier service.
    shared_pool,
    /// An instance that is listed although it is active.
    instance_without_effect,
    /// A listener or target with an address that no host can have.
    unusable_address,
    /// A number of connections that is not a multiple of those of one slot.
    partial_slot,
    /// A limit of a tenant or class above the limits of all listeners together.
    limit_without_effect,
    /// A latency goal longer than the deadline of every class.
    goal_above_deadlines,
    /// A deadline shorter than the latency goal of every service.
    deadline_below_goals,
    /// A flow lifetime shorter than the latency goal of the same service.
    lifetime_below_goal,
    /// A flow lifetime shorter than the deadline of every class.
    lifetime_below_deadlines,
    /// A limit during a warm-up that takes no time.
    warm_up_limit_without_time,
    /// A limit during a warm-up above the limit of the service.
    warm_up_limit_without_effect,
};

/// One warning about a configuration, with its location.
struct configuration_warning
{
    configuration_warning_kind kind = configuration_warning_kind::unused_data_centre;
    /// The location in the document, as a JSON pointer (RFC 6901).
    std::string pointer;
    /// A sentence that says what was found.
    std::string description;
};

/// Warnings in the order of review_rules() and, within one rule, of the document.
using warning_list = std::vector<configuration_warning>;

/// One rule of the review. Each kind of warning has exactly one.
struct review_rule
{
    configuration_warning_kind kind;
    /// The name of the kind as it appears in output.
    std::string_view name;
    /// A sentence that suggests what to do.
    std::string_view remedy;
    /// Returns the warnings of this rule for a configuration that passed the check.
    warning_list (*find)(const configuration& config);
};

/// Returns all rules, in the order of configuration_warning_kind.
std::span<const review_rule> review_rules() noexcept;

/// Returns the warnings of all rules for \p config, which must have passed the check.
warning_list review_configuration(const configuration& config);

/// Returns the name of \p kind as it appears in output.
std::string_view to_string(configuration_warning_kind kind) noexcept;

/// Returns a sentence that suggests what to do about a warning of \p kind.
std::string_view remedy(configuration_warning_kind kind) noexcept;

} // namespace kumquatpath

#endif
