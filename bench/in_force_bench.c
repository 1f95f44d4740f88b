/// Measures one control instance with many subscribers over real links on the
/// loopback interface: the time until a change is in force at each of them,
/// and the cost of idle time and of one change.
///
/// All of them share one thread, so the times include the work of every
/// subscriber.

#include <sodium.h>

#include "bench.h"
#include "savoryledge/coordination/control.h"
#include "savoryledge/coordination/replica.h"
#include "savoryledge/transport/link.h"

enum {
    SUBSCRIBERS_MAX = 400,
    CHANGES = 50,
    LOOP_WAIT_US = 1000,
    TICK_US = 20 * 1000,
    SETTLE_US = 1500 * 1000,
    IDLE_US = 3000 * 1000,
    WAIT_LIMIT_US = 60 * 1000 * 1000,
    /// Number of the operator's link, below the link numbers of the transport.
    OPERATOR_LINK = 1 << 30,
};

struct site;

/// A node with its links: the control instance, or a subscriber.
struct site_node {
    struct SlLinksHandler owner;
    struct SlSink sink;
    struct site *site;
    struct SlLinks *links;
    struct SlReplica *replica;
    struct SlControl *control;
    char name[SL_NAME_BYTES];
    uint32_t roles;
    uint64_t reached_us;
};

struct site {
    struct SlLoop *loop;
    struct SlAddress address;
    struct SlStorage *storage;
    struct site_node control;
    struct site_node *subscribers;
    uint32_t count;
    uint64_t results;
};

static void
send_message(struct SlSink *sink, uint64_t link,
             const struct SlMessage *message)
{
    struct site_node *node =
        (struct site_node *)((char *)sink - offsetof(struct site_node, sink));
    struct SlBuffer buffer = {.bytes = NULL};

    if (link == OPERATOR_LINK) {
        node->site->results += message->kind == SL_MESSAGE_RESULT &&
                               message->result.result.status == SL_OK;
        return;
    }
    if (SlMessage_Encode(message, &buffer) == SL_OK) {
        (void)SlLinks_Send(node->links, link, buffer.bytes,
                           (uint32_t)buffer.length_bytes);
    }
    SlBuffer_Release(&buffer);
}

static void
dial_node(struct SlSink *sink, uint64_t node_id, const struct SlAddress *to)
{
    struct site_node *node =
        (struct site_node *)((char *)sink - offsetof(struct site_node, sink));

    (void)SlLinks_Dial(node->links, node_id, to);
}

static void
drop_link(struct SlSink *sink, uint64_t node_id)
{
    struct site_node *node =
        (struct site_node *)((char *)sink - offsetof(struct site_node, sink));

    SlLinks_StopDialling(node->links, node_id);
}

static const struct SlSinkType NODE_SINK = {
    .send_to_caller = SlSink_IgnorePacket,
    .send_to_upstream = SlSink_IgnorePacket,
    .send_tunnel = SlSink_IgnoreTunnel,
    .send_message = send_message,
    .dial_node = dial_node,
    .drop_node = drop_link,
    .log_event = SlSink_IgnoreLogEvent,
};

static void
handle_input(struct site_node *node, struct SlInput input)
{
    input.now_us = SlClock_Monotonic();
    input.wall_us = SlClock_Wall();
    if (node->control != NULL) {
        SlControl_HandleInput(node->control, &node->sink, &input);
    }
    else {
        SlReplica_HandleInput(node->replica, &node->sink, &input);
    }
}

static void
links_up(struct SlLinksHandler *owner, uint64_t link, uint64_t dialled,
         const struct SlAddress *remote)
{
    struct site_node *node = (struct site_node *)owner;
    struct SlMessage message = {.kind = SL_MESSAGE_HELLO,
                                .hello = {.roles = node->roles}};

    (void)dialled;
    (void)remote;
    memcpy(message.hello.name, node->name, sizeof(node->name));
    send_message(&node->sink, link, &message);
}

static void
receive_hello(struct site_node *node, uint64_t link,
              const struct SlHello *hello)
{
    struct SlPeer peer = {.node_id = SlNode_Id(hello->name),
                          .roles = hello->roles};

    memcpy(peer.name, hello->name, sizeof(peer.name));
    handle_input(node, (struct SlInput){.kind = SL_INPUT_LINK_UP,
                                        .link = link,
                                        .peer = &peer});
}

static void
links_message(struct SlLinksHandler *owner, uint64_t link,
              const uint8_t *bytes, uint32_t length_bytes)
{
    struct site_node *node = (struct site_node *)owner;
    struct SlMessage message;

    if (SlMessage_Decode(bytes, length_bytes, &message) != SL_OK) {
        return;
    }
    if (message.kind == SL_MESSAGE_HELLO) {
        receive_hello(node, link, &message.hello);
    }
    else {
        handle_input(node, (struct SlInput){.kind = SL_INPUT_MESSAGE,
                                            .link = link,
                                            .message = &message});
    }
    SlMessage_Release(&message);
}

static void
links_down(struct SlLinksHandler *owner, uint64_t link, enum SlStatus reason)
{
    struct SlPeer peer = {.node_id = 0};

    (void)reason;
    handle_input((struct site_node *)owner,
                 (struct SlInput){
                     .kind = SL_INPUT_LINK_DOWN, .link = link, .peer = &peer});
}

static void
links_refused(struct SlLinksHandler *owner, const struct SlAddress *remote,
              enum SlStatus reason)
{
    (void)owner;
    (void)remote;
    (void)reason;
}

static const struct SlLinksHandlerType NODE_LINKS = {
    .on_link_up = links_up,
    .on_message = links_message,
    .on_link_down = links_down,
    .on_refused = links_refused,
};

static void
open_node(struct site *site, struct site_node *node,
          const struct SlKeyring *keyring)
{
    struct SlLinksOptions options = {
        .loop = site->loop, .handler = &node->owner, .keyring = *keyring};

    node->owner.type = &NODE_LINKS;
    node->sink.type = &NODE_SINK;
    node->site = site;
    node->links = SlLinks_Create(&options);
    assert(node->links != NULL);
}

static void
open_control(struct site *site, const struct SlKeyring *keyring)
{
    struct SlControlOptions options = {
        .core = {.name = "c1", .roles = SL_ROLE_CONTROL, .seed = 5},
        .member_count = 1,
        .bootstrap = true,
        .storage = SlStorage_CreateMemory(SlNode_Id("c1"), 1)};
    struct SlAddress any = bench_parse_address("127.0.0.1:0");
    enum SlStatus status;

    snprintf(site->control.name, SL_NAME_BYTES, "c1");
    site->control.roles = SL_ROLE_CONTROL;
    open_node(site, &site->control, keyring);
    status = SlLinks_Listen(site->control.links, &any, &site->address, NULL);
    assert(status == SL_OK);
    options.members[0] =
        (struct SlControlMember){.node_id = SlNode_Id("c1"),
                                 .link_address = site->address,
                                 .is_voter = true};
    snprintf(options.members[0].name, SL_NAME_BYTES, "c1");
    site->storage = options.storage;
    status = SlControl_Create(&options, SlClock_Monotonic(),
                              &site->control.control, NULL);
    assert(status == SL_OK);
    (void)status;
}

static void
open_subscriber(struct site *site, struct site_node *node, uint32_t number,
                const struct SlKeyring *keyring)
{
    struct SlReplicaOptions options = {
        .core = {.roles = SL_ROLE_ENTRY, .seed = number},
        .control_count = 1,
        .control_ids = {SlNode_Id("c1")},
        .control = {site->address},
        .announce = {.kind = SL_KIND_NODE,
                     .node = {.roles = SL_ROLE_ENTRY, .zone = "a"}}};

    snprintf(node->name, SL_NAME_BYTES, "entry-%u", number);
    memcpy(options.core.name, node->name, SL_NAME_BYTES);
    memcpy(options.announce.name, node->name, SL_NAME_BYTES);
    options.announce.node.node_id = SlNode_Id(node->name);
    options.announce.node.boot = number + 1;
    options.announce.node.link = site->address;
    options.announce.node.tunnel = site->address;
    node->roles = SL_ROLE_ENTRY;
    open_node(site, node, keyring);
    node->replica = SlReplica_Create(&options, SlClock_Monotonic());
    assert(node->replica != NULL);
}

static void
tick_node(struct site_node *node)
{
    handle_input(node, (struct SlInput){.kind = SL_INPUT_TICK});
    SlLinks_Tick(node->links, SlClock_Monotonic());
}

/// Runs all nodes for for_us, or until every subscriber has the version.
/// Returns true when they have it; never when the index of the version is 0.
static bool
run_until(struct site *site, uint64_t for_us, struct SlVersion until)
{
    uint64_t start_us = SlClock_Monotonic();
    uint64_t tick_us = 0;

    while (SlClock_Monotonic() - start_us < for_us) {
        uint64_t now_us = SlClock_Monotonic();
        bool is_tick_due = now_us - tick_us >= TICK_US;
        uint32_t reached = 0;

        SlLoop_RunOnce(site->loop, LOOP_WAIT_US);
        if (is_tick_due) {
            tick_us = now_us;
            tick_node(&site->control);
        }
        handle_input(&site->control,
                     (struct SlInput){.kind = SL_INPUT_BATCH_END});
        SlLinks_Flush(site->control.links);
        for (uint32_t i = 0; i < site->count; i++) {
            struct site_node *node = &site->subscribers[i];
            struct SlVersion version =
                SlConfig_Version(SlReplica_Config(node->replica));

            if (is_tick_due) {
                tick_node(node);
            }
            SlLinks_Flush(node->links);
            if (until.index != 0 && SlVersion_Compare(version, until) >= 0) {
                reached++;
                node->reached_us =
                    node->reached_us ? node->reached_us : SlClock_Monotonic();
            }
        }
        if (until.index != 0 && reached == site->count) {
            return true;
        }
    }
    return false;
}

static void
connect_operator(struct site *site)
{
    struct SlPeer peer = {.node_id = SlNode_Id("operator"),
                          .name = "operator"};

    handle_input(&site->control, (struct SlInput){.kind = SL_INPUT_LINK_UP,
                                                  .link = OPERATOR_LINK,
                                                  .peer = &peer});
}

/// Proposes one change and returns its version after it was applied.
static struct SlVersion
propose_change(struct site *site, uint32_t number)
{
    uint64_t done = site->results;
    struct SlMessage message = {
        .kind = SL_MESSAGE_CHANGE,
        .change = {
            .client = 77,
            .request = number + 1,
            .base = SlControl_AppliedVersion(site->control.control),
            .verb = SL_VERB_CREATE,
            .object = {.kind = SL_KIND_GROUP, .selector = "app=workroom"}}};

    snprintf(message.change.object.name, SL_NAME_BYTES, "group-%u", number);
    handle_input(&site->control, (struct SlInput){.kind = SL_INPUT_MESSAGE,
                                                  .link = OPERATOR_LINK,
                                                  .message = &message});
    handle_input(&site->control, (struct SlInput){.kind = SL_INPUT_BATCH_END});
    if (site->results != done + 1) {
        printf("in_force_rejected_%u 1 changes\n", site->count);
        exit(1);
    }
    return SlControl_AppliedVersion(site->control.control);
}

/// Returns the bytes that all subscribers have sent and received.
static uint64_t
traffic_bytes(const struct site *site)
{
    uint64_t sum = 0;

    for (uint32_t i = 0; i < site->count; i++) {
        struct SlLinksCounters counters;

        SlLinks_Counters(site->subscribers[i].links, &counters);
        sum += counters.received_bytes + counters.sent_bytes;
    }
    return sum;
}

static void
measure_changes(struct site *site)
{
    static double times_ms[CHANGES * SUBSCRIBERS_MAX];
    size_t count = 0;
    uint64_t before = traffic_bytes(site);
    uint64_t started_us = SlClock_Monotonic();

    for (uint32_t i = 0; i < CHANGES; i++) {
        uint64_t start_us = SlClock_Monotonic();
        struct SlVersion version = propose_change(site, i);

        for (uint32_t j = 0; j < site->count; j++) {
            site->subscribers[j].reached_us = 0;
        }
        if (!run_until(site, WAIT_LIMIT_US, version)) {
            printf("in_force_failed_%u 1 runs\n", site->count);
            return;
        }
        for (uint32_t j = 0; j < site->count; j++) {
            times_ms[count++] =
                (double)(site->subscribers[j].reached_us - start_us) / 1000;
        }
    }
    qsort(times_ms, count, sizeof(times_ms[0]), bench_compare);
    printf("in_force_p50_ms_%u %.3f ms\n", site->count, times_ms[count / 2]);
    printf("in_force_p99_ms_%u %.3f ms\n", site->count,
           times_ms[count - 1 - count / 100]);
    printf("in_force_change_bytes_%u %.0f bytes\n", site->count,
           (double)(traffic_bytes(site) - before) / CHANGES / site->count);
    printf("in_force_run_ms_%u %.0f ms\n", site->count,
           (double)(SlClock_Monotonic() - started_us) / 1000);
}

static void
measure_idle(struct site *site)
{
    uint64_t before = traffic_bytes(site);
    uint64_t start_us = SlClock_Monotonic();
    uint64_t cpu_ns = bench_cpu_ns();
    double seconds;

    (void)run_until(site, IDLE_US, (struct SlVersion){.index = 0});
    seconds = (double)(SlClock_Monotonic() - start_us) / 1e6;
    printf("control_idle_bytes_per_s_%u %.0f bytes/s\n", site->count,
           (double)(traffic_bytes(site) - before) / seconds / site->count);
    printf("control_idle_cpu_us_per_s_%u %.1f us/s\n", site->count,
           (double)(bench_cpu_ns() - cpu_ns) / 1000 / seconds / site->count);
}

static void
measure(uint32_t count, const struct SlKeyring *keyring)
{
    struct site *site = calloc(1, sizeof(*site));
    struct SlVersion joined;

    assert(site != NULL);
    site->loop = SlLoop_Create();
    site->subscribers = calloc(count, sizeof(*site->subscribers));
    open_control(site, keyring);
    for (uint32_t i = 0; i < count; i++) {
        open_subscriber(site, &site->subscribers[i], i, keyring);
    }
    site->count = count;
    connect_operator(site);
    (void)run_until(site, SETTLE_US, (struct SlVersion){.index = 0});
    joined = SlControl_AppliedVersion(site->control.control);
    if (!run_until(site, WAIT_LIMIT_US, joined) ||
        SlConfig_ObjectCount(SlControl_Config(site->control.control),
                             SL_KIND_NODE) < count) {
        printf("in_force_joined_%u %u nodes\n", count,
               SlConfig_ObjectCount(SlControl_Config(site->control.control),
                                    SL_KIND_NODE));
    }
    measure_changes(site);
    measure_idle(site);
    for (uint32_t i = 0; i < count; i++) {
        SlLinks_Destroy(site->subscribers[i].links);
        SlReplica_Destroy(site->subscribers[i].replica);
    }
    SlLinks_Destroy(site->control.links);
    SlControl_Destroy(site->control.control);
    SlStorage_Destroy(site->storage);
    SlLoop_Destroy(site->loop);
    free(site->subscribers);
    free(site);
}

int
main(void)
{
    static const uint32_t COUNTS[] = {50, 100, 200, 400};
    uint8_t secret[SL_KEY_BYTES] = {1};
    struct SlKeyring keyring = {.count = 1};

    if (sodium_init() < 0) {
        return 1;
    }
    SlKey_FromSecret(secret, &keyring.items[0]);
    setvbuf(stdout, NULL, _IOLBF, 0);
    for (size_t i = 0; i < sizeof(COUNTS) / sizeof(COUNTS[0]); i++) {
        measure(COUNTS[i], &keyring);
    }
    return 0;
}
