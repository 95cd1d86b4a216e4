/// \file
/// Show, diff and history.

#include "client/commands.hpp"
#include "client/document_text.hpp"
#include "client/queries.hpp"
#include "support/documents.hpp"
#include "support/memory_store.hpp"

#include <boost/json/serialize.hpp>

#include <sstream>

#include <CppUTest/TestHarness.h>

using namespace kumquatpath;
using namespace kumquatpath::test;

TEST_GROUP(queries)
{
    memory_store store;
    int submissions = 0;

    submission_context by()
    {
        return {"anna", "submission-" + std::to_string(++submissions), {}};
    }

    void setup() override
    {
        CHECK_TRUE(
            apply(store, boost::json::serialize(small_document()), {}, by()).has_value());
        CHECK_TRUE(
            change_state(store, {drainable_kind::target, {"t1"}}, by()).has_value());
        CHECK_TRUE(change_state(store,
                                {.kind = drainable_kind::instance,
                                 .names = {"i1"},
                                 .known_instances = {"i1"}},
                                by())
                       .has_value());
    }

    std::string shown(std::optional<generation> wanted)
    {
        const auto envelope = show(store, wanted);
        CHECK_TRUE(envelope.has_value());
        return to_text(editable_document(*envelope));
    }
};

TEST(queries, what_show_prints_can_be_edited_and_applied_without_a_base)
{
    std::string text = shown(std::nullopt);
    STRCMP_CONTAINS("\"edited_from\": 3", text.c_str());
    text.replace(text.find("\"flow_lifetime_s\": 100"), 22, "\"flow_lifetime_s\": 200");
    const auto done = apply(store, text, {}, by());

    CHECK_TRUE(done.has_value());
    LONGS_EQUAL(4, done->published.value);
    CHECK_FALSE(done->was_merged);
}

TEST(queries, show_finds_an_earlier_generation)
{
    STRCMP_CONTAINS("\"edited_from\": 1", shown(generation{1}).c_str());
    CHECK_TRUE(shown(generation{1}).find("draining") == std::string::npos);
}

TEST(queries, diff_names_the_objects_and_the_members_that_differ)
{
    const auto found = diff(store, shown(generation{1}));
    CHECK_TRUE(found.has_value());
    std::ostringstream out;
    print_diff(out, *found, false);

    STRCMP_EQUAL("Against generation 3, which is in force:\n"
                 "  - /instances/i1\n"
                 "  ~ /pools/p/targets/t1\n"
                 "      state: \"draining\" -> (absent)\n"
                 "2 objects\n",
                 out.str().c_str());
}

TEST(queries, history_lists_what_each_generation_changed)
{
    const auto lines = history(store, 10);

    CHECK_TRUE(lines.has_value());
    LONGS_EQUAL(3, lines->size());
    LONGS_EQUAL(3, (*lines)[0].generation.value);
    STRCMP_EQUAL("/instances/i1", to_pointer((*lines)[0].changes->at(0).path).c_str());
    STRCMP_EQUAL("/pools/p/targets/t1",
                 to_pointer((*lines)[1].changes->at(0).path).c_str());
    STRCMP_EQUAL("anna", (*lines)[2].author.c_str());
}

TEST(queries, history_says_when_an_earlier_generation_is_gone)
{
    store.values.erase(history_key({1}));
    const auto lines = history(store, 10);

    CHECK_TRUE(lines.has_value());
    LONGS_EQUAL(2, lines->size());
    CHECK_FALSE((*lines)[1].changes.has_value());
}
