/* The plan that a process follows, when documents cannot be decoded. */

#include "plan_holder.h"
#include "test.h"

static enum SlStatus next_status;
static uint32_t attempts;

static enum SlStatus
decode(const uint8_t *bytes, size_t length_bytes, struct SlPlan **plan,
       struct SlError *error)
{
    (void)bytes;
    (void)length_bytes;
    attempts++;
    if (next_status != SL_OK) {
        return SlError_Set(error, next_status, SL_STEP_DECODE, NULL, "test");
    }
    *plan = SlPlan_Create(attempts);
    return SL_OK;
}

static const struct SlPlanFormat FORMAT = {.name = "test", .decode = decode};

/* A document for which memory lacked once is decoded later, although no newer
   one comes. */
static void
test_document_is_decoded_after_lack_of_memory(void)
{
    struct SlPlanHolder holder = {.plan = NULL};
    struct SlDocument document = {.version = 7};
    struct SlError error;

    attempts = 0;
    next_status = SL_NO_MEMORY;
    CU_ASSERT_EQUAL(
        SlPlanHolder_Update(&holder, 1000, &FORMAT, &document, &error),
        SL_NO_MEMORY);
    next_status = SL_OK;
    CU_ASSERT_EQUAL(
        SlPlanHolder_Update(&holder, 2000, &FORMAT, &document, &error),
        SL_AGAIN);
    CU_ASSERT_EQUAL(attempts, 1);
    CU_ASSERT_EQUAL(
        SlPlanHolder_Update(&holder, 1000 * 1000, &FORMAT, &document, &error),
        SL_OK);
    CU_ASSERT_PTR_NOT_NULL(holder.plan);
    CU_ASSERT_EQUAL(attempts, 2);
    SlPlanHolder_Release(&holder);
}

/* A malformed document is tried once, and the present plan stays. */
static void
test_malformed_document_keeps_plan(void)
{
    struct SlPlanHolder holder = {.plan = NULL};
    struct SlDocument document = {.version = 7};
    struct SlPlan *plan;
    struct SlError error;

    attempts = 0;
    next_status = SL_OK;
    CU_ASSERT_EQUAL(
        SlPlanHolder_Update(&holder, 1000, &FORMAT, &document, &error), SL_OK);
    plan = holder.plan;
    next_status = SL_MALFORMED;
    document.version = 8;
    CU_ASSERT_EQUAL(
        SlPlanHolder_Update(&holder, 2000, &FORMAT, &document, &error),
        SL_MALFORMED);
    CU_ASSERT_EQUAL(
        SlPlanHolder_Update(&holder, 3000, &FORMAT, &document, &error), SL_OK);
    CU_ASSERT_EQUAL(attempts, 2);
    CU_ASSERT_PTR_EQUAL(holder.plan, plan);
    SlPlanHolder_Release(&holder);
}

int
main(void)
{
    static const struct test_case CASES[] = {
        {"a document is decoded after a lack of memory",
         test_document_is_decoded_after_lack_of_memory},
        {"a malformed document keeps the plan",
         test_malformed_document_keeps_plan},
    };

    return RUN_SUITE("plan holder", CASES);
}
