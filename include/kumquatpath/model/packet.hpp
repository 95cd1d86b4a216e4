#ifndef KUMQUATPATH_MODEL_PACKET_HPP
#define KUMQUATPATH_MODEL_PACKET_HPP

/// \file
/// The contents of a packet in kumquatpath's native format, independent of the encoding.
///
/// A caller opens a flow with a packet that carries no request, and sends its requests
/// after a target has answered. It sends the token from the first answer in all packets
/// of the flow, and the target copies the token it receives into its answers. So every
/// packet of an open flow reaches the same target through any instance.

#include <kumquatpath/model/endpoint.hpp>
#include <kumquatpath/model/ids.hpp>
#include <kumquatpath/model/target_record.hpp>

#include <chrono>
#include <cstdint>

namespace kumquatpath
{

/// The purpose of a packet.
enum class packet_kind : std::uint8_t
{
    /// Caller to target: opens a flow; carries no request.
    open,
    /// Caller to target: a request of an open flow.
    data,
    /// Caller to target: ends the flow.
    close,
    /// Caller to target: the caller no longer needs the answer to the request.
    cancel,
    /// Target to caller: one fragment of the answer to a request, or the empty answer to
    /// an opening.
    answer,
    /// Target to caller: the target does not know the flow.
    reset,
    /// To the caller: the request was refused; outcome says whether it may have run.
    refusal,
};

/// What is known about the execution of a request.
enum class request_outcome : std::uint8_t
{
    answered,
    /// Neither the request nor any copy of it has run or will run.
    not_run,
    /// The request may or may not have run.
    unknown,
};

/// Why a request was refused; sent to the caller.
enum class refusal_reason : std::uint8_t
{
    none,
    overload,
    deadline_passed,
    target_shed,
};

/// The header of a packet: every field that routing decisions depend on.
struct packet_header
{
    packet_kind kind = packet_kind::open;
    request_outcome outcome = request_outcome::answered;
    refusal_reason reason = refusal_reason::none;
    /// Whether the request is idempotent: it may run more than once without harm.
    bool repeatable = false;
    /// Identifies the flow's target; 0 in an opening.
    flow_token token;
    /// The address that the caller sent to.
    endpoint listener;
    service_id service;
    tenant_id tenant;
    class_id traffic_class;
    flow_id flow;
    request_id request;
    /// The time left to answer, counted from the receipt of the packet; 0 means the
    /// default of the traffic class.
    std::chrono::microseconds deadline{0};
    /// The index of the fragment in its answer, from 0.
    std::uint32_t fragment = 0;
    /// The number of fragments of the answer.
    std::uint32_t fragments = 1;
    /// The address that the target sends its answers to; set by the instance that
    /// forwards the packet.
    endpoint return_path;
};

/// The maximum size of the payload of a packet, in bytes.
inline constexpr std::size_t max_payload_bytes = 1200;

} // namespace kumquatpath

#endif
