#include "client/queries.hpp"

#include "client/commands.hpp"
#include "client/failure.hpp"

#include <boost/json/object.hpp>
#include <boost/leaf/handle_errors.hpp>

namespace kumquatpath
{
namespace
{

namespace json = boost::json;
namespace leaf = boost::leaf;

/// Returns the generation \p wanted, or nothing if it is neither in force nor in the
/// history.
leaf::result<std::optional<configuration_envelope>>
find_generation(key_value_store& store,
                const std::optional<current_configuration>& current, generation wanted)
{
    using optional_envelope = std::optional<configuration_envelope>;
    return leaf::try_handle_some(
        [&]() -> leaf::result<optional_envelope>
        {
            BOOST_LEAF_AUTO(envelope, read_generation(store, current, wanted));
            return optional_envelope(std::move(envelope));
        },
        [](const unknown_generation&) -> leaf::result<optional_envelope>
        { return optional_envelope(); });
}

history_entry entry_of(const configuration_envelope& envelope)
{
    return {.generation = envelope.generation,
            .submitted_at = envelope.submitted_at,
            .author = envelope.author,
            .submission = envelope.submission};
}

} // namespace

leaf::result<configuration_envelope> show(key_value_store& store,
                                          const std::optional<generation>& wanted)
{
    BOOST_LEAF_AUTO(current, read_current(store));
    if (!current)
    {
        return leaf::new_error(nothing_in_force{});
    }
    return read_generation(store, current, wanted.value_or(current->envelope.generation));
}

json::value editable_document(const configuration_envelope& envelope)
{
    // The generation is the first member, so that it is easy to see in the file.
    json::object document;
    const json::object& stored = envelope.document.get_object();
    document[base_key] = envelope.generation.value;
    for (const auto& member : stored)
    {
        document[member.key()] = member.value();
    }
    return document;
}

leaf::result<document_diff> difference_from_current(key_value_store& store,
                                                    const json::value& document)
{
    BOOST_LEAF_AUTO(current, read_current(store));
    if (!current)
    {
        return document_diff{.changes = changes_between(json::object(), document)};
    }
    return document_diff{.in_force = current->envelope.generation,
                         .changes =
                             changes_between(current->envelope.document, document)};
}

leaf::result<document_diff> diff(key_value_store& store, std::string_view text)
{
    BOOST_LEAF_AUTO(file, read_document(text));
    return difference_from_current(store, file.document);
}

leaf::result<std::vector<history_entry>> history(key_value_store& store,
                                                 std::uint64_t last)
{
    std::vector<history_entry> entries;
    BOOST_LEAF_AUTO(current, read_current(store));
    std::optional<configuration_envelope> later;
    if (current)
    {
        later = current->envelope;
    }
    while (later && entries.size() < last)
    {
        entries.push_back(entry_of(*later));
        std::optional<configuration_envelope> earlier;
        if (later->generation.value > 1)
        {
            BOOST_LEAF_ASSIGN(
                earlier, find_generation(store, current, {later->generation.value - 1}));
        }
        if (earlier || later->generation.value == 1)
        {
            entries.back().changes =
                changes_between(earlier ? earlier->document : json::value(json::object()),
                                later->document);
        }
        later = std::move(earlier);
    }
    return entries;
}

} // namespace kumquatpath
