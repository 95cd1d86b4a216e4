#ifndef KUMQUATPATH_MODEL_OBJECT_READER_HPP
#define KUMQUATPATH_MODEL_OBJECT_READER_HPP

/// \file
/// Reads the members of one JSON object and reports each fault with its JSON pointer.

#include <kumquatpath/model/configuration.hpp>
#include <kumquatpath/model/configuration_fault.hpp>

#include <boost/json/object.hpp>
#include <boost/json/value.hpp>

#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace kumquatpath
{

/// The inclusive bounds of a number, and its default value.
struct number_rule
{
    std::uint64_t minimum = 0;
    std::uint64_t maximum = 0;
    /// The value if the key is absent. Empty if the key is required.
    std::optional<std::uint64_t> fallback;
};

/// Reads the members of one JSON object. A required member that is missing, or a member
/// that is invalid, adds a fault and yields a default value, so that the remaining
/// members are checked too.
class object_reader
{
public:
    /// Prepares to read \p value, whose JSON pointer is \p pointer. Adds a fault to
    /// \p faults if \p value is not an object, and for each key that is not one of
    /// \p known_keys. Both \p value and \p faults must outlive the reader.
    object_reader(const boost::json::value& value, std::string pointer,
                  std::span<const std::string_view> known_keys, fault_list& faults);

    /// Returns the JSON pointer of the object.
    const std::string& pointer() const
    {
        return pointer_;
    }

    /// Returns the JSON pointer of the member \p key.
    std::string pointer_of(std::string_view key) const;

    /// Returns the value of \p key, or null if it is absent.
    const boost::json::value* find(std::string_view key) const;

    /// Returns the string at the required key \p key; empty if it is missing or not
    /// a string.
    std::string required_string(std::string_view key);

    /// Returns the whole number at \p key. If it is absent or invalid, returns the
    /// fallback of \p rule or, without one, the minimum.
    std::uint64_t number(std::string_view key, const number_rule& rule);

    /// Returns the boolean at the optional key \p key, or \p fallback.
    bool flag(std::string_view key, bool fallback);

    /// Returns the address at the required key \p key; the default endpoint if it
    /// is missing or malformed.
    endpoint required_address(std::string_view key);

    /// Returns the value of the optional key "state"; active if it is absent or invalid.
    administrative_state state();

    /// Returns the value of the required key "kind"; one of the kinds if it is missing or
    /// invalid.
    listener_kind kind();

    /// Returns the object at \p key, or null if it is absent or not an object.
    const boost::json::object* object(std::string_view key, bool required);

private:
    /// Returns the value of \p key. If the object lacks it, reports a missing_key with
    /// \p expected as the suggested value and returns null.
    const boost::json::value* find_required(std::string_view key,
                                            std::string_view expected);

    /// Returns \p value, which is at \p key, as a string. If it is not a string, reports
    /// a wrong_type and returns nothing.
    std::optional<std::string_view> read_string(std::string_view key,
                                                const boost::json::value& value);

    std::string pointer_;
    /// Null if the value is not an object.
    const boost::json::object* object_ = nullptr;
    fault_list* faults_;
};

/// Returns the type of \p value, in words for a message.
std::string_view type_name(const boost::json::value& value);

} // namespace kumquatpath

#endif
