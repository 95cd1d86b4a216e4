#ifndef KUMQUATPATH_DECISION_ADMISSION_LANE_HPP
#define KUMQUATPATH_DECISION_ADMISSION_LANE_HPP

/// \file
/// One lane of admission control: the work of one class of one tenant for one service.
///
/// A lane is guaranteed half as much again as it usually carries, and no more than that
/// once much of it is refused. What is usual is learned over half a minute, and all but
/// stands still while most of the lane is refused, so a flood does not become usual. A
/// lane that an instance has not seen long enough takes over what its peers tell that
/// they admit of it.

#include <kumquatpath/decision/admission_bucket.hpp>
#include <kumquatpath/model/ids.hpp>
#include <kumquatpath/model/peer_message.hpp>

#include <compare>
#include <cstdint>
#include <optional>

namespace kumquatpath
{

/// Names a lane.
struct lane_key
{
    service_id service;
    tenant_id tenant;
    class_id traffic_class;

    friend constexpr auto operator<=>(const lane_key&, const lane_key&) = default;
};

/// The latency that the work of a lane has without pressure.
struct base_latency
{
    /// The mean, in seconds.
    double mean = 0;
    std::uint32_t samples = 0;
    /// The mean under pressure, which stands in until the base is known.
    double pressed_mean = 0;
    std::uint32_t pressed_samples = 0;
};

/// The state of one lane at one instance.
struct admission_lane
{
    lane_key key;
    /// 0 is the most urgent.
    std::uint8_t priority = 0;
    rate_meter offered;
    rate_meter admitted;
    /// The part of the latest requests that was refused.
    double refused_part = 0;
    /// The rate that is usually admitted, in requests a second.
    double usual = 0;
    time_point first_seen{};
    time_point rolled{};
    token_bucket guaranteed;
    std::uint32_t in_flight = 0;
    base_latency base;
    /// The mean rate that one peer admits, and whether it admits nearly all it is
    /// offered.
    double peer_admitted = 0;
    bool peers_admit_all = false;
    /// When a peer last told of the lane.
    std::optional<time_point> peer_heard;
};

/// Returns the rate that the lane is guaranteed on this instance, with its burst.
bucket_rate guarantee_of(const admission_lane& lane, time_point now) noexcept;

/// Returns whether the lane is offered far more than it usually carries.
bool is_flooded(const admission_lane& lane, time_point now) noexcept;

/// Brings the lane's usual rate and its bucket up to \p now.
void roll(admission_lane& lane, time_point now) noexcept;

/// Notes the decision on one request of a lane that was brought up to \p now.
void note_decision(admission_lane& lane, bool is_admitted, time_point now) noexcept;

/// Learns from the latency of one answer. \p pressed tells whether the lane's pool
/// refuses work; a young lane cannot know that yet, so its latencies count as pressed.
void note_latency(admission_lane& lane, duration latency, bool pressed,
                  time_point now) noexcept;

/// Returns the latency that the lane's work has without pressure; zero when it isn't
/// known yet.
duration expected_latency(const admission_lane& lane) noexcept;

/// Takes over what one peer told of the lane.
void note_peer_usage(admission_lane& lane, const usage& told, time_point now) noexcept;

} // namespace kumquatpath

#endif
