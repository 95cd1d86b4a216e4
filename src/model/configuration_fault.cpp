#include <kumquatpath/model/configuration_fault.hpp>

#include <array>

namespace kumquatpath
{
namespace
{

using fault_kind = configuration_fault_kind;

/// The texts for one kind of fault. The placeholders $name, $expected, $offset, $minimum
/// and $maximum stand for the fields of configuration_fault; each occurs at most once in
/// a text.
struct fault_text
{
    configuration_fault_kind kind;
    std::string_view name;
    std::string_view description;
    std::string_view remedy;
    /// The remedy if configuration_fault::expected is empty. If this text is empty too,
    /// \ref remedy is used in any case.
    std::string_view remedy_without_expected;
};

constexpr std::array fault_texts = {
    fault_text{fault_kind::syntax, "syntax", "Invalid JSON at byte $offset: $name.",
               "Correct the JSON just before byte $offset.", ""},
    fault_text{fault_kind::too_large, "too_large",
               "The size of $name bytes exceeds the limit.",
               "Reduce the size to at most $maximum bytes.", ""},
    fault_text{fault_kind::duplicate_key, "duplicate_key",
               "The key \"$name\" occurs more than once in the object.",
               "Remove or rename the duplicate.", ""},
    fault_text{fault_kind::unknown_key, "unknown_key", "The key \"$name\" is unknown.",
               "Did you mean \"$expected\"?", "Remove the key."},
    fault_text{fault_kind::missing_key, "missing_key",
               "The required key \"$name\" is missing.", "Add \"$name\": $expected.",
               "Add the key."},
    fault_text{fault_kind::wrong_type, "wrong_type",
               "The value has the wrong type: $name.", "Use $expected instead.", ""},
    fault_text{fault_kind::out_of_range, "out_of_range",
               "The number $name is out of range.",
               "Use a whole number from $minimum to $maximum.", ""},
    fault_text{fault_kind::unknown_word, "unknown_word",
               "The value \"$name\" is not allowed.", "Use $expected.", ""},
    fault_text{fault_kind::malformed_address, "malformed_address",
               "\"$name\" is not an IPv4 address with a port.",
               "Use the form \"127.0.0.1:9000\".", ""},
    fault_text{fault_kind::malformed_name, "malformed_name",
               "The name \"$name\" is not allowed.",
               "Use 1 to $maximum characters from a-z, A-Z, 0-9, '.', '_' and '-'.", ""},
    fault_text{fault_kind::unknown_reference, "unknown_reference",
               "The object \"$name\" does not exist.", "Did you mean \"$expected\"?",
               "Add the object, or refer to one that exists."},
    fault_text{fault_kind::duplicate_address, "duplicate_address",
               "The address $name is already used by $expected.",
               "Choose another address.", ""},
    fault_text{fault_kind::duplicate_id, "duplicate_id",
               "The id $name is already used by $expected.", "Choose another id.", ""},
    fault_text{fault_kind::duplicate_name, "duplicate_name",
               "The name \"$name\" is already used by $expected.",
               "Rename one of the two: target names must be unique across all pools.",
               ""},
    fault_text{fault_kind::name_collision, "name_collision",
               "The names \"$name\" and \"$expected\" hash to the same id.",
               "Rename one of the two.", ""},
    fault_text{fault_kind::empty_pool, "empty_pool", "The pool \"$name\" has no targets.",
               "Add a target, or remove the pool.", ""},
    fault_text{fault_kind::no_active_target, "no_active_target",
               "The service \"$name\" has no target that accepts new flows.",
               "Undrain a target of the pool \"$expected\", or the data centre of one.",
               ""},
};

const fault_text& text_of(configuration_fault_kind kind) noexcept
{
    return fault_texts[static_cast<std::size_t>(kind)];
}

constexpr bool is_ordered_by_kind()
{
    for (std::size_t i = 0; i < fault_texts.size(); ++i)
    {
        if (static_cast<std::size_t>(fault_texts[i].kind) != i)
        {
            return false;
        }
    }
    return true;
}
static_assert(is_ordered_by_kind(),
              "fault_texts must be in the order of configuration_fault_kind");

void replace_placeholder(std::string& text, std::string_view placeholder,
                         const std::string& value)
{
    const auto position = text.find(placeholder);
    if (position != std::string::npos)
    {
        text.replace(position, placeholder.size(), value);
    }
}

std::string fill_placeholders(std::string_view pattern, const configuration_fault& fault)
{
    std::string text(pattern);
    replace_placeholder(text, "$offset", std::to_string(fault.offset));
    replace_placeholder(text, "$minimum", std::to_string(fault.minimum));
    replace_placeholder(text, "$maximum", std::to_string(fault.maximum));
    // The values of $name and $expected are free text, which may itself contain a
    // placeholder. They are inserted after the numbers, the later of the two first, so
    // that a placeholder inside an inserted value is never replaced.
    const auto expected_first = text.find("$expected") < text.find("$name");
    replace_placeholder(text, expected_first ? "$name" : "$expected",
                        expected_first ? fault.name : fault.expected);
    replace_placeholder(text, expected_first ? "$expected" : "$name",
                        expected_first ? fault.expected : fault.name);
    return text;
}

} // namespace

std::string_view to_string(configuration_fault_kind kind) noexcept
{
    return text_of(kind).name;
}

std::string description(const configuration_fault& fault)
{
    return fill_placeholders(text_of(fault.kind).description, fault);
}

std::string remedy(const configuration_fault& fault)
{
    const fault_text& text = text_of(fault.kind);
    const bool lacks_expected =
        fault.expected.empty() && !text.remedy_without_expected.empty();
    return fill_placeholders(lacks_expected ? text.remedy_without_expected : text.remedy,
                             fault);
}

} // namespace kumquatpath
