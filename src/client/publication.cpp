#include "client/publication.hpp"

#include <boost/leaf/handle_errors.hpp>

#include <iomanip>
#include <sstream>
#include <utility>

namespace kumquatpath
{
namespace
{

namespace json = boost::json;
namespace leaf = boost::leaf;

/// The number of attempts at a submission, and at each write to the history. A submission
/// is attempted again after a conflict or a lost response, a write to the history only
/// after a lost response.
constexpr std::size_t max_attempts = 8;

/// The outcomes of a write after which publish() continues.
enum class write_outcome
{
    done,
    conflict,
    response_lost,
};

/// Writes once. Maps a conflict, a timeout and a malformed response to their outcomes;
/// every other failure is returned. After a timeout or a malformed response, the write
/// may have taken effect or may still do so.
leaf::result<write_outcome> try_write(key_value_store& store,
                                      const write_request& request)
{
    return leaf::try_handle_some(
        [&]() -> leaf::result<write_outcome>
        {
            BOOST_LEAF_CHECK(store.write(request));
            return write_outcome::done;
        },
        [](const store_conflict&) -> leaf::result<write_outcome>
        { return write_outcome::conflict; },
        [](const store_timeout&) -> leaf::result<write_outcome>
        { return write_outcome::response_lost; },
        [](const store_malformed_answer&) -> leaf::result<write_outcome>
        { return write_outcome::response_lost; });
}

void pause_before(std::size_t attempt, const pause_function& pause)
{
    if (attempt > 0 && pause)
    {
        pause(attempt);
    }
}

/// Copies the configuration in force into the history. Each key of the history only ever
/// gets the configuration that was in force under that generation. A repeated write is
/// therefore harmless, and a conflict means that the copy exists already.
leaf::result<void> archive(key_value_store& store, const configuration_envelope& current,
                           const pause_function& pause)
{
    BOOST_LEAF_AUTO(text, write_envelope(current));
    for (std::size_t attempt = 0; attempt < max_attempts; ++attempt)
    {
        pause_before(attempt, pause);
        BOOST_LEAF_AUTO(outcome, try_write(store, {.key = history_key(current.generation),
                                                   .value = text}));
        if (outcome != write_outcome::response_lost)
        {
            return {};
        }
    }
    return leaf::new_error(store_timeout{});
}

/// Deletes the generation that is now too old for the history. Failures are ignored, as
/// they only leave one extra value in the store.
void prune(key_value_store& store, generation published)
{
    if (published.value <= max_archived_generations)
    {
        return;
    }
    const std::string key = history_key({published.value - max_archived_generations});
    leaf::try_handle_all(
        [&]() -> leaf::result<void>
        {
            BOOST_LEAF_AUTO(value, store.read(key));
            return store.erase(key, value.revision);
        },
        [] {});
}

/// A write whose response was lost.
struct unconfirmed_write
{
    kumquatpath::generation generation;
    /// The revision that the write replaces; 0 if there was no configuration.
    revision expected;
};

/// Carries out one call of publish().
class publisher
{
public:
    publisher(key_value_store& store, const edit_options& edit, wall_time now)
        : store_(store), edit_(edit), now_(now)
    {
    }

    leaf::result<publication> run()
    {
        for (std::size_t attempt = 0; attempt < max_attempts; ++attempt)
        {
            pause_before(attempt, edit_.pause);
            BOOST_LEAF_AUTO(result, attempt_once());
            if (result)
            {
                return *result;
            }
        }
        if (unconfirmed_write_)
        {
            return leaf::new_error(outcome_unknown{edit_.submission});
        }
        return leaf::new_error(too_many_attempts{max_attempts});
    }

    /// Returns whether a write whose response was lost may have taken effect or may still
    /// do so.
    bool has_unconfirmed_write() const
    {
        return unconfirmed_write_.has_value();
    }

private:
    using attempt_result = leaf::result<std::optional<publication>>;

    /// Reads, merges and writes once. Returns nothing if another attempt is needed.
    attempt_result attempt_once()
    {
        BOOST_LEAF_AUTO(current, read_current(store_));
        if (unconfirmed_write_)
        {
            BOOST_LEAF_AUTO(found, read_back(current));
            if (found)
            {
                return found;
            }
        }
        BOOST_LEAF_AUTO(document, merged_with(current));
        if (current && document == current->envelope.document)
        {
            return std::optional(
                publication{.published = current->envelope.generation, .is_new = false});
        }
        const configuration_envelope* const previous =
            current ? &current->envelope : nullptr;
        BOOST_LEAF_AUTO(next, next_envelope(previous,
                                            {.document = std::move(document),
                                             .submission = edit_.submission,
                                             .author = edit_.author,
                                             .may_cut_flows = edit_.may_cut_flows},
                                            now_));
        return write(current, next);
    }

    leaf::result<json::value>
    merged_with(const std::optional<current_configuration>& current)
    {
        if (!current)
        {
            return edit_.edited;
        }
        was_merged_ = !(current->envelope.document == edit_.base);
        return leaf::try_handle_some(
            [&] {
                return merge_documents(edit_.base, edit_.edited,
                                       current->envelope.document);
            },
            [&](merge_conflict& conflict) -> leaf::result<json::value>
            {
                return leaf::new_error(
                    edit_conflict{.in_force = current->envelope.generation,
                                  .author = current->envelope.author,
                                  .objects = std::move(conflict.objects)});
            });
    }

    attempt_result write(const std::optional<current_configuration>& current,
                         const configuration_envelope& next)
    {
        if (current)
        {
            BOOST_LEAF_CHECK(archive(store_, current->envelope, edit_.pause));
        }
        BOOST_LEAF_AUTO(text, write_envelope(next));
        BOOST_LEAF_AUTO(
            outcome,
            try_write(store_, {.key = std::string(configuration_key),
                               .value = std::move(text),
                               .expected = current ? current->revision : revision{}}));
        if (outcome == write_outcome::response_lost)
        {
            unconfirmed_write_ =
                unconfirmed_write{.generation = next.generation,
                                  .expected = current ? current->revision : revision{}};
        }
        if (outcome != write_outcome::done)
        {
            return std::optional<publication>();
        }
        return finish(next.generation, false);
    }

    std::optional<publication> finish(generation number, bool was_read_back)
    {
        prune(store_, number);
        return publication{.published = number,
                           .was_merged = was_merged_,
                           .was_read_back = was_read_back};
    }

    /// Returns the publication if the write whose response was lost took effect, and
    /// nothing if another attempt is needed.
    attempt_result read_back(const std::optional<current_configuration>& current)
    {
        const revision current_revision = current ? current->revision : revision{};
        if (current_revision == unconfirmed_write_->expected)
        {
            // The write has not taken effect yet but may still reach the store. The next
            // attempt expects the same revision, so at most one of the two is accepted.
            return std::optional<publication>();
        }
        const unconfirmed_write unconfirmed = *unconfirmed_write_;
        BOOST_LEAF_AUTO(envelope,
                        read_generation(store_, current, unconfirmed.generation));
        if (envelope.submission == edit_.submission)
        {
            return finish(unconfirmed.generation, true);
        }
        // Another write has replaced the revision that this write expected, so this write
        // can no longer take effect.
        unconfirmed_write_.reset();
        return std::optional<publication>();
    }

    key_value_store& store_;
    const edit_options& edit_;
    wall_time now_;
    bool was_merged_ = false;
    /// The last write whose response was lost, until it is known not to take effect.
    std::optional<unconfirmed_write> unconfirmed_write_;
};

} // namespace

std::string history_key(generation number)
{
    constexpr int digits = 12;
    std::ostringstream key;
    key << "kumquatpath/history/" << std::setw(digits) << std::setfill('0')
        << number.value;
    return key.str();
}

leaf::result<std::optional<current_configuration>> read_current(key_value_store& store)
{
    using optional_configuration = std::optional<current_configuration>;
    return leaf::try_handle_some(
        [&]() -> leaf::result<optional_configuration>
        {
            BOOST_LEAF_AUTO(stored, store.read(configuration_key));
            BOOST_LEAF_AUTO(envelope, parse_envelope(stored.value));
            return optional_configuration(
                current_configuration{std::move(envelope), stored.revision});
        },
        [](const store_not_found&) -> leaf::result<optional_configuration>
        { return optional_configuration(); });
}

leaf::result<configuration_envelope>
read_generation(key_value_store& store,
                const std::optional<current_configuration>& current, generation wanted)
{
    if (current && current->envelope.generation == wanted)
    {
        return current->envelope;
    }
    return leaf::try_handle_some(
        [&]() -> leaf::result<configuration_envelope>
        {
            BOOST_LEAF_AUTO(stored, store.read(history_key(wanted)));
            return parse_envelope(stored.value);
        },
        [&](const store_not_found&) -> leaf::result<configuration_envelope>
        { return leaf::new_error(unknown_generation{wanted}); });
}

leaf::result<publication> publish(key_value_store& store, const edit_options& edit,
                                  wall_time now)
{
    publisher operation(store, edit, now);
    return leaf::try_handle_some(
        [&] { return operation.run(); },
        [&](const leaf::error_info& failure) -> leaf::result<publication>
        {
            // A write whose response was lost may still take effect, whichever failure
            // ended the attempts.
            if (operation.has_unconfirmed_write())
            {
                return leaf::new_error(outcome_unknown{edit.submission});
            }
            return failure.error();
        });
}

} // namespace kumquatpath
