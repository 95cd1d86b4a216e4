#include "platform_duty.hpp"

#include <kumquatpath/edge/log.hpp>
#include <kumquatpath/model/configuration_envelope.hpp>

#include <boost/leaf/handle_errors.hpp>

#include <algorithm>
#include <thread>

namespace kumquatpath
{
namespace
{

namespace leaf = boost::leaf;
using std::chrono::milliseconds;

constexpr milliseconds watch_span{2000};
constexpr milliseconds shortest_retry_pause{250};
constexpr milliseconds longest_retry_pause{10000};
constexpr milliseconds newcomer_poll_interval{1000};
constexpr milliseconds list_interval{5000};
constexpr milliseconds pause_step{50};
constexpr std::size_t inbox_capacity = 64;

member_digest to_digest(const platform_instance& listed)
{
    return {.instance = id_of<instance_id>(listed.name),
            .data_centre = id_of<data_centre_id>(listed.data_centre),
            .address = listed.address};
}

} // namespace

platform_duty::platform_duty(key_value_store& store,
                             std::function<void(packet_message)> output,
                             std::uint32_t seed)
    : store_(store), output_(std::move(output)), inbox_(inbox_capacity), random_(seed)
{
}

void platform_duty::handle(const platform_message& message)
{
    inbox_.push(message);
}

void platform_duty::stop()
{
    is_stopping_ = true;
}

void platform_duty::run()
{
    while (!is_stopping_)
    {
        inbox_.drain([this](const platform_message& each)
                     { role_ = std::get<reader_role>(each); });
        read_configuration();
        read_instances();
        if (retry_pause_.count() > 0)
        {
            pause(jittered(retry_pause_));
            continue;
        }
        const bool is_newcomer = role_.in_force == generation{};
        if (is_newcomer)
        {
            pause(jittered(newcomer_poll_interval));
        }
        else if (!role_.is_reader)
        {
            pause(jittered(role_.poll_interval));
        }
    }
}

void platform_duty::read_configuration()
{
    leaf::try_handle_all(
        [&]() -> leaf::result<void>
        {
            if (role_.is_reader && known_ != revision{})
            {
                BOOST_LEAF_AUTO(newer,
                                store_.read_newer(configuration_key, known_, watch_span));
                if (newer)
                {
                    take(*newer);
                }
            }
            else
            {
                BOOST_LEAF_AUTO(value, store_.read(configuration_key));
                take(value);
            }
            note_success();
            return {};
        },
        // No configuration was submitted yet; the platform is well.
        [&](const store_not_found&) { note_success(); }, [&] { note_failure(); });
}

void platform_duty::take(const stored_value& value)
{
    if (value.revision == known_)
    {
        return;
    }
    known_ = value.revision;
    leaf::try_handle_all(
        [&]() -> leaf::result<void>
        {
            BOOST_LEAF_AUTO(whole, read_envelope(value.value));
            output_(checked_envelope{
                .whole = std::make_shared<const configuration>(std::move(whole)),
                .text = std::make_shared<const std::string>(value.value)});
            return {};
        },
        [&]
        {
            log(log_level::error, "configuration_refused",
                {{"from", "platform"}, {"revision", value.revision.value}});
        });
}

void platform_duty::read_instances()
{
    const auto now = std::chrono::steady_clock::now();
    if (is_away_ || now < next_list_)
    {
        return;
    }
    next_list_ = now + std::max(list_interval,
                                role_.is_reader ? list_interval : role_.poll_interval);
    leaf::try_handle_all(
        [&]() -> leaf::result<void>
        {
            BOOST_LEAF_AUTO(instances, store_.instances());
            members_listed listed;
            std::ranges::transform(instances, std::back_inserter(listed.members),
                                   to_digest);
            output_(std::move(listed));
            return {};
        },
        [&] { note_failure(); });
}

void platform_duty::pause(milliseconds span)
{
    while (span.count() > 0 && !is_stopping_)
    {
        const milliseconds step = std::min(span, pause_step);
        std::this_thread::sleep_for(step);
        span -= step;
    }
}

void platform_duty::note_success()
{
    if (is_away_)
    {
        log(log_level::info, "platform_back");
    }
    is_away_ = false;
    retry_pause_ = milliseconds{0};
}

void platform_duty::note_failure()
{
    if (!is_away_)
    {
        log(log_level::warning, "platform_away");
    }
    is_away_ = true;
    retry_pause_ =
        std::clamp(retry_pause_ * 2, shortest_retry_pause, longest_retry_pause);
}

milliseconds platform_duty::jittered(milliseconds span)
{
    const auto half = std::max<std::int64_t>(span.count() / 2, 1);
    return milliseconds(half + static_cast<std::int64_t>(random_()) % half);
}

} // namespace kumquatpath
