#ifndef KUMQUATPATH_BENCH_RETRY_LEDGER_HPP
#define KUMQUATPATH_BENCH_RETRY_LEDGER_HPP

/// \file
/// What became of each submission of a run, as its caller and its target saw it.

#include <kumquatpath/model/packet.hpp>
#include <kumquatpath/model/peer_message.hpp>

#include <algorithm>
#include <cstdint>
#include <map>

namespace kumquatpath::bench
{

/// One submission.
struct submission_fate
{
    std::uint64_t runs = 0;
    bool was_answered = false;
    bool was_told_not_run = false;
    bool was_told_unknown = false;
};

/// The figures of one run.
struct ledger
{
    std::map<flow_id, submission_fate> fates;
    std::uint64_t misdelivered = 0;
    /// Answers that reached the instance that waited for them in time, first and whole,
    /// and were not passed to the caller.
    std::uint64_t lost_answers = 0;
    std::uint64_t claims = 0;
    std::uint64_t claim_replies = 0;
};

/// Returns the address of the caller of \p flow: no other caller has it.
inline endpoint caller_of(flow_id flow)
{
    return {.address = static_cast<std::uint32_t>(flow.value), .port = 1};
}

/// Notes a packet that reached the caller at its return path.
inline void note_told(ledger& all, const packet_header& header)
{
    submission_fate& fate = all.fates[header.flow];
    all.misdelivered += header.return_path == caller_of(header.flow) ? 0U : 1U;
    fate.was_answered |= header.kind == packet_kind::answer;
    const bool is_refusal = header.kind == packet_kind::refusal;
    fate.was_told_not_run |= is_refusal && header.outcome == request_outcome::not_run;
    fate.was_told_unknown |= is_refusal && header.outcome == request_outcome::unknown;
}

/// Returns whether the caller of \p fate has anything to go by.
inline bool is_told(const submission_fate& fate)
{
    return fate.was_answered || fate.was_told_not_run || fate.was_told_unknown;
}

/// Returns how many submissions satisfy \p which.
template <class Predicate>
double count_fates(const ledger& all, Predicate which)
{
    return static_cast<double>(std::ranges::count_if(all.fates, [&](const auto& each)
                                                     { return which(each.second); }));
}

inline double run_twice(const ledger& all)
{
    return count_fates(all, [](const submission_fate& each) { return each.runs > 1; });
}

inline double false_not_run(const ledger& all)
{
    return count_fates(all, [](const submission_fate& each)
                       { return each.was_told_not_run && each.runs > 0; });
}

inline double told_not_run(const ledger& all)
{
    return count_fates(all,
                       [](const submission_fate& each) { return each.was_told_not_run; });
}

/// Returns the share of submissions whose caller learnt neither an answer nor "not run".
inline double unknown_share(const ledger& all)
{
    const double unknown =
        count_fates(all, [](const submission_fate& each)
                    { return !each.was_answered && !each.was_told_not_run; });
    return all.fates.empty() ? 0 : unknown / static_cast<double>(all.fates.size());
}

} // namespace kumquatpath::bench

#endif
