/// \file
/// The entry point of every unit test program.

#include <CppUTest/CommandLineTestRunner.h>

int main(int argc, char** argv)
{
    // Libraries keep caches that outlive a test, so leaks are left to the sanitizer
    // build.
    MemoryLeakWarningPlugin::turnOffNewDeleteOverloads();
    return CommandLineTestRunner::RunAllTests(argc, argv);
}
