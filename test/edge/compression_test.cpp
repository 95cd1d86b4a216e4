/// \file
/// Tests of the compression of texts.

#include <kumquatpath/edge/compression.hpp>

#include <CppUTest/TestHarness.h>

using namespace kumquatpath;

namespace
{

constexpr std::size_t max_bytes = 1'000'000;

std::string long_text()
{
    std::string text;
    for (int i = 0; i < 2000; ++i)
    {
        text += R"({"name":"route-)" + std::to_string(i) + R"(","kind":"idempotent"})";
    }
    return text;
}

} // namespace

TEST_GROUP(compression){};

TEST(compression, a_text_survives)
{
    for (const std::string& text : {std::string(), std::string("a"), long_text()})
    {
        const auto compressed = compress(text);
        CHECK_TRUE(compressed.has_value());
        CHECK_TRUE(decompress(*compressed, max_bytes) == text);
    }
    CHECK_TRUE(compress(long_text())->size() * 5 < long_text().size());
}

TEST(compression, a_text_that_is_too_long_is_refused)
{
    const std::string text(1000, 'x');
    const auto compressed = compress(text);
    CHECK_TRUE(decompress(*compressed, 1000) == text);
    CHECK_FALSE(decompress(*compressed, 999).has_value());
}

TEST(compression, bytes_that_are_damaged_or_cut_off_are_refused)
{
    const std::string compressed = *compress(long_text());
    CHECK_FALSE(decompress("no compressed text", max_bytes).has_value());
    CHECK_FALSE(decompress("", max_bytes).has_value());
    CHECK_FALSE(
        decompress(compressed.substr(0, compressed.size() - 1), max_bytes).has_value());
    std::string damaged = compressed;
    damaged[damaged.size() / 2] ^= 1;
    CHECK_FALSE(decompress(damaged, max_bytes).has_value());
}
