#ifndef KUMQUATPATH_MODEL_OBJECT_READER_HPP
#define KUMQUATPATH_MODEL_OBJECT_READER_HPP

/// \file
/// Reads the members of one JSON object and notes each fault with its place.

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

/// The bounds of a number, and its value when the key is absent.
struct number_rule
{
    std::uint64_t minimum = 0;
    std::uint64_t maximum = 0;
    /// Empty: the key must be there.
    std::optional<std::uint64_t> fallback;
};

/// A view of one JSON object. A member that is absent or wrong is noted as a fault and
/// read as its default, so that reading goes on and finds the other faults too.
class object_reader
{
public:
    /// Reads \p value, which is at \p pointer; keys outside of \p known are faults. Both
    /// \p value and \p faults must outlive the reader.
    object_reader(const boost::json::value& value, std::string pointer,
                  std::span<const std::string_view> known_keys, fault_list& faults);

    /// Returns the object's own place.
    const std::string& pointer() const
    {
        return pointer_;
    }

    /// Returns the place of the member \p key.
    std::string pointer_of(std::string_view key) const;

    /// Returns the value of \p key, or null when it is absent.
    const boost::json::value* find(std::string_view key) const;

    std::string required_string(std::string_view key);
    std::uint64_t number(std::string_view key, const number_rule& rule);
    bool flag(std::string_view key, bool fallback);
    endpoint required_address(std::string_view key);
    administrative_state state();
    listener_kind kind();

    /// Returns the object at \p key, or null when it is absent or no object.
    const boost::json::object* object(std::string_view key, bool required);

private:
    const boost::json::value* find_required(std::string_view key,
                                            std::string_view expected);
    std::optional<std::string_view> read_string(std::string_view key,
                                                const boost::json::value& value);

    std::string pointer_;
    const boost::json::object* object_ = nullptr;
    fault_list* faults_;
};

/// Returns what \p value is, in words for a message.
std::string_view type_name(const boost::json::value& value);

} // namespace kumquatpath

#endif
