#include "runner.hpp"

#include <cstdlib>
#include <iostream>
#include <random>

namespace kumquatpath::fuzz
{
namespace
{

constexpr std::size_t max_input_bytes = 64 * 1024;
constexpr std::uint64_t max_mutations = 6;
/// A mutation copies, erases or replaces fewer bytes than this.
constexpr std::uint64_t span_limit_bytes = 32;

/// Generates inputs by random mutation of the inputs of a corpus.
class mutator
{
public:
    mutator(const corpus& seed_corpus, std::uint64_t seed)
        : corpus_(seed_corpus), random_(seed)
    {
    }

    std::string next()
    {
        std::string input = corpus_.inputs[random_below(corpus_.inputs.size())];
        const std::uint64_t mutations = random_below(max_mutations + 1);
        for (std::uint64_t i = 0; i < mutations; ++i)
        {
            mutate(input);
        }
        input.resize(std::min(input.size(), max_input_bytes));
        return input;
    }

private:
    /// Returns a random number less than \p bound, or 0 if \p bound is 0.
    std::size_t random_below(std::uint64_t bound)
    {
        return bound == 0 ? 0 : static_cast<std::size_t>(random_() % bound);
    }

    void mutate(std::string& input)
    {
        const std::size_t position = random_below(input.size() + 1);
        const std::size_t span_bytes = random_below(span_limit_bytes);
        switch (random_below(7))
        {
        case 0:
            flip_bit(input);
            break;
        case 1:
            input.erase(position, span_bytes);
            break;
        case 2:
            input.insert(position,
                         input.substr(random_below(input.size() + 1), span_bytes));
            break;
        case 3:
            input.insert(position, random_dictionary_entry());
            break;
        case 4:
            input.replace(position, span_bytes, random_dictionary_entry());
            break;
        case 5:
            replace_dictionary_entry(input);
            break;
        default:
            truncate_or_splice(input, position);
            break;
        }
    }

    void flip_bit(std::string& input)
    {
        if (!input.empty())
        {
            const std::size_t position = random_below(input.size());
            input[position] = static_cast<char>(input[position] ^ (1 << random_below(8)));
        }
    }

    std::string_view random_dictionary_entry()
    {
        return corpus_.dictionary[random_below(corpus_.dictionary.size())];
    }

    /// Replaces an occurrence of one dictionary entry by another entry. The result is
    /// often well formed, so the mutation reaches code behind the parser's syntax checks.
    void replace_dictionary_entry(std::string& input)
    {
        const std::string_view old_entry = random_dictionary_entry();
        const auto found = input.find(old_entry, random_below(input.size() + 1));
        if (found != std::string::npos)
        {
            input.replace(found, old_entry.size(), random_dictionary_entry());
        }
    }

    /// Truncates the input at \p position and, half of the time, appends the tail of an
    /// input of the corpus.
    void truncate_or_splice(std::string& input, std::size_t position)
    {
        input.resize(position);
        if (random_below(2) == 0)
        {
            const std::string& other =
                corpus_.inputs[random_below(corpus_.inputs.size())];
            input += other.substr(random_below(other.size() + 1));
        }
    }

    const corpus& corpus_;
    std::mt19937_64 random_;
};

} // namespace

int run(int argc, char** argv, const corpus& seed_corpus)
{
    std::uint64_t runs = 1000;
    std::uint64_t seed = 1;
    for (int i = 1; i < argc; i += 2)
    {
        const std::string_view name = argv[i];
        if (i + 1 == argc || (name != "--runs" && name != "--seed"))
        {
            std::cerr << "usage: " << argv[0] << " [--runs N] [--seed S]\n";
            return 2;
        }
        (name == "--runs" ? runs : seed) = std::strtoull(argv[i + 1], nullptr, 10);
    }
    mutator inputs(seed_corpus, seed);
    for (std::uint64_t i = 0; i < runs; ++i)
    {
        const std::string input = inputs.next();
        LLVMFuzzerTestOneInput(reinterpret_cast<const std::uint8_t*>(input.data()),
                               input.size());
    }
    std::cout << runs << " inputs generated from seed " << seed << '\n';
    return 0;
}

void require(bool condition, std::string_view requirement)
{
    if (!condition)
    {
        std::cerr << "fuzz: requirement violated: " << requirement << std::endl;
        std::abort();
    }
}

} // namespace kumquatpath::fuzz
