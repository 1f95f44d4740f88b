/// The commands explain flow|upstream|zone|process: print from log files or
/// recordings which process decided what, when, why and at which version.

#include "explain.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "ctl.h"

enum {
    SENDERS_MAX = 64,
};

typedef bool
event_filter(const struct SlTimelineEvent *event, const char *name);

static bool
has_field_value(const struct SlTimelineEvent *event, const char *key,
                const char *value)
{
    const char *found = SlTimelineEvent_FindField(event, key);

    return found != NULL && strcmp(found, value) == 0;
}

/// Matches events of a flow. name may be a part of the flow key, such as the
/// address and port of the caller.
static bool
is_about_flow(const struct SlTimelineEvent *event, const char *name)
{
    const char *flow = SlTimelineEvent_FindField(event, "flow");

    return flow != NULL && strstr(flow, name) != NULL;
}

/// Matches state changes of an upstream, reported by its own agent or by other
/// processes, but not the events of its flows.
static bool
is_about_upstream(const struct SlTimelineEvent *event, const char *name)
{
    switch (event->event_number) {
    case SL_EVENT_LIMIT:
    case SL_EVENT_COLD:
    case SL_EVENT_ZONE_LEFT:
    case SL_EVENT_DRAINED:
    case SL_EVENT_RETURN_PATH:
    case SL_EVENT_CUT_OFF:
    case SL_EVENT_JOINED:
        return strcmp(event->process, name) == 0;
    case SL_EVENT_UPSTREAM_SUSPECT:
    case SL_EVENT_UPSTREAM_CLEARED:
    case SL_EVENT_UPSTREAM_SLOW:
    case SL_EVENT_COMMITTED:
    case SL_EVENT_REJECTED:
    case SL_EVENT_ANNOUNCED:
    case SL_EVENT_UNREACHABLE:
    case SL_EVENT_REACHABLE:
        return has_field_value(event, "node", name);
    default:
        return false;
    }
}

/// Matches changes of a zone, and ZONE_LEFT of every agent: that event is not
/// filtered by zone.
static bool
is_about_zone(const struct SlTimelineEvent *event, const char *name)
{
    return (event->event_number == SL_EVENT_COMMITTED &&
            has_field_value(event, "node", name)) ||
           event->event_number == SL_EVENT_ZONE_LEFT;
}

/// Matches events of a process as such, which are numbered from ELECTED on;
/// events of entries and agents have lower numbers.
static bool
is_about_process(const struct SlTimelineEvent *event, const char *name)
{
    return strcmp(event->process, name) == 0 &&
           event->event_number >= SL_EVENT_ELECTED;
}

static size_t
print_matching_events(const struct SlTimeline *timeline,
                      event_filter *is_match, const char *name)
{
    size_t printed_count = 0;

    for (size_t i = 0; i < timeline->event_count; i++) {
        if (is_match(&timeline->events[i], name)) {
            SlTimelineEvent_Print(stdout, &timeline->events[i]);
            printed_count++;
        }
    }
    return printed_count;
}

static size_t
count_events(const struct SlTimeline *timeline, const char *process,
             uint32_t event_number)
{
    size_t count = 0;

    for (size_t i = 0; i < timeline->event_count; i++) {
        count += timeline->events[i].event_number == event_number &&
                 strcmp(timeline->events[i].process, process) == 0;
    }
    return count;
}

static void
print_upstream_totals(const struct SlTimeline *timeline, const char *name)
{
    printf("In total, %s admitted %zu flows, passed on %zu, refused %zu and "
           "reset %zu; %zu flows ended.\n",
           name, count_events(timeline, name, SL_EVENT_ADMIT),
           count_events(timeline, name, SL_EVENT_PASS_ON),
           count_events(timeline, name, SL_EVENT_REFUSE),
           count_events(timeline, name, SL_EVENT_RESET),
           count_events(timeline, name, SL_EVENT_FLOW_END));
}

/// Returns the time at which the first hold of the zone was committed, or 0
/// when the events contain none.
static uint64_t
find_zone_hold_us(const struct SlTimeline *timeline, const char *zone)
{
    for (size_t i = 0; i < timeline->event_count; i++) {
        const struct SlTimelineEvent *event = &timeline->events[i];

        if (event->event_number == SL_EVENT_COMMITTED &&
            has_field_value(event, "node", zone) &&
            has_field_value(event, "reason", "hold")) {
            return event->time_us;
        }
    }
    return 0;
}

/// Returns the time at which a hold of the zone was first released after
/// hold_us, or UINT64_MAX when the events contain no release.
static uint64_t
find_zone_release_us(const struct SlTimeline *timeline, const char *zone,
                     uint64_t hold_us)
{
    for (size_t i = 0; i < timeline->event_count; i++) {
        const struct SlTimelineEvent *event = &timeline->events[i];

        if (event->time_us > hold_us &&
            event->event_number == SL_EVENT_COMMITTED &&
            has_field_value(event, "node", zone) &&
            has_field_value(event, "reason", "release")) {
            return event->time_us;
        }
    }
    return UINT64_MAX;
}

/// Returns the process name with this node id, if any event is of that
/// process.
static const char *
find_process_name(const struct SlTimeline *timeline, uint64_t node_id)
{
    for (size_t i = 0; i < timeline->event_count; i++) {
        if (SlNode_Id(timeline->events[i].process) == node_id) {
            return timeline->events[i].process;
        }
    }
    return "an unknown process";
}

struct sender {
    uint64_t node_id;
    uint64_t packet_count;
    uint64_t last_packet_us;
};

static void
print_senders(const struct SlTimeline *timeline, const struct sender *senders,
              uint32_t count, uint64_t hold_us)
{
    for (uint32_t i = 0; i < count; i++) {
        printf("After that %s still sent %" PRIu64
               " packets to the zone, the last after %.3f s.\n",
               find_process_name(timeline, senders[i].node_id),
               senders[i].packet_count,
               (double)(senders[i].last_packet_us - hold_us) / 1e6);
    }
    if (count == 0) {
        puts("After that no packet reached the zone.");
    }
}

/// Prints which processes sent packets to the zone while it was out,
/// according to the recordings of its agents.
static void
print_zone_senders(const struct SlTimeline *timeline, const char *zone)
{
    struct sender senders[SENDERS_MAX];
    uint64_t hold_us = find_zone_hold_us(timeline, zone);
    uint64_t release_us = find_zone_release_us(timeline, zone, hold_us);
    uint32_t count = 0;
    bool zone_recorded = false;

    for (size_t i = 0; i < timeline->arrival_count && hold_us != 0; i++) {
        const struct SlTimelineArrival *arrival = &timeline->arrivals[i];
        uint32_t index = 0;

        if (strcmp(arrival->zone, zone) != 0) {
            continue;
        }
        zone_recorded = true;
        if (arrival->time_us <= hold_us || arrival->time_us >= release_us) {
            continue;
        }
        while (index < count &&
               senders[index].node_id != arrival->sender_node_id) {
            index++;
        }
        if (index == count && count < SENDERS_MAX) {
            senders[count++] =
                (struct sender){.node_id = arrival->sender_node_id};
        }
        if (index < count) {
            senders[index].packet_count++;
            senders[index].last_packet_us = arrival->time_us;
        }
    }
    if (hold_us == 0) {
        printf("Zone %s was not taken out, according to these files.\n", zone);
    }
    else if (!zone_recorded) {
        puts("Only recordings of the zone's agents show which processes still "
             "sent to it; none is among these files.");
    }
    else {
        print_senders(timeline, senders, count, hold_us);
    }
}

static int
read_files(const struct SlCtlOptions *options, struct SlTimeline *timeline)
{
    for (uint32_t i = 1; i < options->argument_count; i++) {
        enum SlStatus status =
            SlTimeline_ReadFile(timeline, options->arguments[i]);

        if (status == SL_IO) {
            return SlCtl_ReportUsageError(options->arguments[i],
                                          "cannot be read");
        }
        if (status != SL_OK) {
            fprintf(stderr, "%s: read only in part: %s\n",
                    options->arguments[i], SlStatus_Name(status));
        }
    }
    SlTimeline_Sort(timeline);
    return SL_EXIT_SUCCESS;
}

static int
explain_files(struct SlCtl *ctl, event_filter *is_match,
              void (*print_summary)(const struct SlTimeline *timeline,
                                    const char *name))
{
    const char *name = ctl->options.arguments[0];
    struct SlTimeline timeline = {.event_count = 0};
    int code;

    if (name[0] == '\0') {
        return SlCtl_ReportUsageError(
            "explain", "needs a name; an empty one would match everything");
    }
    code = read_files(&ctl->options, &timeline);
    if (code == SL_EXIT_SUCCESS &&
        print_matching_events(&timeline, is_match, name) == 0) {
        fprintf(stderr, "%s: these files contain no event of it\n", name);
        code = SL_EXIT_NOT_FOUND;
    }
    if (code == SL_EXIT_SUCCESS && print_summary != NULL) {
        print_summary(&timeline, name);
    }
    SlTimeline_Release(&timeline);
    return code;
}

int
SlCtl_ExplainFlow(struct SlCtl *ctl)
{
    return explain_files(ctl, is_about_flow, NULL);
}

int
SlCtl_ExplainUpstream(struct SlCtl *ctl)
{
    return explain_files(ctl, is_about_upstream, print_upstream_totals);
}

int
SlCtl_ExplainZone(struct SlCtl *ctl)
{
    return explain_files(ctl, is_about_zone, print_zone_senders);
}

int
SlCtl_ExplainProcess(struct SlCtl *ctl)
{
    return explain_files(ctl, is_about_process, NULL);
}
