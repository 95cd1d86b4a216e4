/// \file
/// Claims of submissions that may not be repeated: a holder's records and the bytes of
/// one submission.

#include <kumquatpath/decision/claim.hpp>

#include <capacity/bytes_on_wire.hpp>
#include <capacity/sections.hpp>
#include <capacity/target_size.hpp>

#include <array>
#include <random>

namespace kumquatpath::bench
{
namespace
{

constexpr std::array<std::size_t, 4> record_counts = {2'000, 8'000, 32'000, 64'000};
constexpr std::size_t rounds = 7;
constexpr std::size_t calls = 1'000;

/// One record is made and one expires, at a table that holds \p held of them.
double time_to_record(std::size_t held, std::uint64_t seed)
{
    std::mt19937_64 random(seed);
    claim_records records;
    const roster_view view = start_roster_view({}, {1}, {});
    time_point now{std::chrono::seconds(1)};
    const auto record_one = [&]
    {
        now += std::chrono::microseconds(1);
        const claim wanted{.key = {.service = {1}, .flow = {random()}, .request = {1}},
                           .coordinator = {1},
                           .keep = std::chrono::milliseconds(1)};
        record_claim(records, view, wanted, now);
    };
    for (std::size_t i = 0; i < held; ++i)
    {
        record_one();
    }
    const duration life = std::chrono::microseconds(held);
    return nanoseconds_per_call(
        rounds, calls,
        [&]
        {
            record_one();
            expire_records(records, now + std::chrono::milliseconds(1) - life);
        });
}

} // namespace

void measure_claims(ledger& book)
{
    std::vector<cost_point> points;
    points.reserve(record_counts.size());
    for (const std::size_t held : record_counts)
    {
        points.push_back({static_cast<double>(held), time_to_record(held, book.seed())});
    }
    book.add_line({"claims/record", "record held", "ns"}, points);
    // Two of the three holders are other instances: a claim to and a reply from each.
    const double bytes = 2 * (bytes_on_wire(peer_message(claim{})) +
                              bytes_on_wire(peer_message(claim_reply{})));
    book.tell("claims/messages", "bytes sent by the fleet for a submission", bytes,
              "bytes");
}

} // namespace kumquatpath::bench
