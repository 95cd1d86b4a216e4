#include "runner.hpp"

#include <cstdlib>
#include <iostream>
#include <random>

namespace kumquatpath::fuzz
{
namespace
{

constexpr std::size_t longest_input = 64 * 1024;
constexpr std::uint64_t most_mutations = 6;
constexpr std::uint64_t longest_span = 32;

/// Makes inputs from a corpus and a seed.
class mutator
{
public:
    mutator(const corpus& from, std::uint64_t seed) : corpus_(from), random_(seed) {}

    std::string next()
    {
        std::string input = corpus_.inputs[below(corpus_.inputs.size())];
        const std::uint64_t mutations = below(most_mutations + 1);
        for (std::uint64_t i = 0; i < mutations; ++i)
        {
            mutate(input);
        }
        input.resize(std::min(input.size(), longest_input));
        return input;
    }

private:
    /// Returns a number from 0 to one less than \p bound, or 0 for a bound of 0.
    std::size_t below(std::uint64_t bound)
    {
        return bound == 0 ? 0 : static_cast<std::size_t>(random_() % bound);
    }

    void mutate(std::string& input)
    {
        const std::size_t place = below(input.size() + 1);
        const std::size_t span = below(longest_span);
        switch (below(7))
        {
        case 0:
            flip_bit(input);
            break;
        case 1:
            input.erase(place, span);
            break;
        case 2:
            input.insert(place, input.substr(below(input.size() + 1), span));
            break;
        case 3:
            input.insert(place, piece());
            break;
        case 4:
            input.replace(place, span, piece());
            break;
        case 5:
            replace_piece(input);
            break;
        default:
            cut_or_join(input, place);
            break;
        }
    }

    void flip_bit(std::string& input)
    {
        if (!input.empty())
        {
            const std::size_t place = below(input.size());
            input[place] = static_cast<char>(input[place] ^ (1 << below(8)));
        }
    }

    std::string_view piece()
    {
        return corpus_.dictionary[below(corpus_.dictionary.size())];
    }

    /// Puts one piece where another stands, which often leaves an input well formed.
    void replace_piece(std::string& input)
    {
        const std::string_view old_piece = piece();
        const auto found = input.find(old_piece, below(input.size() + 1));
        if (found != std::string::npos)
        {
            input.replace(found, old_piece.size(), piece());
        }
    }

    /// Cuts the input off, or goes on with the tail of another one.
    void cut_or_join(std::string& input, std::size_t place)
    {
        input.resize(place);
        if (below(2) == 0)
        {
            const std::string& other = corpus_.inputs[below(corpus_.inputs.size())];
            input += other.substr(below(other.size() + 1));
        }
    }

    const corpus& corpus_;
    std::mt19937_64 random_;
};

} // namespace

int run(int argc, char** argv, const corpus& from)
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
    mutator inputs(from, seed);
    for (std::uint64_t i = 0; i < runs; ++i)
    {
        const std::string input = inputs.next();
        LLVMFuzzerTestOneInput(reinterpret_cast<const std::uint8_t*>(input.data()),
                               input.size());
    }
    std::cout << runs << " inputs from seed " << seed << '\n';
    return 0;
}

void require(bool holds, std::string_view what)
{
    if (!holds)
    {
        std::cerr << "fuzz: does not hold: " << what << std::endl;
        std::abort();
    }
}

} // namespace kumquatpath::fuzz
