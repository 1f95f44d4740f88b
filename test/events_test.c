/* Tests of the catalogue of events: it is ordered by number, each number and
   name occurs once, and docs/EVENTS.md matches it. Run from the project's
   root. */

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
test_page_matches_catalogue(void)
{
    char *page = calloc(1, PAGE_MAX_BYTES);
    char *generated = NULL;
    size_t generated_bytes;
    FILE *file = fopen("docs/EVENTS.md", "r");
    FILE *stream = open_memstream(&generated, &generated_bytes);

    CU_ASSERT_PTR_NOT_NULL_FATAL(page);
    CU_ASSERT_PTR_NOT_NULL_FATAL(file);
    CU_ASSERT_PTR_NOT_NULL_FATAL(stream);
    CU_ASSERT(fread(page, 1, PAGE_MAX_BYTES - 1, file) > 0);
    events_write_page(stream);
    fclose(stream);
    fclose(file);
    CU_ASSERT_STRING_EQUAL(page, generated);
    free(generated);
    free(page);
}

/* A line that is too long is truncated and never written beyond its buffer. */
static void
test_long_fields_are_truncated(void)
{
    char long_field[2 * SL_EVENT_TEXT_BYTES];
    char text[SL_EVENT_TEXT_BYTES];
    struct SlEvent event = {.number = SL_EVENT_ADMIT,
                            .now_us = 12000345,
                            .service = long_field,
                            .node = long_field,
                            .value = INT64_MIN,
                            .limit = INT64_MAX};

    memset(long_field, 'x', sizeof(long_field) - 1);
    long_field[sizeof(long_field) - 1] = '\0';
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

/* A text from outside, such as a name in a configuration, cannot end a log
   line and begin one of its own. */
static void
test_control_characters_are_replaced(void)
{
    char text[SL_EVENT_TEXT_BYTES];
    struct SlEvent event = {.number = SL_EVENT_CALL_REFUSED,
                            .node = "a\r\n<6>SL1602 stopped",
                            .reason = "\x1b[2J\x7f\xc3\xa4\t"};

    SlEvent_Format(&event, text);
    CU_ASSERT_PTR_NOT_NULL(
        strstr(text, " node=a?"
                     "?<6>SL1602 stopped reason=?[2J?\xc3\xa4? "));
}

int
main(void)
{
    static const struct test_case CASES[] = {
        {"rows of events are in order and unique",
         test_rows_in_order_and_unique},
        {"the page of events matches the catalogue",
         test_page_matches_catalogue},
        {"long fields of an event are truncated",
         test_long_fields_are_truncated},
        {"control characters are replaced",
         test_control_characters_are_replaced},
    };

    return RUN_SUITE("events", CASES);
}
