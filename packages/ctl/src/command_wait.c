#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "ctl.h"
#include "savoryledge/transport/loop.h"

/// The command wait: waits until a version is in force at every process that
/// control considers reachable. Each control instance knows only the versions
/// that its own subscribers hold, so all members are queried.

enum {
    NODES_MAX = 8192,
    /// Answer timeout of one member. It is short, so that a silent member does
    /// not delay the queries to the other members.
    MEMBER_TIMEOUT_US = 500 * 1000,
    /// Pause between two queries of the whole cluster.
    POLL_PAUSE_NS = 100 * 1000 * 1000,
};

struct node_version {
    char name[SL_NAME_BYTES];
    /// The newest version that the process reported to a control instance.
    struct SlVersion held_version;
};

/// Members, reachable processes and versions, as control reports them.
struct cluster {
    uint32_t member_count;
    struct SlAddress members[SL_CTL_ADDRESSES_MAX];
    /// The newest version that a contacted control instance has applied.
    struct SlVersion latest;
    uint32_t node_count;
    struct node_version *nodes;
};

static void
add_member(struct cluster *cluster, const char *value)
{
    const char *address = strchr(value, '@');
    char text[SL_ADDRESS_TEXT_BYTES];
    size_t length;

    if (address == NULL || cluster->member_count == SL_CTL_ADDRESSES_MAX) {
        return;
    }
    length = strcspn(address + 1, " ");
    snprintf(text, sizeof(text), "%.*s", (int)length, address + 1);
    if (SlAddress_Parse(text, &cluster->members[cluster->member_count]) ==
        SL_OK) {
        cluster->member_count++;
    }
}

static void
read_status_line(void *context, const char *key, const char *value)
{
    struct cluster *cluster = context;
    struct SlVersion version;

    if (strcmp(key, "control_member") == 0) {
        add_member(cluster, value);
    }
    if (strcmp(key, "control_applied") == 0 &&
        SlCtl_ParseVersion(value, &version) &&
        SlVersion_Compare(version, cluster->latest) > 0) {
        cluster->latest = version;
    }
}

static enum SlStatus
on_status(void *context, const struct SlMessage *answer, bool *done)
{
    struct cluster *cluster = context;

    if (answer == NULL) {
        cluster->member_count = 0;
    }
    else if (answer->kind == SL_MESSAGE_TEXT) {
        *done = true;
        SlCtl_ForEachLine(&answer->text, read_status_line, cluster);
        return cluster->member_count > 0 ? SL_OK : SL_AGAIN;
    }
    return SL_OK;
}

static enum SlStatus
on_node(void *context, const struct SlMessage *answer, bool *done)
{
    struct cluster *cluster = context;
    const struct SlObject *object;

    if (answer == NULL) {
        cluster->node_count = 0;
        return SL_OK;
    }
    if (answer->kind != SL_MESSAGE_OBJECT) {
        *done = true;
        return SL_AGAIN;
    }
    if (answer->object.end) {
        *done = true;
        return SL_OK;
    }
    object = &answer->object.object;
    if (!object->node.unreachable && cluster->node_count < NODES_MAX) {
        struct node_version *node = &cluster->nodes[cluster->node_count++];

        *node = (struct node_version){.held_version = {.term = 0}};
        memcpy(node->name, object->name, SL_NAME_BYTES);
    }
    return SL_OK;
}

static void
read_held_version(void *context, const char *key, const char *value)
{
    static const char PREFIX[] = "holds.";
    struct cluster *cluster = context;
    struct SlVersion version;

    if (strncmp(key, PREFIX, sizeof(PREFIX) - 1) != 0 ||
        !SlCtl_ParseVersion(value, &version)) {
        return;
    }
    key += sizeof(PREFIX) - 1;
    for (uint32_t i = 0; i < cluster->node_count; i++) {
        struct node_version *node = &cluster->nodes[i];

        if (strcmp(node->name, key) == 0 &&
            SlVersion_Compare(version, node->held_version) > 0) {
            node->held_version = version;
        }
    }
}

static enum SlStatus
on_held_versions(void *context, const struct SlMessage *answer, bool *done)
{
    if (answer != NULL && answer->kind == SL_MESSAGE_TEXT) {
        *done = true;
        SlCtl_ForEachLine(&answer->text, read_held_version, context);
    }
    return SL_OK;
}

static enum SlStatus
query_cluster(struct SlCtl *ctl, struct cluster *cluster)
{
    struct SlMessage status = {.kind = SL_MESSAGE_QUERY,
                               .query = {.query = SL_QUERY_STATUS}};
    struct SlMessage nodes = {
        .kind = SL_MESSAGE_QUERY,
        .query = {.query = SL_QUERY_OBJECTS, .kind = SL_KIND_NODE}};
    struct SlMessage in_force = {.kind = SL_MESSAGE_QUERY,
                                 .query = {.query = SL_QUERY_IN_FORCE}};
    enum SlStatus outcome;

    outcome = SlCtl_SendRequest(ctl, &nodes, on_node, cluster);
    if (outcome == SL_OK) {
        outcome = SlCtl_SendRequest(ctl, &status, on_status, cluster);
    }
    if (outcome != SL_OK) {
        return outcome;
    }
    for (uint32_t i = 0; i < cluster->member_count; i++) {
        SlCtl_SendRequestTo(ctl, &cluster->members[i], &in_force,
                            on_held_versions, cluster);
    }
    return SL_OK;
}

/// Returns the first process whose version is older than wanted; NULL when
/// no process has an older version.
static const struct node_version *
find_outdated_node(const struct cluster *cluster, struct SlVersion wanted)
{
    for (uint32_t i = 0; i < cluster->node_count; i++) {
        if (SlVersion_Compare(cluster->nodes[i].held_version, wanted) < 0) {
            return &cluster->nodes[i];
        }
    }
    return NULL;
}

static void
print_outcome(const struct SlCtl *ctl, const struct cluster *cluster,
              struct SlVersion wanted, const struct node_version *outdated)
{
    const char *format =
        ctl->options.json
            ? "{\"version\":\"%llu.%llu\",\"nodes\":%u,\"in_force\":%s,"
              "\"behind\":\"%s\"}\n"
            : "version=%llu.%llu nodes=%u in_force=%s behind=%s\n";

    printf(format, (unsigned long long)wanted.term,
           (unsigned long long)wanted.index, cluster->node_count,
           outdated == NULL ? "true" : "false",
           outdated ? outdated->name : "");
}

static void
pause_between_polls(void)
{
    struct timespec pause = {.tv_nsec = POLL_PAUSE_NS};

    nanosleep(&pause, NULL);
}

static int
wait_until_in_force(struct SlCtl *ctl, struct cluster *cluster,
                    struct SlVersion wanted)
{
    uint64_t deadline_us = SlClock_Monotonic() + ctl->options.timeout_us;
    const struct node_version *outdated = NULL;
    enum SlStatus status;

    for (;;) {
        status = query_cluster(ctl, cluster);
        if (wanted.index == 0) {
            wanted = cluster->latest;
        }
        outdated = find_outdated_node(cluster, wanted);
        if (status == SL_OK && cluster->node_count > 0 && outdated == NULL) {
            print_outcome(ctl, cluster, wanted, NULL);
            return SL_EXIT_SUCCESS;
        }
        if (SlClock_Monotonic() >= deadline_us) {
            break;
        }
        pause_between_polls();
    }
    if (status != SL_OK) {
        return SlCtl_ReportUnreachable(status);
    }
    print_outcome(ctl, cluster, wanted, outdated);
    return SL_EXIT_FAILED;
}

int
SlCtl_Wait(struct SlCtl *ctl)
{
    const char *version_text =
        ctl->options.argument_count > 0 ? ctl->options.arguments[0] : "latest";
    struct cluster cluster = {.node_count = 0};
    struct SlVersion wanted = {.term = 0};
    int code;

    if (strcmp(version_text, "latest") != 0 &&
        !SlCtl_ParseVersion(version_text, &wanted)) {
        return SlCtl_ReportUsageError(
            version_text, "neither a version TERM.INDEX nor latest");
    }
    ctl->attempt_timeout_us = MEMBER_TIMEOUT_US;
    cluster.nodes = calloc(NODES_MAX, sizeof(*cluster.nodes));
    if (cluster.nodes == NULL) {
        return SL_EXIT_FAILED;
    }
    code = wait_until_in_force(ctl, &cluster, wanted);
    free(cluster.nodes);
    return code;
}
