#include "target_announcement.hpp"

#include "token_claims.hpp"

#include <kumquatpath/decision/address_claims.hpp>

#include <algorithm>

namespace kumquatpath
{
namespace
{

/// Returns whether \p announced, which replaces \p known, is from a later start of the
/// target. Without incarnations, a longer warm-up than before tells a later start.
bool is_later_start(const target_record& known, const target_record& announced)
{
    return announced.incarnation != known.incarnation ||
           (announced.incarnation == 0 && announced.warm_up_left > known.warm_up_left);
}

/// Updates the warm-up of \p target, whose record is not updated yet. An announcement
/// that arrives late ends the warm-up late, never early.
void record_warm_up(target_directory& directory, known_target& target,
                    const target_record& announced, time_point now)
{
    const duration left = std::min<duration>(announced.warm_up_left, max_warm_up);
    directory.warm_ups_shortened += left < announced.warm_up_left ? 1U : 0U;
    const bool is_first = target.revision == state_revision{};
    if (is_first || is_later_start(target.record, announced))
    {
        target.warm_up_since = now;
        target.warm_up_until = now + left;
        return;
    }
    target.warm_up_until = std::min(target.warm_up_until, now + left);
}

void move_to_service(target_directory& directory, target_index index, service_id service)
{
    const service_id old = directory.targets[index].record.service;
    if (old != service)
    {
        remove_from_service(directory, old, index);
        directory.by_service[service].push_back(index);
    }
}

} // namespace

void remove_from_service(target_directory& directory, service_id service,
                         target_index index)
{
    const auto found = directory.by_service.find(service);
    if (found == directory.by_service.end())
    {
        return;
    }
    std::erase(found->second, index);
    if (found->second.empty())
    {
        directory.by_service.erase(found);
    }
}

void announce(target_directory& directory, target_index index,
              const target_change& change, time_point now)
{
    move_to_service(directory, index, change.record->service);
    known_target& target = directory.targets[index];
    record_warm_up(directory, target, *change.record, now);
    if (target.record.address != change.record->address)
    {
        release_address(directory, index);
    }
    target.record = *change.record;
    target.revision = change.revision;
    target.announced_revision = change.revision;
    target.is_announcement_older = change.is_gone;
    target.is_announced = true;
    target.is_unusable = false;
    target.set_aside.reset();
    target.held_back.reset();
    claim_address(directory, index);
}

void review_claims(target_directory& directory, target_index index)
{
    review_token(directory, index);
    review_address(directory, index);
}

} // namespace kumquatpath
