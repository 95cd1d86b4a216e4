/// \file
/// What each role of an instance costs, from measured slopes, and at the target size.
///
/// Variants are the sections: packets, admission, placement, members, keepers, claims,
/// configuration, events. The roles at the target size need all of them.

#include <capacity/sections.hpp>

#include <array>

using namespace kumquatpath::bench;

namespace
{

struct section
{
    std::string_view name;
    void (*measure)(ledger&);
};

constexpr std::array sections = {
    section{"packets", measure_packets},
    section{"admission", measure_admission},
    section{"placement", measure_placement},
    section{"members", measure_members},
    section{"keepers", measure_keepers},
    section{"claims", measure_claims},
    section{"configuration", measure_configuration},
    section{"events", measure_events},
};

} // namespace

int main(int argc, char** argv)
{
    const bench_options options = read_options(argc, argv, "capacity");
    report out("capacity", options.seed);
    ledger book(out, options.seed);
    for (const section& each : sections)
    {
        if (options.variant.empty() || options.variant == each.name)
        {
            each.measure(book);
        }
    }
    if (options.variant.empty())
    {
        work_out_roles(book);
    }
    return out.exit_code();
}
