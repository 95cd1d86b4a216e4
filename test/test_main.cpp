/// \file
/// The entry point of every unit test program.

#include <CppUTest/CommandLineTestRunner.h>

int main(int argc, char** argv)
{
    // CppUTest would report the caches that libraries keep beyond a test as leaks. The
    // sanitizer build checks for leaks instead.
    MemoryLeakWarningPlugin::turnOffNewDeleteOverloads();
    return CommandLineTestRunner::RunAllTests(argc, argv);
}
