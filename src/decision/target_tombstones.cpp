#include <kumquatpath/decision/target_tombstones.hpp>

#include <algorithm>

namespace kumquatpath
{

void record_forgotten(target_directory& directory, state_revision revision)
{
    directory.complete_from = std::max(directory.complete_from, revision);
}

void record_tombstone(target_directory& directory, const target_tombstone& departure)
{
    const std::uint64_t identity = identity_of(departure.key, departure.entry);
    const auto found = directory.tombstones.find(identity);
    if (found != directory.tombstones.end())
    {
        if (found->second.revision < departure.revision)
        {
            found->second = departure;
        }
        return;
    }
    if (directory.tombstones.size() >= max_tombstones)
    {
        record_forgotten(directory, departure.revision);
        return;
    }
    directory.tombstones[identity] = departure;
}

target_tombstone take_tombstone(target_directory& directory, target_key key,
                                entry_id entry)
{
    const auto found = directory.tombstones.find(identity_of(key, entry));
    if (found == directory.tombstones.end())
    {
        return {};
    }
    const target_tombstone departure = found->second;
    directory.tombstones.erase(found);
    return departure;
}

void remove_tombstones(target_directory& directory, time_point now)
{
    boost::unordered::erase_if(directory.tombstones,
                               [&](const auto& each)
                               {
                                   const target_tombstone& tombstone = each.second;
                                   // A departure beyond the position is not implied by
                                   // the position yet.
                                   if (tombstone.revision > directory.position ||
                                       now <
                                           tombstone.recorded_at + gone_target_retention)
                                   {
                                       return false;
                                   }
                                   record_forgotten(directory, tombstone.revision);
                                   return true;
                               });
}

} // namespace kumquatpath
