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

    submitter make_submitter()
    {
        return {"anna", "submission-" + std::to_string(++submissions), {}};
    }

    void setup() override
    {
        CHECK_TRUE(
            apply(store, boost::json::serialize(small_document()), {}, make_submitter())
                .has_value());
        CHECK_TRUE(change_state(store, {drain_kind::target, {"t1"}}, make_submitter())
                       .has_value());
        CHECK_TRUE(change_state(store,
                                {.kind = drain_kind::instance,
                                 .names = {"i1"},
                                 .known_instances = {"i1"}},
                                make_submitter())
                       .has_value());
    }

    std::string editable_text(std::optional<generation> wanted)
    {
        const auto envelope = show(store, wanted);
        CHECK_TRUE(envelope.has_value());
        return to_text(editable_document(*envelope));
    }
};

TEST(queries, the_output_of_show_can_be_edited_and_applied_without_a_base)
{
    std::string text = editable_text(std::nullopt);
    STRCMP_CONTAINS("\"edited_from\": 3", text.c_str());
    text.replace(text.find("\"flow_lifetime_s\": 100"), 22, "\"flow_lifetime_s\": 200");
    const auto result = apply(store, text, {}, make_submitter());

    CHECK_TRUE(result.has_value());
    LONGS_EQUAL(4, result->published.value);
    CHECK_FALSE(result->was_merged);
}

TEST(queries, show_finds_an_earlier_generation)
{
    STRCMP_CONTAINS("\"edited_from\": 1", editable_text(generation{1}).c_str());
    CHECK_TRUE(editable_text(generation{1}).find("draining") == std::string::npos);
}

TEST(queries, diff_names_the_objects_and_the_members_that_differ)
{
    const auto difference = diff(store, editable_text(generation{1}));
    CHECK_TRUE(difference.has_value());
    std::ostringstream out;
    print_diff(out, *difference, false);

    STRCMP_EQUAL("Against generation 3, which is in force:\n"
                 "  - /instances/i1\n"
                 "  ~ /pools/p/targets/t1\n"
                 "      state: \"draining\" -> (absent)\n"
                 "2 objects\n",
                 out.str().c_str());
}

TEST(queries, history_lists_what_each_generation_changed)
{
    const auto entries = history(store, 10);

    CHECK_TRUE(entries.has_value());
    LONGS_EQUAL(3, entries->size());
    LONGS_EQUAL(3, (*entries)[0].generation.value);
    STRCMP_EQUAL("/instances/i1", to_pointer((*entries)[0].changes->at(0).path).c_str());
    STRCMP_EQUAL("/pools/p/targets/t1",
                 to_pointer((*entries)[1].changes->at(0).path).c_str());
    STRCMP_EQUAL("anna", (*entries)[2].author.c_str());
}

TEST(queries, history_omits_the_changes_if_the_previous_generation_is_no_longer_kept)
{
    store.values.erase(history_key({1}));
    const auto entries = history(store, 10);

    CHECK_TRUE(entries.has_value());
    LONGS_EQUAL(2, entries->size());
    CHECK_FALSE((*entries)[1].changes.has_value());
}
