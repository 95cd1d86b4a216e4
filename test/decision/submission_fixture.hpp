#ifndef KUMQUATPATH_TEST_DECISION_SUBMISSION_FIXTURE_HPP
#define KUMQUATPATH_TEST_DECISION_SUBMISSION_FIXTURE_HPP

/// \file
/// What the tests of submissions and claims share: one instance of five that hold claims.

#include <kumquatpath/decision/submission.hpp>

#include <algorithm>
#include <vector>

namespace kumquatpath::test
{

/// Returns the actions of kind \p Action among \p actions.
template <class Action>
std::vector<Action> all_of(const action_list& actions)
{
    std::vector<Action> found;
    for (const action& each : actions)
    {
        if (const auto* match = std::get_if<Action>(&each))
        {
            found.push_back(*match);
        }
    }
    return found;
}

/// The instances 1 to 5 hold claims; the time is one at which they have whole memories.
struct submission_fixture
{
    time_point now{std::chrono::seconds{100}};
    roster first{.version = {1}, .holders = {{1}, {2}, {3}, {4}, {5}}};
    packet_header header{.kind = packet_kind::open,
                         .service = {7},
                         .flow = {11},
                         .request = {1},
                         .deadline = std::chrono::seconds{2},
                         .return_path = {.address = 1, .port = 2}};
    std::vector<instance_id> holders = holders_of_key();
    roster_view view = view_of(holders[0]);
    member_view members = members_of(holders[0]);
    submission_state state;
    action_list actions;

    /// Returns the view of \p self, to whom all others announced the first roster.
    roster_view view_of(instance_id self) const
    {
        roster_view made = start_roster_view({}, self, {});
        tick_roster(made, now);
        made.deaf_until = {};
        learn_roster_from_store(made, first, now, now);
        hear_all(made, {1});
        return made;
    }

    /// Lets every other holder announce \p version to \p which.
    void hear_all(roster_view& which, roster_version version) const
    {
        for (const instance_id each : first.holders)
        {
            if (each != which.self)
            {
                hear_roster_version(which, each, version, now);
            }
        }
    }

    member_view members_of(instance_id self) const
    {
        member_view made{.self = self};
        for (const instance_id each : first.holders)
        {
            made.members.push_back({.instance = each});
        }
        return made;
    }

    std::vector<instance_id> holders_of_key() const
    {
        return holders_of(view_of({1}), key_of(header), now).current;
    }

    submission_context context() const
    {
        return {.roster = view, .members = members, .now = now};
    }

    /// Makes this instance the one that is \p rank-th for the key.
    void become(std::size_t rank)
    {
        view = view_of(holders[rank]);
        members = members_of(holders[rank]);
    }

    void kill(instance_id which)
    {
        std::ranges::find(members.members, which, &member::instance)->state =
            member_state::dead;
    }

    submission_route route()
    {
        actions.clear();
        return route_submission(state, context(), header, {}, actions);
    }

    void run()
    {
        actions.clear();
        run_submission(state, context(), header, {}, target, actions);
    }

    void refuse()
    {
        actions.clear();
        refuse_submission(state, context(), header, refusal_reason::overload, actions);
    }

    void reply(instance_id from, instance_id coordinator,
               claim_decision decision = claim_decision::run)
    {
        actions.clear();
        receive_claim_reply(state, context(), from,
                            {.key = key_of(header),
                             .valid = true,
                             .coordinator = coordinator,
                             .decision = decision,
                             .roster = {1}},
                            actions);
    }

    void answer(packet_header what)
    {
        actions.clear();
        receive_submission_answer(state, target, what, {}, now, actions);
    }

    packet_header answer_header() const
    {
        packet_header made = header;
        made.kind = packet_kind::answer;
        return made;
    }

    /// Lets \p time pass in steps in which everybody announces the roster.
    void pass(duration time)
    {
        actions.clear();
        const time_point end = now + time;
        while (now < end)
        {
            now = std::min(end, now + state.options.claim_interval);
            hear_all(view, {1});
            tick_roster(view, now);
            tick_submissions(state, context(), actions);
        }
    }

    static constexpr target_id target{77};
};

} // namespace kumquatpath::test

#endif
