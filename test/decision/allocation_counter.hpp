#ifndef KUMQUATPATH_TEST_DECISION_ALLOCATION_COUNTER_HPP
#define KUMQUATPATH_TEST_DECISION_ALLOCATION_COUNTER_HPP

/// \file
/// Counts allocations, for tests of paths that must not allocate.

// The other two headers of CppUTest need its first one.
// clang-format off
#include <CppUTest/TestHarness.h>
#include <CppUTest/MemoryLeakDetector.h>
#include <CppUTest/MemoryLeakWarningPlugin.h>
// clang-format on

// The macro of CppUTest would break placement new in later headers.
#undef new

namespace kumquatpath::test
{

/// Counts the allocations made during its life.
class allocation_counter
{
public:
    allocation_counter()
    {
        MemoryLeakWarningPlugin::turnOnDefaultNotThreadSafeNewDeleteOverloads();
        before_ = count();
    }

    ~allocation_counter()
    {
        MemoryLeakWarningPlugin::turnOffNewDeleteOverloads();
    }

    allocation_counter(const allocation_counter&) = delete;
    allocation_counter& operator=(const allocation_counter&) = delete;

    unsigned made() const
    {
        return count() - before_;
    }

private:
    static unsigned count()
    {
        return MemoryLeakWarningPlugin::getGlobalDetector()->getCurrentAllocationNumber();
    }

    unsigned before_ = 0;
};

} // namespace kumquatpath::test

#endif
