#ifndef KUMQUATPATH_TEST_SUPPORT_MEMORY_STORE_HPP
#define KUMQUATPATH_TEST_SUPPORT_MEMORY_STORE_HPP

/// \file
/// A key-value store in memory whose writes fail on request.

#include <kumquatpath/edge/key_value_store.hpp>
#include <kumquatpath/model/configuration_envelope.hpp>

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>

namespace kumquatpath::test
{

/// How a write to the configuration's key fails.
enum class write_fault
{
    none,
    lost_response,
    lost_request,
    /// The answer is lost, and the write takes effect just before the next one.
    delayed_request,
};

/// The store. Only what publishing needs is there.
class memory_store final : public key_value_store
{
public:
    bool is_down = false;
    /// What happens to the next writes of the configuration's key, in their order.
    std::deque<write_fault> faults;
    /// Runs once, before the next write of the configuration's key.
    std::function<void()> before_write;
    /// Runs once, after the next write of the configuration's key.
    std::function<void()> after_write;
    std::map<std::string, stored_value, std::less<>> values;

    boost::leaf::result<stored_value> read(std::string_view key) override
    {
        if (is_down)
        {
            return boost::leaf::new_error(store_unreachable{});
        }
        const auto found = values.find(key);
        if (found == values.end())
        {
            return boost::leaf::new_error(store_not_found{});
        }
        return found->second;
    }

    boost::leaf::result<revision> write(const write_options& options) override
    {
        if (options.key != configuration_key)
        {
            return write_now(options);
        }
        run_once(before_write);
        auto outcome = write_with_fault(options);
        run_once(after_write);
        return outcome;
    }

    boost::leaf::result<void> erase(std::string_view key, revision) override
    {
        values.erase(std::string(key));
        return {};
    }

private:
    static void run_once(std::function<void()>& action)
    {
        const auto callback = std::exchange(action, nullptr);
        if (callback)
        {
            callback();
        }
    }

    boost::leaf::result<revision> write_with_fault(const write_options& options)
    {
        if (delayed_)
        {
            write_now(*std::exchange(delayed_, std::nullopt));
        }
        const write_fault fault = faults.empty() ? write_fault::none : faults.front();
        if (!faults.empty())
        {
            faults.pop_front();
        }
        if (fault == write_fault::none)
        {
            return write_now(options);
        }
        if (fault == write_fault::lost_response)
        {
            write_now(options);
        }
        if (fault == write_fault::delayed_request)
        {
            delayed_ = options;
        }
        return boost::leaf::new_error(store_timeout{});
    }

    boost::leaf::result<revision> write_now(const write_options& options)
    {
        if (is_down)
        {
            return boost::leaf::new_error(store_unreachable{});
        }
        stored_value& entry = values[options.key];
        if (entry.revision != options.expected)
        {
            return boost::leaf::new_error(store_conflict{entry.revision});
        }
        entry = {options.key, options.value, {++last_revision_}};
        return entry.revision;
    }

    std::optional<write_options> delayed_;
    std::uint64_t last_revision_ = 0;
};

} // namespace kumquatpath::test

#endif
