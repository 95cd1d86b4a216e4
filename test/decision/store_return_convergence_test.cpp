/// \file
/// Compares many instances with a store that comes back from older copies of itself again
/// and again, while answers are late, doubled and lost, instances notice early, late or
/// by their peers only, restart and sleep, and targets start, drain, leave and crash.
///
/// KUMQUATPATH_RETURN_SEEDS sets the number of seeds, and KUMQUATPATH_RETURN_FIRST_SEED
/// the first one, to run a failing seed again.

#include "returning_store.hpp"

#include <kumquatpath/decision/held_back_entries.hpp>

#include <support/environment.hpp>

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
        store_.write_configuration();
        store_.copies = {store_.state};
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

    message message_to(std::size_t receiver, state_update update) const
    {
        return {.receiver = receiver,
                .incarnation = instances_[receiver].incarnation,
                .update = std::move(update)};
    }

    message listing(std::size_t receiver) const
    {
        message whole = message_to(receiver, store_.listing());
        whole.configuration = store_.listed_configuration();
        return whole;
    }

    void read_store(std::size_t reader)
    {
        const state_revision position = instances_[reader].entry.directory.position;
        if (!store_.can_be_watched_from(position))
        {
            in_flight_.push_back(listing(reader));
            return;
        }
        message changes = message_to(reader, store_.changes_since(position));
        if (store_.state.configuration.revision > position)
        {
            changes.configuration = store_.state.configuration;
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
        if (now_ >= store_.returned_at + 1s)
        {
            store_.write_again(now_);
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
            store_.change_target(1 + draw(key_count), static_cast<target_event>(draw(3)),
                                 now_);
            break;
        case 2:
            store_.write_configuration();
            break;
        case 3:
            store_.is_evacuated = !store_.is_evacuated;
            store_.write_evacuation();
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
            store_.return_from_copy(draw(store_.copies.size()), now_);
            break;
        default:
            store_.copies.push_back(store_.state);
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
        while (store_.state.configuration.table->generation <
               store_.newest_table->generation)
        {
            store_.write_again(now_);
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
        if (entry.configuration.table->generation != store_.newest_table->generation)
        {
            fail("the newest configuration is not in force", index, 0);
        }
        if (is_evacuated(entry.evacuations, north) != store_.is_evacuated)
        {
            fail("the evacuation differs from the store", index, 0);
        }
        for (std::uint64_t key = 1; key <= key_count; ++key)
        {
            const auto stored = store_.state.entries.find(key);
            const bool is_to_be_used = stored != store_.state.entries.end() &&
                                       !stored->second.record->is_draining &&
                                       !store_.is_evacuated;
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
    returning_store store_;
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
