#include "fleet_model.hpp"

#include <algorithm>
#include <cmath>
#include <memory>

namespace kumquatpath::bench
{
namespace
{

using std::chrono::milliseconds;

constexpr duration target_link = std::chrono::microseconds(500);
constexpr duration window_length = std::chrono::seconds(2);
constexpr duration opening_lifetime = milliseconds(1400);
constexpr duration copy_ages[] = {milliseconds(0), milliseconds(200), milliseconds(600)};
constexpr duration tick_interval = milliseconds(50);
constexpr duration beat_interval = milliseconds(400);
constexpr milliseconds longest_restart{400};
constexpr endpoint listener_address{.address = 0xc6120001, .port = 443};

const service_id served = id_of<service_id>("modelled");

data_centre_id centre_id(std::uint32_t centre)
{
    return {centre + 1};
}

} // namespace

fleet_model::fleet_model(const model_options& options)
    : options_(options), random_(options.seed)
{
    table_.routes.emplace(pack(listener_address),
                          route{.name = "modelled",
                                .services = {{.service = served}},
                                .latency_goal = std::chrono::duration_cast<milliseconds>(
                                    options.latency_goal)});
    for (std::uint32_t centre = 0; centre < options.data_centres; ++centre)
    {
        for (std::uint32_t i = 0; i < options.targets_each; ++i)
        {
            targets_.push_back({.centre = centre});
        }
        for (std::uint32_t i = 0; i < options.instances_each; ++i)
        {
            instances_.push_back({.centre = centre});
        }
    }
    for (std::uint32_t number = 0; number < instances_.size(); ++number)
    {
        start_instance(number);
    }
}

void fleet_model::start_instance(std::uint32_t number)
{
    instance& each = instances_[number];
    each.is_up = true;
    each.waiting = {};
    each.waiting_for.clear();
    each.state = make_entry_instance({.self = {number + 1},
                                      .local_data_centre = centre_id(each.centre),
                                      .incarnation = random_()});
    for (std::uint32_t i = 0; i < targets_.size(); ++i)
    {
        const target_record record{.key = {i + 1},
                                   .service = served,
                                   .address = {.address = i + 1, .port = 80},
                                   .data_centre = centre_id(targets_[i].centre),
                                   .slots = options_.slots};
        apply_change(each.state.directory,
                     {.key = record.key, .revision = {1}, .record = record},
                     events_.now());
    }
}

void fleet_model::play(duration length)
{
    ends_ = time_point(length);
    windows_.resize(static_cast<std::size_t>(length / window_length) + 1);
    for (std::uint32_t centre = 0; centre < options_.data_centres; ++centre)
    {
        arrive_regularly(centre);
    }
    tick_regularly();
    beat_regularly();
    events_.run_until(ends_ + options_.deadline);
}

void fleet_model::power_off_all(duration from, duration length)
{
    events_.at(time_point(from),
               [this]
               {
                   for (instance& each : instances_)
                   {
                       each.is_up = false;
                   }
               });
    for (std::uint32_t number = 0; number < instances_.size(); ++number)
    {
        const milliseconds restart(random_() %
                                   static_cast<std::uint64_t>(longest_restart.count()));
        events_.at(time_point(from + length + restart),
                   [this, number] { start_instance(number); });
    }
}

void fleet_model::cut_first(duration from, duration length)
{
    events_.at(time_point(from), [this, length] { cut_until_ = events_.now() + length; });
}

void fleet_model::crash_targets(duration from)
{
    events_.at(time_point(from),
               [this]
               {
                   for (std::size_t i = 0; i < targets_.size();
                        i += options_.targets_each)
                   {
                       targets_[i].is_dead = true;
                       targets_[i].queue.clear();
                   }
               });
}

void fleet_model::flood(duration from, duration length, double factor)
{
    events_.at(time_point(from), [this, factor] { factor_ = factor; });
    events_.at(time_point(from + length), [this] { factor_ = 1; });
}

const std::vector<window_counts>& fleet_model::windows() const
{
    return windows_;
}

double fleet_model::imbalance() const
{
    std::uint64_t sum = 0;
    std::uint64_t most = 0;
    for (const target& each : targets_)
    {
        sum += each.ran;
        most = std::max(most, each.ran);
    }
    return sum == 0 ? 0
                    : static_cast<double>(most) * static_cast<double>(targets_.size()) /
                          static_cast<double>(sum);
}

window_counts& fleet_model::window_of(const request& held)
{
    return windows_[static_cast<std::size_t>(held.begun.time_since_epoch() /
                                             window_length)];
}

void fleet_model::arrive_regularly(std::uint32_t centre)
{
    const double gap_s =
        std::exponential_distribution<double>(options_.rate_each * factor_)(random_);
    events_.after(from_milliseconds(1000 * gap_s),
                  [this, centre]
                  {
                      if (events_.now() >= ends_)
                      {
                          return;
                      }
                      const auto held = std::make_shared<request>(
                          request{.centre = centre, .begun = events_.now()});
                      ++window_of(*held).begun;
                      start_attempt(held);
                      arrive_regularly(centre);
                  });
    // The request fails at its deadline unless it was answered; see answered().
}

void fleet_model::start_attempt(const request_at& held)
{
    const std::uint64_t flow = next_flow_++;
    held->flow = flow;
    held->is_open = false;
    held->token = {};
    ++held->attempts;
    for (const duration age : copy_ages)
    {
        events_.after(age,
                      [this, held, flow, age]
                      {
                          if (held->flow == flow && !held->is_open && !held->is_over)
                          {
                              send(held,
                                   {.flow = {flow}, .is_opening = true, .age = age});
                          }
                      });
    }
    events_.after(opening_lifetime,
                  [this, held, flow]
                  {
                      if (!held->is_open)
                      {
                          attempt_failed(held, flow);
                      }
                  });
    if (held->attempts == 1)
    {
        events_.after(options_.deadline,
                      [this, held]
                      {
                          if (!held->is_over)
                          {
                              held->is_over = true;
                              ++window_of(*held).failed;
                          }
                      });
    }
}

void fleet_model::attempt_failed(const request_at& held, std::uint64_t flow)
{
    if (held->flow == flow && !held->is_over && held->attempts <= options_.retries)
    {
        start_attempt(held);
    }
}

void fleet_model::send(const request_at& held, flow_packet packet)
{
    packet.listener = listener_address;
    packet.caller = {.address = 1 + held->centre,
                     .port = static_cast<std::uint16_t>(packet.flow.value)};
    events_.after(
        caller_link,
        [this, held, packet]
        {
            std::vector<std::uint32_t> up;
            for (std::uint32_t number = 0; number < instances_.size(); ++number)
            {
                if (instances_[number].centre == held->centre && instances_[number].is_up)
                {
                    up.push_back(number);
                }
            }
            if (!up.empty())
            {
                receive(up[hash_pair(packet.flow.value, 7) % up.size()], held, packet);
            }
        });
}

std::uint32_t fleet_model::choose(const flow_packet& packet)
{
    const std::uint64_t number = options_.policy == placement_policy::hashed
                                     ? hash_pair(packet.flow.value, 11)
                                     : random_();
    return static_cast<std::uint32_t>(number % targets_.size());
}

void fleet_model::receive(std::uint32_t number, const request_at& held,
                          const flow_packet& packet)
{
    instance& by = instances_[number];
    if (packet.is_opening && options_.policy != placement_policy::steering)
    {
        pass_on(number, choose(packet), held, packet);
        return;
    }
    const steering_decision decision =
        steer(by.state.steering, table_, by.state.directory, packet, events_.now());
    if (decision.verdict == steering_verdict::wait)
    {
        add_opening(by.waiting, {.packet = packet,
                                 .first_sent_at = events_.now() - packet.age,
                                 .placement_deadline =
                                     events_.now() - packet.age + options_.latency_goal -
                                     from_milliseconds(options_.work_ms)});
        by.waiting_for[packet.flow.value] = held;
        return;
    }
    if (decision.verdict == steering_verdict::forward)
    {
        pass_on(number, decision.target, held, packet);
    }
    review_flows(by.state.steering, by.state.directory, events_.now());
    place_waiting(number);
}

void fleet_model::place_waiting(std::uint32_t number)
{
    instance& by = instances_[number];
    for (const queued_opening& each : take_expired(by.waiting, events_.now()))
    {
        const request_at held = by.waiting_for[each.packet.flow.value];
        const std::uint64_t flow = each.packet.flow.value;
        events_.after(caller_link, [this, held, flow] { attempt_failed(held, flow); });
        by.waiting_for.erase(flow);
    }
    while (const auto place = next_opening(by.waiting, {}, events_.now()))
    {
        const flow_packet packet = by.waiting.openings[*place].packet;
        const steering_decision decision =
            steer(by.state.steering, table_, by.state.directory, packet, events_.now());
        if (decision.verdict != steering_verdict::forward)
        {
            return;
        }
        take_opening(by.waiting, *place);
        pass_on(number, decision.target, by.waiting_for[packet.flow.value], packet);
        by.waiting_for.erase(packet.flow.value);
    }
}

void fleet_model::pass_on(std::uint32_t number, std::uint32_t to, const request_at& held,
                          const flow_packet& packet)
{
    const std::uint32_t from_centre = instances_[number].centre;
    const std::uint32_t to_centre = targets_[to].centre;
    const bool is_cut = events_.now() < cut_until_ && from_centre != to_centre &&
                        (from_centre == 0 || to_centre == 0);
    if (is_cut || targets_[to].is_dead)
    {
        return;
    }
    events_.after(target_link,
                  [this, to, held, packet]
                  {
                      if (packet.is_opening)
                      {
                          open_at(to, held, packet.flow.value);
                      }
                      else if (packet.has_payload)
                      {
                          work_at(to, held, packet.flow.value);
                      }
                  });
}

void fleet_model::tick_regularly()
{
    for (std::uint32_t number = 0; number < instances_.size(); ++number)
    {
        if (instances_[number].is_up)
        {
            tick(instances_[number].state, events_.now());
            place_waiting(number);
        }
    }
    if (events_.now() < ends_ + options_.deadline)
    {
        events_.after(tick_interval, [this] { tick_regularly(); });
    }
}

void fleet_model::beat_regularly()
{
    for (const instance& from : instances_)
    {
        for (instance& to : instances_)
        {
            if (from.is_up && to.is_up && &from != &to)
            {
                const fleet_heartbeat beat = make_heartbeat(from.state, events_.now());
                const auto sequence = static_cast<std::uint64_t>(
                    events_.now().time_since_epoch().count() + 1);
                handle_heartbeat(to.state,
                                 {.sender = from.state.fleet.self, .sequence = sequence},
                                 beat, events_.now());
            }
        }
    }
    if (events_.now() < ends_ + options_.deadline)
    {
        events_.after(beat_interval, [this] { beat_regularly(); });
    }
}

} // namespace kumquatpath::bench
