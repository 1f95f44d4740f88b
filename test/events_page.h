#ifndef SAVORYLEDGE_TEST_EVENTS_PAGE_H
#define SAVORYLEDGE_TEST_EVENTS_PAGE_H

/// Writes docs/EVENTS.md from the catalogue in the code.

#include <stdio.h>

#include "savoryledge/common/event.h"

enum {
    EVENTS_IN_GROUP = 100,
};

static inline const char *
events_group(uint32_t number)
{
    switch (number / EVENTS_IN_GROUP) {
    case 11:
        return "Entry";
    case 12:
        return "Agent";
    case 13:
        return "Control";
    case 14:
        return "Configuration at entries and agents";
    case 15:
        return "Links, datagrams and security";
    case 16:
        return "The process";
    default:
        return "Others";
    }
}

static inline const char *
events_level(enum SlLevel level)
{
    switch (level) {
    case SL_LEVEL_ERROR:
        return "error";
    case SL_LEVEL_WARNING:
        return "warning";
    case SL_LEVEL_NOTICE:
        return "notice";
    case SL_LEVEL_INFO:
        return "info";
    case SL_LEVEL_DEBUG:
        return "debug";
    }
    return "unknown";
}

static inline void
events_write_numbers(FILE *out, const struct SlEventRow *row)
{
    if (row->value_name != NULL) {
        fprintf(out, "`%s`", row->value_name);
    }
    if (row->limit_name != NULL) {
        fprintf(out, "%s`%s`", row->value_name ? ", " : "", row->limit_name);
    }
}

static inline void
events_write_row(FILE *out, const struct SlEventRow *row)
{
    fprintf(out, "| SL%d | `%s` | %s | ", row->number, row->name,
            events_level(row->level));
    events_write_numbers(out, row);
    fprintf(out, " | %s |\n", row->meaning);
}

static inline void
events_write_head(FILE *out)
{
    fputs("# Events\n\n"
          "Made by `build/example/print_events > docs/EVENTS.md`; a test "
          "holds this page\nagainst the code.\n\n"
          "A line of the log:\n\n"
          "```\n<6>SL1200 admit t=12.000345 flow=tcp:192.0.2.1:4000>"
          "198.51.100.7:80 service=workroom node=workroom-3 peer=entry-1 "
          "reason=home open_flows=17 limit_flows=2000 version=7.412\n```\n\n"
          "`<6>` is the syslog level (3 error, 4 warning, 5 notice, 6 info, "
          "7 debug), SL1200\nthe event's number, `t` the process's monotonic "
          "time in seconds. Then come, each\nonly where it applies: `flow` "
          "(protocol:caller>service), `service`, `node` (the\nprocess chosen, "
          "meant or at fault), `peer` (the process that sent what led to "
          "it),\n`reason`, the event's own numbers, and `version`: term and "
          "index of the\nconfiguration by which it was decided.\n",
          out);
}

static inline void
events_write_page(FILE *out)
{
    size_t count;
    const struct SlEventRow *rows = SlEvent_Rows(&count);
    uint32_t group = 0;

    events_write_head(out);
    for (size_t i = 0; i < count; i++) {
        if (rows[i].number / EVENTS_IN_GROUP != group) {
            group = rows[i].number / EVENTS_IN_GROUP;
            fprintf(out,
                    "\n## %s\n\n| number | name | level | numbers | meaning "
                    "|\n| --- | --- | --- | --- | --- |\n",
                    events_group(rows[i].number));
        }
        events_write_row(out, &rows[i]);
    }
}

#endif
