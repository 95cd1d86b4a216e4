#ifndef KUMQUATPATH_TEST_SUPPORT_MEMORY_STORE_HPP
#define KUMQUATPATH_TEST_SUPPORT_MEMORY_STORE_HPP

/// \file
/// An in-memory key-value store that injects faults into writes of the configuration.

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

/// How a write to configuration_key fails. The writer sees each fault as store_timeout.
enum class write_fault
{
    none,
    /// The write takes effect, but its response is lost.
    lost_response,
    /// The request is lost, so the write never takes effect.
    lost_request,
    /// The write takes effect just before the next write to configuration_key, after the
    /// writer's timeout.
    delayed_request,
};

/// The store. \c faults and the callbacks apply to configuration_key only; erase()
/// ignores the expected revision.
class memory_store final : public key_value_store
{
public:
    /// Whether reads and writes fail with store_unreachable.
    bool is_down = false;
    /// The faults of the next writes to configuration_key, in order.
    std::deque<write_fault> faults;
    /// Runs once, before the next write to configuration_key.
    std::function<void()> before_write;
    /// Runs once, after the next write to configuration_key.
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

    boost::leaf::result<revision> write(const write_request& request) override
    {
        if (request.key != configuration_key)
        {
            return write_now(request);
        }
        run_once(before_write);
        auto outcome = write_with_fault(request);
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

    boost::leaf::result<revision> write_with_fault(const write_request& request)
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
            return write_now(request);
        }
        if (fault == write_fault::lost_response)
        {
            write_now(request);
        }
        if (fault == write_fault::delayed_request)
        {
            delayed_ = request;
        }
        return boost::leaf::new_error(store_timeout{});
    }

    boost::leaf::result<revision> write_now(const write_request& request)
    {
        if (is_down)
        {
            return boost::leaf::new_error(store_unreachable{});
        }
        stored_value& entry = values[request.key];
        if (entry.revision != request.expected)
        {
            return boost::leaf::new_error(store_conflict{entry.revision});
        }
        entry = {request.key, request.value, {++last_revision_}};
        return entry.revision;
    }

    std::optional<write_request> delayed_;
    std::uint64_t last_revision_ = 0;
};

} // namespace kumquatpath::test

#endif
