/// \file
/// Submissions that may not be repeated, under faults and in quiet; and retries under a
/// flood.

#include "report.hpp"
#include "retry_flood.hpp"
#include "retry_run.hpp"

#include <kumquatpath/decision/invariant.hpp>
#include <kumquatpath/edge/peer_codec.hpp>

#include <iostream>
#include <iterator>
#include <numeric>

using namespace kumquatpath;
using namespace kumquatpath::bench;
using namespace std::chrono_literals;

namespace
{

constexpr metric_bound none_at_all{.kind = bound_kind::at_most, .value = 0};

/// At the target's size each instance gets this many new requests a second, of which this
/// share may not be repeated.
constexpr double requests_per_instance = 95;
constexpr double submission_share = 0.1;

constexpr double many_claims = 100;
constexpr double few_claims = 1;

struct named_variant
{
    std::string_view name;
    submission_variant variant;
    /// See submission_options; with few, most submissions are decided in advance.
    double claims_per_second = many_claims;
};

constexpr named_variant submission_variants[] = {
    {"no-memory", submission_variant::no_memory},
    {"local-memory", submission_variant::local_memory},
    {"two-holders-no-fence", submission_variant::two_holders_no_fence},
    {"claims-no-abstention", submission_variant::claims_no_abstention},
    {"claims-no-joint", submission_variant::claims_no_joint},
    {"claims-no-view-lease", submission_variant::claims_no_view_lease},
    {"claims-no-kept-votes", submission_variant::claims_no_kept_votes, few_claims},
    {"claims", submission_variant::claims},
    {"claims-in-advance", submission_variant::claims, few_claims},
};

/// Adds the figures of one variant; only those of the design in use have bounds.
class figures
{
public:
    figures(report& out, std::string_view variant, bool is_bound)
        : out_(out), variant_(variant), is_bound_(is_bound)
    {
    }

    void add(std::string_view metric, double value, std::string_view unit,
             std::optional<metric_bound> bound = std::nullopt)
    {
        out_.add({.variant = variant_,
                  .metric = metric,
                  .value = value,
                  .unit = unit,
                  .bound = is_bound_ ? bound : std::nullopt});
    }

private:
    report& out_;
    std::string_view variant_;
    bool is_bound_;
};

double violation_count()
{
    const auto counts = violations();
    return static_cast<double>(
        std::accumulate(counts.begin(), counts.end(), std::uint64_t{0}));
}

/// The faults of a very bad quarter of an hour: one every 20 s, besides coordinators that
/// are killed or paused just after a claim.
world_options storm(const named_variant& which, std::uint64_t seed)
{
    return {.variant = which.variant,
            .seed = seed,
            .length = 900s,
            .kills_per_claim = 0.0005,
            .pauses_per_claim = 0.0005,
            .fault_interval = 20s,
            .claims_per_second = which.claims_per_second};
}

void add_truths(figures& out, const ledger& outcome)
{
    out.add("submissions", static_cast<double>(outcome.fates.size()), "count");
    out.add("submissions run twice", run_twice(outcome), "count", none_at_all);
    out.add("not run that ran", false_not_run(outcome), "count", none_at_all);
    out.add("answers misdelivered", static_cast<double>(outcome.misdelivered), "count",
            none_at_all);
    out.add("answers lost", static_cast<double>(outcome.lost_answers), "count",
            none_at_all);
    out.add("unknown share", unknown_share(outcome), "ratio");
}

void run_storm(report& out, const named_variant& which, std::uint64_t seed)
{
    figures sheet(out, which.name, which.variant == submission_variant::claims);
    const double before = violation_count();
    add_truths(sheet, run_world(storm(which, seed)));
    sheet.add("broken invariants", violation_count() - before, "count", none_at_all);
}

/// Returns the bytes that \p message takes on the wire.
std::size_t wire_size(const peer_message& message)
{
    constexpr std::size_t udp_and_ip = 28;
    flatbuffers::FlatBufferBuilder builder;
    std::vector<std::byte> encoded;
    encode_peer(builder, {.sender = {1}, .sequence = 1, .body = message}, {}, encoded);
    return encoded.size() + udp_and_ip;
}

/// Returns the wire size of \p message about a submission, all fields set.
template <class Message>
std::size_t size_about_submission()
{
    return wire_size(Message{.key = {.service = {1}, .flow = {1}, .request = {1}},
                             .coordinator = {1},
                             .decision = claim_decision::refuse,
                             .roster = {1}});
}

/// Returns the bytes of claims and replies that one instance sends a second.
double control_rate(const world_options& options, const ledger& outcome)
{
    const std::chrono::duration<double> length = options.length;
    const auto bytes =
        static_cast<double>(outcome.claims * size_about_submission<claim>() +
                            outcome.claim_replies * size_about_submission<claim_reply>());
    return bytes / length.count() / static_cast<double>(options.instances);
}

/// The steady load of the target's size on eight instances, without faults; \p times as
/// many submissions, of which all but the usual number are refused early.
void run_steady(report& out, std::string_view name, double times, std::uint64_t seed)
{
    world_options steady{
        .seed = seed, .length = 120s, .loss = 0.001, .claims_per_second = 14};
    steady.submissions_per_second = times * requests_per_instance * submission_share *
                                    static_cast<double>(steady.instances);
    steady.early_refusals = 1 - 1 / times;
    const ledger outcome = run_world(steady);
    figures sheet(out, name, true);
    add_truths(sheet, outcome);
    sheet.add("told not run", told_not_run(outcome), "count");
    sheet.add("control bytes sent a second by an instance", control_rate(steady, outcome),
              "bytes/s", metric_bound{.kind = bound_kind::at_most, .value = 6000});
}

/// An hour without the store, with a kill or a pause every two minutes.
void run_outage(report& out, std::uint64_t seed)
{
    world_options outage{.seed = seed,
                         .length = 3600s,
                         .submissions_per_second = 10,
                         .loss = 0.001,
                         .fault_interval = 120s,
                         .store_lease = 2h,
                         .has_store = false};
    figures sheet(out, "claims-store-away", true);
    add_truths(sheet, run_world(outage));
}

void run_flood(report& out, std::string_view name, bool has_budget, std::uint64_t seed)
{
    const flood_options options{.seed = seed, .has_budget = has_budget};
    const flood_outcome outcome = run_flood(options);
    const double first = static_cast<double>(outcome.first_tries);
    const std::chrono::duration<double> length = options.length;
    const double capacity =
        options.capacity_per_target * options.targets * length.count();
    figures sheet(out, name, has_budget);
    sheet.add("load amplification", static_cast<double>(outcome.sends) / first, "ratio",
              metric_bound{.kind = bound_kind::at_most, .value = 1.1});
    sheet.add("useful throughput", static_cast<double>(outcome.answered) / capacity,
              "ratio of capacity");
    sheet.add("sent after the deadline", static_cast<double>(outcome.sent_late), "count",
              none_at_all);
    sheet.add("answers misdelivered", static_cast<double>(outcome.misdelivered), "count",
              none_at_all);
}

} // namespace

int main(int argc, char** argv)
{
    const bench_options options = read_options(argc, argv, "retry");
    report out("retry", options.seed);
    const auto is_wanted = [&](std::string_view name)
    {
        return options.variant.empty() || options.variant == name;
    };
    for (const named_variant& each : submission_variants)
    {
        if (is_wanted(each.name))
        {
            run_storm(out, each, options.seed);
        }
    }
    if (is_wanted("claims-quiet"))
    {
        run_steady(out, "claims-quiet", 1, options.seed);
    }
    if (is_wanted("claims-flood"))
    {
        run_steady(out, "claims-flood", 10, options.seed);
    }
    if (is_wanted("claims-store-away"))
    {
        run_outage(out, options.seed);
    }
    if (is_wanted("unbounded-retries"))
    {
        run_flood(out, "unbounded-retries", false, options.seed);
    }
    if (is_wanted("budget"))
    {
        run_flood(out, "budget", true, options.seed);
    }
    return out.exit_code();
}
