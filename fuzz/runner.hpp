#ifndef KUMQUATPATH_FUZZ_RUNNER_HPP
#define KUMQUATPATH_FUZZ_RUNNER_HPP

/// \file
/// A deterministic runner for fuzz targets that are built without libFuzzer. It mutates
/// the inputs of a corpus and passes them to the fuzz target. A seed gives the same
/// inputs on every machine.

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

/// The entry point of the fuzz target, with the name and signature that libFuzzer
/// requires. Aborts the process if the target does not meet a requirement; returns 0
/// otherwise.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size);

namespace kumquatpath::fuzz
{

/// The material from which inputs are generated.
struct corpus
{
    /// Valid inputs, which are mutated.
    std::vector<std::string> inputs;
    /// Strings that a mutation may insert into an input.
    std::vector<std::string_view> dictionary;
};

/// Parses the options --runs N and --seed S, calls the fuzz target with N mutated inputs
/// and returns 0. On any other argument, prints the usage and returns 2. \p seed_corpus
/// must contain at least one input and one dictionary entry.
int run(int argc, char** argv, const corpus& seed_corpus);

/// Aborts the process with \p requirement on standard error if \p condition is false.
void require(bool condition, std::string_view requirement);

} // namespace kumquatpath::fuzz

#endif
