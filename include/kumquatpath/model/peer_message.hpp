#ifndef KUMQUATPATH_MODEL_PEER_MESSAGE_HPP
#define KUMQUATPATH_MODEL_PEER_MESSAGE_HPP

/// \file
/// The messages that instances send each other, free of any encoding.

#include <kumquatpath/model/endpoint.hpp>
#include <kumquatpath/model/ids.hpp>
#include <kumquatpath/model/packet.hpp>
#include <kumquatpath/model/time.hpp>

#include <cstdint>
#include <variant>
#include <vector>

namespace kumquatpath
{

/// Numbers the starts of an instance, so that a restart is told from a silence.
using incarnation = strong<struct incarnation_tag, std::uint64_t>;
/// Numbers the versions of a data centre's roster of claim holders; see
/// design/submissions.md.
using roster_version = strong<struct roster_tag, std::uint64_t>;

/// What an instance tells of its own and others' lives.
enum class member_state : std::uint8_t
{
    alive,
    leaving,
    /// Not heard from for a while; dead unless it says otherwise soon.
    suspect,
    dead,
};

/// One member as the sender of a heartbeat sees it.
struct member_digest
{
    instance_id instance;
    kumquatpath::incarnation incarnation;
    member_state state = member_state::alive;
    data_centre_id data_centre;
    /// Where the member hears its peers.
    endpoint address;
};

/// The new requests that one instance admitted of a class, for limits over the fleet.
struct usage
{
    service_id service;
    tenant_id tenant;
    class_id traffic_class;
    /// Requests a second offered to and admitted by the sender, smoothed.
    float offered = 0;
    float admitted = 0;
};

/// The regular sign of life of an instance, with a digest of what it knows.
struct heartbeat
{
    kumquatpath::generation generation;
    /// The newest generation whose placement takes new flows at the sender.
    kumquatpath::generation switched;
    roster_version roster;
    std::vector<member_digest> members;
    std::vector<usage> usages;
};

/// A keeper tells the instance that passed a packet on where the flow rests.
struct flow_hint
{
    service_id service;
    flow_id flow;
    target_id target;
};

/// Asks a keeper where a flow rests; a hint answers it.
struct flow_query
{
    service_id service;
    flow_id flow;
};

/// Flows that rest on other targets than their slot's oldest one, from keeper to keeper.
struct flow_listing
{
    service_id service;
    struct entry
    {
        flow_id flow;
        target_id target;
    };
    std::vector<entry> entries;
    /// Set on the last listing of an answer to a listing_request.
    bool complete = false;
    /// The keeper group that the entries belong to.
    std::uint16_t group = 0;
};

/// A new keeper asks for the listed flows of one keeper group.
struct listing_request
{
    service_id service;
    std::uint16_t group = 0;
};

/// Identifies a submission that may not be repeated, whatever path its copies take.
struct submission_key
{
    service_id service;
    flow_id flow;
    request_id request;

    friend constexpr auto operator<=>(const submission_key&,
                                      const submission_key&) = default;
};

/// What a claim decides for a submission; the first decision that a majority holds
/// stands.
enum class claim_decision : std::uint8_t
{
    run,
    refuse,
};

/// Asks a holder to record that \c coordinator decides for a submission.
struct claim
{
    submission_key key;
    instance_id coordinator;
    claim_decision decision = claim_decision::run;
    roster_version roster;
    /// How long the record must be kept.
    std::chrono::milliseconds keep{0};
};

/// A holder's answer: the decision that it holds, which is an earlier one if there was
/// one.
struct claim_reply
{
    submission_key key;
    /// False when the holder may not answer, for instance because its roster is another
    /// one.
    bool valid = false;
    instance_id coordinator;
    claim_decision decision = claim_decision::run;
    roster_version roster;
};

/// Tells a peer that is behind of the roster in force.
struct roster_news
{
    roster_version version;
    std::vector<instance_id> holders;
    /// The holders of the version before, while they still count.
    std::vector<instance_id> previous;
    /// The time since the store was asked and named this version.
    std::chrono::milliseconds store_word_age{0};
};

/// Any message between instances.
using peer_message = std::variant<heartbeat, flow_hint, flow_query, flow_listing,
                                  listing_request, claim, claim_reply, roster_news>;

} // namespace kumquatpath

#endif
