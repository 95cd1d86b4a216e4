#ifndef KUMQUATPATH_BENCH_BALANCE_FLEET_HPP
#define KUMQUATPATH_BENCH_BALANCE_FLEET_HPP

/// \file
/// The small fleet of the balance bench: instances that choose a target for each new
/// flow, and targets in virtual time of which one may lie, be cold, fall silent or shed.

#include "event_queue.hpp"
#include "target_model.hpp"

#include <kumquatpath/decision/placement.hpp>
#include <kumquatpath/decision/target_load.hpp>

#include <algorithm>
#include <memory>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace kumquatpath::bench
{

using namespace std::chrono_literals;

inline constexpr std::size_t instance_count = 8;
inline constexpr std::size_t servers_per_target = 3;
inline constexpr duration target_delay = 500us;
inline constexpr double load_part = 0.7;
inline constexpr duration report_every = 500ms;
inline constexpr duration change_at = 10s;
inline constexpr duration run_length = 40s;
inline constexpr duration bin = 500ms;
inline constexpr duration warm_up = 20s;
inline constexpr double cold_speed = 0.2;
/// The target that the scenario changes.
inline constexpr std::size_t odd_target = 3;

/// How the instances choose.
enum class choice_policy
{
    random,
    least_reported,
    slots_only,
    evidence,
};

/// What is odd about one target.
enum class fault
{
    none,
    lies,
    reports_late,
    joins_cold,
    falls_silent,
    sheds,
};

/// One run: the targets, their work, and the fault.
struct scenario
{
    std::string name;
    fault odd = fault::none;
    std::size_t targets = 14;
    duration mean_work = 4ms;
    duration deadline = 500ms;
};

/// One flow: where it went, and whether it was answered in time.
struct flow_record
{
    time_point sent;
    std::size_t target = 0;
    duration work{0};
    bool deviates = false;
    bool is_answered = false;
};

/// A fleet of instances that each choose targets for the flows they receive.
class balance_fleet
{
public:
    balance_fleet(choice_policy policy, const scenario& shape, std::uint64_t seed)
        : policy_(policy), shape_(shape), random_(seed), reports_(shape.targets, 0)
    {
        for (std::size_t i = 0; i < shape.targets; ++i)
        {
            models_.push_back(std::make_unique<target_model>(events_, target_options{}));
        }
        for (std::size_t i = 0; i < instance_count; ++i)
        {
            instances_.push_back({.random = {.seed = mix(seed, i)}});
        }
        activate(shape.odd == fault::joins_cold ? odd_target : shape.targets);
        events_.after(change_at, [this] { change(); });
        events_.after(report_every, [this] { take_reports(); });
        next_arrival();
    }

    void run()
    {
        events_.run_until(time_point(run_length));
    }

    const scenario& shape() const
    {
        return shape_;
    }

    const std::vector<flow_record>& flows() const
    {
        return flows_;
    }

private:
    struct instance
    {
        target_health health;
        random_source random;
    };

    /// Activates every target but \p left_out.
    void activate(std::size_t left_out)
    {
        active_.clear();
        for (std::uint32_t i = 0; i < shape_.targets; ++i)
        {
            if (i != left_out)
            {
                active_.push_back({i + 1});
            }
        }
        placed_ = place_slots(active_, slot_count_for(shape_.targets));
        for (instance& each : instances_)
        {
            targets_are(each.health, active_, events_.now());
        }
    }

    void change()
    {
        if (shape_.odd == fault::joins_cold)
        {
            models_[odd_target] = std::make_unique<target_model>(
                events_, target_options{.cold_speed = cold_speed,
                                        .warm_up = warm_up,
                                        .started = events_.now()});
            activate(shape_.targets);
        }
        if (shape_.odd == fault::falls_silent)
        {
            models_[odd_target]->behave(target_behaviour::silent);
        }
        if (shape_.odd == fault::sheds)
        {
            models_[odd_target]->behave(target_behaviour::sheds_all);
        }
    }

    void take_reports()
    {
        events_.after(report_every, [this] { take_reports(); });
        std::vector<double> loads;
        for (std::size_t i = 0; i < shape_.targets; ++i)
        {
            const bool lies = shape_.odd == fault::lies && i == odd_target;
            loads.push_back(lies ? 0 : static_cast<double>(models_[i]->load()));
        }
        const duration late =
            shape_.odd == fault::reports_late ? duration(2s) : duration(50ms);
        events_.after(late, [this, loads] { spread_reports(loads); });
    }

    void spread_reports(const std::vector<double>& loads)
    {
        reports_ = loads;
        for (instance& each : instances_)
        {
            for (const target_id target : active_)
            {
                note_report(each.health, target, loads[target.value - 1], events_.now());
            }
        }
    }

    void next_arrival()
    {
        const double servers = static_cast<double>(shape_.targets) * servers_per_target;
        const double rate =
            load_part * servers / std::chrono::duration<double>(shape_.mean_work).count();
        const std::chrono::duration<double> gap(
            std::exponential_distribution<double>(rate)(random_));
        events_.after(std::chrono::duration_cast<duration>(gap),
                      [this]
                      {
                          arrive();
                          next_arrival();
                      });
    }

    target_choice choose(instance& at, flow_id flow, std::uint64_t drawn)
    {
        const auto slots = static_cast<std::uint32_t>(placed_.size());
        const target_id slot_target = placed_[slot_of(flow, slots).value];
        switch (policy_)
        {
        case choice_policy::random:
            return {.target = active_[drawn % active_.size()], .deviates = true};
        case choice_policy::least_reported:
            return {.target = *std::ranges::min_element(
                        active_, {},
                        [this](target_id each) { return reports_[each.value - 1]; }),
                    .deviates = true};
        case choice_policy::slots_only:
            return {.target = slot_target};
        case choice_policy::evidence:
            break;
        }
        return choose_target(
            at.health, at.random,
            {.active = active_, .slot_target = slot_target, .is_repeatable = true},
            events_.now());
    }

    void arrive()
    {
        const flow_id flow{random_()};
        const std::uint64_t drawn = random_();
        const std::size_t at = random_() % instance_count;
        const double mean = std::chrono::duration<double>(shape_.mean_work).count();
        const std::chrono::duration<double> work(
            std::gamma_distribution<double>(4, mean / 4)(random_));
        const target_choice choice = choose(instances_[at], flow, drawn);
        flows_.push_back({.sent = events_.now(),
                          .target = choice.target.value - 1,
                          .work = std::chrono::duration_cast<duration>(work),
                          .deviates = choice.deviates});
        note_sent(instances_[at].health, choice.target, choice.is_probe, events_.now());
        send(at, flows_.size() - 1);
    }

    void send(std::size_t at, std::size_t flow)
    {
        const auto open = std::make_shared<bool>(true);
        events_.after(shape_.deadline,
                      [this, at, flow, open]
                      {
                          if (std::exchange(*open, false))
                          {
                              note_abandoned(instances_[at].health, id_of_flow(flow),
                                             events_.now());
                          }
                      });
        const auto ended = [this, at, flow, open](job_end end)
        {
            events_.after(target_delay,
                          [this, at, flow, open, end]
                          {
                              if (std::exchange(*open, false))
                              {
                                  end_flow(at, flow, end);
                              }
                          });
        };
        events_.after(target_delay,
                      [this, flow, ended]
                      {
                          const flow_record& sent = flows_[flow];
                          models_[sent.target]->submit(
                              {.work = sent.work,
                               .deadline = sent.sent + shape_.deadline,
                               .ended = ended});
                      });
    }

    target_id id_of_flow(std::size_t flow) const
    {
        return {static_cast<std::uint32_t>(flows_[flow].target + 1)};
    }

    void end_flow(std::size_t at, std::size_t flow, job_end end)
    {
        target_health& health = instances_[at].health;
        if (end == job_end::shed)
        {
            note_refusal(health, id_of_flow(flow), events_.now());
            return;
        }
        flows_[flow].is_answered = true;
        note_answer(health, id_of_flow(flow), events_.now() - flows_[flow].sent,
                    events_.now());
    }

    choice_policy policy_;
    scenario shape_;
    event_queue events_;
    std::mt19937_64 random_;
    std::vector<std::unique_ptr<target_model>> models_;
    std::vector<instance> instances_;
    std::vector<target_id> active_;
    std::vector<target_id> placed_;
    std::vector<double> reports_;
    std::vector<flow_record> flows_;
};

} // namespace kumquatpath::bench

#endif
