/* The catalogue of events: in order, each number and name once, and the page
   for readers is what the code says. Run from the project's root. */

#include <stdlib.h>
#include <string.h>

#include "events_page.h"
#include "test.h"

enum {
    PAGE_MAX_BYTES = 1 << 20,
};

static void
test_rows_in_order_and_unique(void)
{
    size_t count;
    const struct SlEventRow *rows = SlEvent_Rows(&count);

    for (size_t i = 0; i < count; i++) {
        CU_ASSERT_PTR_EQUAL(SlEvent_Row(rows[i].number), &rows[i]);
        CU_ASSERT_EQUAL(strspn(rows[i].name, "abcdefghijklmnopqrstuvwxyz_"),
                        strlen(rows[i].name));
        for (size_t j = 0; j < i; j++) {
            CU_ASSERT(rows[j].number < rows[i].number);
            CU_ASSERT_STRING_NOT_EQUAL(rows[j].name, rows[i].name);
        }
    }
    CU_ASSERT_PTR_NULL(SlEvent_Row(SL_EVENT_NONE));
}

static void
test_page_says_what_the_code_says(void)
{
    char *page = calloc(1, PAGE_MAX_BYTES);
    char *made = NULL;
    size_t made_bytes;
    FILE *file = fopen("docs/EVENTS.md", "r");
    FILE *stream = open_memstream(&made, &made_bytes);

    CU_ASSERT_PTR_NOT_NULL_FATAL(page);
    CU_ASSERT_PTR_NOT_NULL_FATAL(file);
    CU_ASSERT_PTR_NOT_NULL_FATAL(stream);
    CU_ASSERT(fread(page, 1, PAGE_MAX_BYTES - 1, file) > 0);
    events_write_page(stream);
    fclose(stream);
    fclose(file);
    CU_ASSERT_STRING_EQUAL(page, made);
    free(made);
    free(page);
}

/* A line is cut, never overrun, whatever its fields hold. */
static void
test_long_fields_are_cut(void)
{
    char longest[2 * SL_EVENT_TEXT_BYTES];
    char text[SL_EVENT_TEXT_BYTES];
    struct SlEvent event = {.number = SL_EVENT_ADMIT,
                            .now_us = 12000345,
                            .service = longest,
                            .node = longest,
                            .value = INT64_MIN,
                            .limit = INT64_MAX};

    memset(longest, 'x', sizeof(longest) - 1);
    longest[sizeof(longest) - 1] = '\0';
    SlEvent_Format(&event, text);
    CU_ASSERT_EQUAL(strlen(text), SL_EVENT_TEXT_BYTES - 1);
    event.service = "workroom";
    event.node = NULL;
    SlEvent_Format(&event, text);
    CU_ASSERT_STRING_EQUAL(text,
                           "<6>SL1200 admit t=12.000345 service=workroom "
                           "open_flows=-9223372036854775808 "
                           "limit_flows=9223372036854775807 version=0.0");
}

int
main(void)
{
    static const struct test_case CASES[] = {
        {"rows in order and unique", test_rows_in_order_and_unique},
        {"page says what the code says", test_page_says_what_the_code_says},
        {"long fields are cut", test_long_fields_are_cut},
    };

    return RUN_SUITE("events", CASES);
}
