#ifndef KUMQUATPATH_FUZZ_RUNNER_HPP
#define KUMQUATPATH_FUZZ_RUNNER_HPP

/// \file
/// A runner that mutates known inputs from a seed and feeds them to a fuzz target. The
/// same seed makes the same inputs on every machine.

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

/// The entry point of the fuzz target, as libFuzzer names it. It ends the process when an
/// assertion fails.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size);

namespace kumquatpath::fuzz
{

/// What inputs are made from.
struct corpus
{
    std::vector<std::string> inputs;
    /// Pieces that a mutation puts into an input.
    std::vector<std::string_view> dictionary;
};

/// Reads --runs N and --seed S, feeds N mutated inputs to the fuzz target, and returns 0.
/// Prints the usage and returns 2 on any other argument.
int run(int argc, char** argv, const corpus& seed_corpus);

/// Ends the process, with \p what on the errors stream, if \p holds is false.
void require(bool condition, std::string_view requirement);

} // namespace kumquatpath::fuzz

#endif
