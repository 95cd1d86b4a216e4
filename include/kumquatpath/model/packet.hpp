#ifndef KUMQUATPATH_MODEL_PACKET_HPP
#define KUMQUATPATH_MODEL_PACKET_HPP

/// \file
/// What a packet of kumquatpath's own form says, free of any encoding.
///
/// A caller opens a flow with a packet that carries no work and sends its requests once a
/// target has answered. It keeps the token of the first answer for the whole flow, and
/// the target sends back what it receives, so that every packet of an open flow reaches
/// the same target through any instance.

#include <kumquatpath/model/endpoint.hpp>
#include <kumquatpath/model/ids.hpp>
#include <kumquatpath/model/target_record.hpp>

#include <chrono>
#include <cstdint>

namespace kumquatpath
{

/// What a packet is for.
enum class packet_kind : std::uint8_t
{
    /// Caller to target: opens a flow; it carries no request.
    open,
    /// Caller to target: a request of an open flow.
    data,
    /// Caller to target: the flow is over.
    close,
    /// Caller to target: the caller no longer wants the request's answer.
    cancel,
    /// Target to caller: one fragment of an answer; to an opening, an empty one.
    answer,
    /// Target to caller: the target does not know the flow.
    reset,
    /// To the caller: the request was refused; outcome says what is known of it.
    refusal,
};

/// What is known of a request that was not answered.
enum class request_outcome : std::uint8_t
{
    /// The request was answered.
    answered,
    /// The request did not run, and no copy of it will.
    not_run,
    /// Whether the request ran cannot be known.
    unknown,
};

/// Why a request was refused; the caller sees it.
enum class refusal_reason : std::uint8_t
{
    none,
    overload,
    deadline_passed,
    target_shed,
};

/// The header of a packet: every field that a decision looks at.
struct packet_header
{
    packet_kind kind = packet_kind::open;
    request_outcome outcome = request_outcome::answered;
    refusal_reason reason = refusal_reason::none;
    /// Whether the request may run more than once without harm.
    bool repeatable = false;
    /// Stands for the flow's target; 0 in an opening.
    flow_token token;
    /// The address that the caller sent to.
    endpoint listener;
    service_id service;
    tenant_id tenant;
    class_id traffic_class;
    flow_id flow;
    request_id request;
    /// The time left to answer, from when the packet is received. Zero: the class's own.
    std::chrono::microseconds deadline{0};
    /// The fragment's place in its answer, from 0, and the count of fragments in all.
    std::uint32_t fragment = 0;
    std::uint32_t fragments = 1;
    /// Where answers of the flow go; an instance sets it and a target answers there.
    endpoint return_path;
};

/// The longest payload that a packet carries, in bytes.
inline constexpr std::size_t max_payload_bytes = 1200;

} // namespace kumquatpath

#endif
