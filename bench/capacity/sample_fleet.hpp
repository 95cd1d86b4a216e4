#ifndef KUMQUATPATH_BENCH_CAPACITY_SAMPLE_FLEET_HPP
#define KUMQUATPATH_BENCH_CAPACITY_SAMPLE_FLEET_HPP

/// \file
/// Configurations and member views of any size, for measurements.

#include <kumquatpath/decision/member_view.hpp>
#include <kumquatpath/model/configuration.hpp>

#include <cstddef>

namespace kumquatpath::bench
{

/// The size of a sample configuration.
struct sample_size
{
    std::size_t services = 1;
    std::size_t targets_per_service = 11;
    std::size_t data_centres = 7;
};

/// Returns a configuration in generation 1, with one listener for each service. The
/// targets of each service are spread over the data centres in turn.
configuration sample_configuration(const sample_size& size);

/// Returns the same configuration one generation later, with data centre \p index
/// draining and the former targets kept as past placements of every service. The change
/// was accepted at \p accepted.
configuration drain_data_centre(const configuration& whole, std::size_t index,
                                wall_time accepted);

/// Returns a view of \p count members that are all alive, spread over \p data_centres.
member_view sample_view(std::size_t count, std::size_t data_centres = 7);

/// Returns the id of member \p index of a sample view.
instance_id sample_instance(std::size_t index);

} // namespace kumquatpath::bench

#endif
