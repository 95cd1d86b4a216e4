/// \file
/// Compares many instances with a store that comes back from older copies of itself again
/// and again, while answers are late, doubled and lost, instances notice early, late or
/// by their peers only, restart and sleep, and targets start, drain, leave and crash.
///
/// KUMQUATPATH_RETURN_SEEDS sets the number of seeds, and KUMQUATPATH_RETURN_FIRST_SEED
/// the first one, to run a failing seed again.

#include "entry_fixture.hpp"

#include <kumquatpath/decision/held_back_entries.hpp>

#include <support/environment.hpp>

#include <cstdlib>
#include <map>
#include <random>
#include <string>

#include <CppUTest/TestHarness.h>

using namespace kumquatpath;
using namespace kumquatpath::test;
using namespace std::chrono_literals;

namespace
{

constexpr std::size_t instance_count = 5;
constexpr std::uint64_t key_count = 5;
constexpr int steps = 600;
constexpr std::uint64_t default_seeds = 500;
/// The store removes the entry of a target that is silent for this long.
constexpr duration lapse_time = std::chrono::milliseconds(3600);

/// What the store holds, and the changes that a watch can return.
struct stored_state
{
    std::uint64_t revision = 1;
    std::map<std::uint64_t, target_change> entries;
    std::map<std::uint64_t, target_change> changes;
    std::optional<evacuation_change> evacuation;
    std::map<std::uint64_t, evacuation_change> evacuation_changes;
    shared_configuration configuration;
    /// The changes up to this one can't be watched.
    std::uint64_t compacted = 0;
};

/// A process that announces itself.
struct running_target
{
    bool is_alive = false;
    bool is_draining = false;
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0;
    /// When a process that has ended was last heard.
    time_point heard_at;
};

struct message
{
    std::size_t receiver = 0;
    std::uint64_t incarnation = 0;
    state_update update;
    std::optional<shared_configuration> configuration;
};

struct simulated_instance
{
    entry_instance entry;
    std::uint64_t incarnation = 0;
    bool is_asleep = false;
    std::uint64_t newest_generation = 0;
    state_revision newest_position;
};

class returning_store_run
{
public:
    explicit returning_store_run(std::uint64_t seed) : seed_(seed), random_(seed)
    {
        write_configuration();
        copies_ = {store_};
        for (simulated_instance& each : instances_)
        {
            restart(each);
        }
    }

    /// Returns what went wrong, or nothing.
    std::string run()
    {
        for (int step = 0; step < steps && failure_.empty(); ++step)
        {
            take_step();
            check();
        }
        if (failure_.empty())
        {
            settle();
        }
        return failure_.empty() ? "" : "seed " + std::to_string(seed_) + ": " + failure_;
    }

private:
    std::uint64_t draw(std::uint64_t bound)
    {
        return std::uniform_int_distribution<std::uint64_t>(0, bound - 1)(random_);
    }

    state_revision next_revision()
    {
        return {++store_.revision, era_};
    }

    // What targets and operators write.

    void write_entry(std::uint64_t key)
    {
        running_target& target = targets_[key];
        target_change change = announcement(key, 0);
        change.revision = next_revision();
        change.record->is_draining = target.is_draining;
        change.record->incarnation = target.incarnation;
        change.record->sequence = ++target.sequence;
        store_.entries[key] = change;
        store_.changes[change.revision.value] = change;
    }

    void remove_entry(std::uint64_t key)
    {
        if (store_.entries.erase(key) > 0)
        {
            target_change change = departure(key, 0);
            change.revision = next_revision();
            store_.changes[change.revision.value] = change;
        }
    }

    void change_target(std::uint64_t key)
    {
        running_target& target = targets_[key];
        if (!target.is_alive)
        {
            target = {.is_alive = true, .incarnation = ++starts_};
            write_entry(key);
            return;
        }
        switch (draw(3))
        {
        case 0:
            target.is_draining = true;
            write_entry(key);
            break;
        case 1:
            target.is_alive = false;
            target.heard_at = now_;
            remove_entry(key);
            break;
        default:
            // It crashes, so its entry stands until it lapses.
            target.is_alive = false;
            target.heard_at = now_;
            break;
        }
    }

    void write_configuration()
    {
        auto table = std::make_shared<routing_table>(web_table());
        table->generation = {++generation_};
        put_configuration(std::move(table));
    }

    void put_configuration(std::shared_ptr<const routing_table> table)
    {
        if (table->generation >= generation{generation_})
        {
            newest_table_ = table;
        }
        const state_revision revision = next_revision();
        store_.configuration = {.revision = revision,
                                .written = revision,
                                .text = std::make_shared<const std::string>("text"),
                                .table = std::move(table)};
    }

    void write_evacuation()
    {
        const evacuation_change change{.data_centre = north,
                                       .name = "north",
                                       .revision = next_revision(),
                                       .is_withdrawn = !is_evacuated_};
        store_.evacuation_changes[change.revision.value] = change;
        store_.evacuation = is_evacuated_ ? std::optional(change) : std::nullopt;
    }

    /// Each writer finds that the store lacks what it wrote, and writes it again.
    void write_again()
    {
        for (auto& [key, target] : targets_)
        {
            const auto found = store_.entries.find(key);
            if (!target.is_alive)
            {
                if (now_ >= target.heard_at + lapse_time)
                {
                    remove_entry(key);
                }
                continue;
            }
            const bool stands = found != store_.entries.end() &&
                                found->second.record->incarnation == target.incarnation &&
                                found->second.record->is_draining == target.is_draining;
            if (!stands)
            {
                write_entry(key);
            }
        }
        if (store_.configuration.table->generation < newest_table_->generation)
        {
            // The lost ones are written again one after the other.
            auto next = std::make_shared<routing_table>(web_table());
            next->generation = {store_.configuration.table->generation.value + 1};
            put_configuration(std::move(next));
        }
        if (store_.evacuation.has_value() != is_evacuated_)
        {
            write_evacuation();
        }
    }

    void return_from_copy()
    {
        ++era_.value;
        store_ = copies_[draw(copies_.size())];
        store_.compacted = store_.revision;
        copies_ = {store_};
        // Targets that ended in between were last heard by the copy.
        for (auto& [key, target] : targets_)
        {
            target.heard_at = target.is_alive ? target.heard_at : now_;
        }
        returned_at_ = now_;
    }

    // How instances hear of it.

    void restart(simulated_instance& instance)
    {
        const auto number = static_cast<std::uint32_t>(&instance - instances_.data()) + 1;
        const std::uint64_t incarnation = instance.incarnation + 1;
        instance = {.entry = make_entry_instance({.self = {number},
                                                  .local_data_centre = north,
                                                  .incarnation = incarnation,
                                                  .has_lasting_generations = true}),
                    .incarnation = incarnation};
    }

    message listing(std::size_t receiver) const
    {
        const state_revision position{store_.revision, era_};
        message whole{.receiver = receiver,
                      .incarnation = instances_[receiver].incarnation,
                      .update = {.position = position,
                                 .complete_from = position,
                                 .is_whole = true}};
        for (const auto& [key, change] : store_.entries)
        {
            whole.update.targets.push_back(change);
            whole.update.targets.back().revision.era = era_;
        }
        if (store_.evacuation)
        {
            whole.update.evacuations.push_back(*store_.evacuation);
            whole.update.evacuations.back().revision.era = era_;
        }
        whole.configuration = store_.configuration;
        whole.configuration->revision.era = era_;
        whole.configuration->written.era = era_;
        return whole;
    }

    void read_store(std::size_t reader)
    {
        const state_revision position = instances_[reader].entry.directory.position;
        if (position.era != era_ || position.value < store_.compacted)
        {
            in_flight_.push_back(listing(reader));
            return;
        }
        message changes{
            .receiver = reader,
            .incarnation = instances_[reader].incarnation,
            .update = {.position = {store_.revision, era_}, .complete_from = position}};
        for (const auto& [revision, change] : store_.changes)
        {
            if (revision > position.value)
            {
                changes.update.targets.push_back(change);
            }
        }
        for (const auto& [revision, change] : store_.evacuation_changes)
        {
            if (revision > position.value)
            {
                changes.update.evacuations.push_back(change);
            }
        }
        if (store_.configuration.revision > position)
        {
            changes.configuration = store_.configuration;
        }
        in_flight_.push_back(std::move(changes));
    }

    void ask(std::size_t asker, std::size_t peer)
    {
        const entry_instance& from = instances_[peer].entry;
        const entry_instance& to = instances_[asker].entry;
        const state_request request{.position = to.directory.position,
                                    .configuration = version_of_configuration(to)};
        const state_reply reply = make_state_reply(from, request, now_);
        message answer{.receiver = asker,
                       .incarnation = instances_[asker].incarnation,
                       .update = reply.update};
        if (!reply.configuration_text.empty())
        {
            answer.configuration = from.configuration;
            answer.configuration->written = reply.written;
        }
        in_flight_.push_back(std::move(answer));
    }

    void deliver(const message& delivered)
    {
        simulated_instance& receiver = instances_[delivered.receiver];
        if (!receiver.is_asleep && receiver.incarnation == delivered.incarnation)
        {
            const auto& configuration = delivered.configuration;
            apply_shared_state(receiver.entry, configuration ? &*configuration : nullptr,
                               delivered.update, now_);
        }
    }

    void let_time_pass(duration time)
    {
        now_ += time;
        for (simulated_instance& each : instances_)
        {
            if (!each.is_asleep)
            {
                use_held_back_state(each.entry, now_);
                remove_gone_targets(each.entry.directory, now_);
            }
        }
        // What was lost is written again soon.
        if (now_ >= returned_at_ + 1s)
        {
            write_again();
        }
    }

    void take_step()
    {
        const std::size_t instance = draw(instance_count);
        simulated_instance& chosen = instances_[instance];
        switch (draw(13))
        {
        case 0:
        case 1:
            change_target(1 + draw(key_count));
            break;
        case 2:
            write_configuration();
            break;
        case 3:
            is_evacuated_ = !is_evacuated_;
            write_evacuation();
            break;
        case 4:
            let_time_pass(std::chrono::milliseconds(draw(2500)));
            break;
        case 5:
        case 6:
            if (!chosen.is_asleep)
            {
                read_store(instance);
            }
            break;
        case 7:
        case 8:
            if (!chosen.is_asleep)
            {
                ask(instance, draw(instance_count));
            }
            break;
        case 9:
            chosen.is_asleep = draw(4) == 0;
            break;
        case 10:
            take_rare_step(chosen);
            break;
        default:
            deliver_any();
            break;
        }
    }

    void take_rare_step(simulated_instance& chosen)
    {
        switch (draw(4))
        {
        case 0:
            restart(chosen);
            break;
        case 1:
            return_from_copy();
            break;
        default:
            copies_.push_back(store_);
            break;
        }
    }

    void deliver_any()
    {
        if (in_flight_.empty())
        {
            return;
        }
        const std::size_t index = draw(in_flight_.size());
        const message delivered = in_flight_[index];
        if (draw(6) != 0)
        {
            in_flight_.erase(in_flight_.begin() + static_cast<std::ptrdiff_t>(index));
        }
        deliver(delivered);
    }

    // What must hold.

    void fail(const std::string& what, std::size_t instance, std::uint64_t key)
    {
        if (!failure_.empty())
        {
            return;
        }
        failure_ = what + ", instance " + std::to_string(instance + 1) + ", target " +
                   std::to_string(key);
    }

    /// Neither the position nor the configuration of an instance goes back.
    void check()
    {
        for (std::size_t i = 0; i < instances_.size(); ++i)
        {
            simulated_instance& each = instances_[i];
            const auto& table = each.entry.configuration.table;
            const std::uint64_t generation = table ? table->generation.value : 0;
            if (generation < each.newest_generation)
            {
                fail("an older configuration came into force", i, 0);
            }
            if (each.entry.directory.position < each.newest_position)
            {
                fail("the position went back", i, 0);
            }
            each.newest_generation = generation;
            each.newest_position = each.entry.directory.position;
        }
    }

    /// Once everything is written again and the delay is over, all instances decide as
    /// one that starts then.
    void settle()
    {
        for (simulated_instance& each : instances_)
        {
            each.is_asleep = false;
        }
        let_time_pass(lapse_time);
        let_time_pass(lapse_time);
        while (store_.configuration.table->generation < newest_table_->generation)
        {
            write_again();
        }
        for (std::size_t i = 0; i < instances_.size(); ++i)
        {
            if (i % 2 == 0)
            {
                in_flight_.clear();
                read_store(i);
                deliver(in_flight_.back());
            }
            else
            {
                in_flight_.clear();
                ask(i, i - 1);
                deliver(in_flight_.back());
            }
        }
        let_time_pass(copied_entry_delay);
        restart(instances_.back());
        deliver(listing(instances_.size() - 1));
        for (std::size_t i = 0; i < instances_.size(); ++i)
        {
            check_settled(i);
        }
    }

    void check_settled(std::size_t index)
    {
        const entry_instance& entry = instances_[index].entry;
        if (entry.configuration.table->generation != newest_table_->generation)
        {
            fail("the newest configuration is not in force", index, 0);
        }
        if (is_evacuated(entry.evacuations, north) != is_evacuated_)
        {
            fail("the evacuation differs from the store", index, 0);
        }
        for (std::uint64_t key = 1; key <= key_count; ++key)
        {
            const auto stored = store_.entries.find(key);
            const bool is_to_be_used = stored != store_.entries.end() &&
                                       !stored->second.record->is_draining &&
                                       !is_evacuated_;
            const auto found = entry.directory.by_entry.find(key);
            const bool is_used =
                found != entry.directory.by_entry.end() &&
                takes_new_flows(entry.directory.targets[found->second], now_);
            if (is_used != is_to_be_used)
            {
                fail(is_used ? "a target is used that the store lacks"
                             : "a target of the store is not used",
                     index, key);
            }
        }
    }

    std::uint64_t seed_;
    std::mt19937_64 random_;
    time_point now_{100s};
    store_era era_{1};
    stored_state store_;
    std::vector<stored_state> copies_;
    time_point returned_at_;
    std::map<std::uint64_t, running_target> targets_;
    std::uint64_t starts_ = 0;
    std::uint64_t generation_ = 0;
    std::shared_ptr<const routing_table> newest_table_;
    bool is_evacuated_ = false;
    std::vector<simulated_instance> instances_{instance_count};
    std::vector<message> in_flight_;
    std::string failure_;
};

} // namespace

TEST_GROUP(store_return_convergence){};

// Guards against instances that differ from each other or from the store after it has
// come back from a copy.
TEST(store_return_convergence, all_instances_follow_the_store_over_many_eras)
{
    const std::uint64_t first =
        number_from_environment("KUMQUATPATH_RETURN_FIRST_SEED", 1);
    const std::uint64_t count =
        number_from_environment("KUMQUATPATH_RETURN_SEEDS", default_seeds);
    for (std::uint64_t seed = first; seed < first + count; ++seed)
    {
        const std::string failure = returning_store_run(seed).run();
        STRCMP_EQUAL("", failure.c_str());
    }
}
