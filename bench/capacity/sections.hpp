#ifndef KUMQUATPATH_BENCH_CAPACITY_SECTIONS_HPP
#define KUMQUATPATH_BENCH_CAPACITY_SECTIONS_HPP

/// \file
/// The parts of the capacity bench. Each measures one role and adds to the ledger.

#include <capacity/ledger.hpp>

namespace kumquatpath::bench
{

/// Packets: decode, encode, look-up, and the whole decision for a known flow.
void measure_packets(ledger& book);

/// Admission of a request, by the count of lanes and of targets.
void measure_admission(ledger& book);

/// Placement of slots by the count of targets, and slots moved by a withdrawal.
void measure_placement(ledger& book);

/// Membership: bytes, processor time and memory by the count of members.
void measure_members(ledger& book);

/// Keepers of slots: a change of view, and the messages that tell of flows.
void measure_keepers(ledger& book);

/// Claims of submissions that may not be repeated.
void measure_claims(ledger& book);

/// A whole configuration: its bytes, and the time to plan its placement.
void measure_configuration(ledger& book);

/// What each role costs at the target size, worked out from the lines. It needs the
/// figures of every other part.
void work_out_roles(ledger& book);

/// The events of a bad day at the target size.
void measure_events(ledger& book);

} // namespace kumquatpath::bench

#endif
