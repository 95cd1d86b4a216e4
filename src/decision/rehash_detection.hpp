#ifndef KUMQUATPATH_DECISION_REHASH_DETECTION_HPP
#define KUMQUATPATH_DECISION_REHASH_DETECTION_HPP

/// \file
/// Detects that the fabric redistributes flows among the instances, by the flows whose
/// packets arrive here although they were opened through other instances. is_rehashing()
/// in flow_steering.hpp tells the result.

#include <kumquatpath/decision/flow_steering.hpp>

namespace kumquatpath
{

/// Records the first packet here of a flow that was opened through another instance.
void record_flow_opened_elsewhere(flow_steering& steering, time_point now);

} // namespace kumquatpath

#endif
