/* A replica whose messages to control instances, and links to them, take as
   long as between processes with a few hundredths of a core. */

#include <string.h>

#include "savoryledge/coordination/replica.h"
#include "test.h"

enum {
    MS = 1000,
    STEP_US = 10 * MS,
    SOURCES = 6,
    SEEDS = 3,
    QUEUE_MAX = 256,
    /// One way between two processes, and for a link: the connection and two
    /// messages of the handshake, each with its answer.
    DELAY_US = 500 * MS,
    LINK_DELAYS = 6,
    LINK_US = LINK_DELAYS * DELAY_US,
    BEAT_US = 500 * MS,
};

/// A message that is on its way, or a link that is being established.
struct event {
    uint64_t due_us;
    uint32_t source;
    bool is_link;
    bool to_replica;
    struct SlMessage message;
};

struct slow_source {
    bool is_lost;
    bool is_dialled;
    uint64_t link_due_us;
    /// Number of the link; 0 while there is none.
    uint64_t link;
    bool is_subscribed;
    uint64_t beat_due_us;
    uint64_t echo_us;
    uint64_t echo_received_us;
};

struct slow_site {
    struct SlSink sink;
    struct SlReplica *replica;
    uint64_t now_us;
    /// One way between two processes.
    uint64_t delay_us;
    uint64_t next_link;
    struct slow_source sources[SOURCES];
    uint32_t event_count;
    struct event events[QUEUE_MAX];
    uint32_t left_count;
    uint32_t cut_off_count;
};

static struct SlObject
source_object(uint32_t index)
{
    struct SlObject object = {.kind = SL_KIND_NODE,
                              .node = {.roles = SL_ROLE_CONTROL}};

    snprintf(object.name, sizeof(object.name), "c%u", (unsigned)index);
    object.node.node_id = SlNode_Id(object.name);
    return object;
}

static uint32_t
find_source(uint64_t node_id)
{
    uint32_t index = 0;

    while (index < SOURCES - 1 &&
           source_object(index).node.node_id != node_id) {
        index++;
    }
    return index;
}

static void
post(struct slow_site *site, uint32_t source, bool to_replica,
     const struct SlMessage *message)
{
    CU_ASSERT_FATAL(site->event_count < QUEUE_MAX);
    site->events[site->event_count++] =
        (struct event){.due_us = site->now_us + site->delay_us,
                       .source = source,
                       .to_replica = to_replica,
                       .message = *message};
}

static void
record_message(struct SlSink *sink, uint64_t link,
               const struct SlMessage *message)
{
    struct slow_site *site = (struct slow_site *)sink;

    for (uint32_t i = 0; i < SOURCES; i++) {
        if (site->sources[i].link == link && link != 0) {
            post(site, i, false, message);
        }
    }
}

static void
record_dial(struct SlSink *sink, uint64_t node_id, const struct SlAddress *to)
{
    struct slow_site *site = (struct slow_site *)sink;
    struct slow_source *source = &site->sources[find_source(node_id)];

    (void)to;
    source->is_dialled = true;
    source->link_due_us = site->now_us + LINK_DELAYS * site->delay_us;
}

static void
record_drop(struct SlSink *sink, uint64_t node_id)
{
    struct slow_site *site = (struct slow_site *)sink;
    struct slow_source *source = &site->sources[find_source(node_id)];

    source->is_dialled = false;
    source->link = 0;
}

static void
record_event(struct SlSink *sink, const struct SlEvent *event)
{
    struct slow_site *site = (struct slow_site *)sink;

    site->left_count += event->number == SL_EVENT_CONTROL_LEFT;
    site->cut_off_count += event->number == SL_EVENT_CUT_OFF;
}

static const struct SlSinkType SLOW_SINK = {
    .send_to_caller = SlSink_IgnorePacket,
    .send_to_upstream = SlSink_IgnorePacket,
    .send_tunnel = SlSink_IgnoreTunnel,
    .send_message = record_message,
    .dial_node = record_dial,
    .drop_node = record_drop,
    .log_event = record_event,
};

static void
handle_input(struct slow_site *site, uint64_t link, struct SlInput input)
{
    input.now_us = site->now_us;
    input.link = link;
    SlReplica_HandleInput(site->replica, &site->sink, &input);
}

static void
send_config(struct slow_site *site, uint32_t index)
{
    static struct SlObject objects[SOURCES];
    struct SlMessage message = {.kind = SL_MESSAGE_CONFIG,
                                .config = {.to = {.term = 1, .index = 5},
                                           .full = true,
                                           .first = true,
                                           .last = true,
                                           .fresh = true,
                                           .objects = objects}};

    for (uint32_t i = 0; i < SOURCES; i++) {
        objects[message.config.object_count++] = source_object(i);
    }
    post(site, index, true, &message);
}

static void
run_source(struct slow_site *site, uint32_t index)
{
    struct slow_source *source = &site->sources[index];
    struct SlObject object = source_object(index);
    struct SlPeer peer = {.node_id = object.node.node_id,
                          .roles = SL_ROLE_CONTROL};
    struct SlMessage beat = {
        .kind = SL_MESSAGE_HEARTBEAT,
        .heartbeat = {.version = {.term = 1, .index = 5},
                      .fresh = true,
                      .echo_us = source->echo_us,
                      .kept_us = site->now_us - source->echo_received_us}};

    if (source->is_lost) {
        return;
    }
    if (source->is_dialled && source->link == 0 &&
        site->now_us >= source->link_due_us) {
        *source = (struct slow_source){.is_dialled = true,
                                       .link = ++site->next_link};
        memcpy(peer.name, object.name, sizeof(peer.name));
        handle_input(
            site, source->link,
            (struct SlInput){.kind = SL_INPUT_LINK_UP, .peer = &peer});
    }
    if (source->link != 0 && source->is_subscribed &&
        site->now_us >= source->beat_due_us) {
        source->beat_due_us = site->now_us + BEAT_US;
        post(site, index, true, &beat);
    }
}

static void
deliver(struct slow_site *site, struct event *event)
{
    struct slow_source *source = &site->sources[event->source];

    if (source->link == 0) {
        return;
    }
    if (event->to_replica) {
        handle_input(site, source->link,
                     (struct SlInput){.kind = SL_INPUT_MESSAGE,
                                      .message = &event->message});
    }
    else if (event->message.kind == SL_MESSAGE_SUBSCRIBE) {
        if (event->message.subscribe.version.index < 5) {
            send_config(site, event->source);
        }
        source->is_subscribed = true;
        source->beat_due_us = site->now_us + STEP_US;
    }
    else if (event->message.kind == SL_MESSAGE_HEARTBEAT) {
        source->echo_us = event->message.heartbeat.sent_us;
        source->echo_received_us = site->now_us;
    }
}

static void
run_step(struct slow_site *site)
{
    site->now_us += STEP_US;
    handle_input(site, 0, (struct SlInput){.kind = SL_INPUT_TICK});
    for (uint32_t i = 0; i < SOURCES; i++) {
        run_source(site, i);
    }
    for (uint32_t i = 0; i < site->event_count;) {
        struct event event = site->events[i];

        if (event.due_us > site->now_us) {
            i++;
            continue;
        }
        site->event_count--;
        memmove(&site->events[i], &site->events[i + 1],
                (site->event_count - i) * sizeof(site->events[0]));
        deliver(site, &event);
    }
}

static void
create_site(struct slow_site *site, uint64_t seed)
{
    struct SlReplicaOptions options = {
        .core = {.name = "entry-1", .roles = SL_ROLE_ENTRY, .seed = seed},
        .control_count = SEEDS,
        .discover_controls = true,
        .announce = {.kind = SL_KIND_NODE, .name = "entry-1"}};

    *site =
        (struct slow_site){.sink = {.type = &SLOW_SINK}, .delay_us = DELAY_US};
    for (uint32_t i = 0; i < SEEDS; i++) {
        options.control_ids[i] = source_object(i).node.node_id;
    }
    site->replica = SlReplica_Create(&options, 0);
    CU_ASSERT_PTR_NOT_NULL_FATAL(site->replica);
}

/// Runs until the replica uses a current source, for at most 60 s. Returns the
/// time that it took.
static uint64_t
await_current(struct slow_site *site)
{
    uint64_t begin_us = site->now_us;
    uint64_t node_id;
    struct SlAddress link;

    while (site->now_us - begin_us < 60000 * MS &&
           !SlReplica_FindCurrentControl(site->replica, site->now_us, &node_id,
                                         &link)) {
        run_step(site);
    }
    return site->now_us - begin_us;
}

/// Links take 3 s, longer than the next instance waits to be dialled. A
/// process without a configuration reaches a source within three times that,
/// and one that has a configuration does when its source is lost.
static void
test_slow_links_are_reached(void)
{
    static struct slow_site site;

    for (uint64_t seed = 1; seed <= 10; seed++) {
        create_site(&site, seed);
        CU_ASSERT(await_current(&site) < 3 * LINK_US);
        for (uint32_t i = 0; i < SOURCES; i++) {
            site.sources[i].is_lost = site.sources[i].link != 0;
            if (site.sources[i].is_lost) {
                handle_input(&site, site.sources[i].link,
                             (struct SlInput){.kind = SL_INPUT_LINK_DOWN});
                site.sources[i].link = 0;
            }
        }
        for (uint32_t i = 0; i < 4000 * MS / STEP_US; i++) {
            run_step(&site);
        }
        CU_ASSERT(await_current(&site) < 3 * LINK_US);
        SlReplica_Destroy(site.replica);
    }
}

/// Confirmations arrive a round trip of 1 s after the heartbeat that they
/// answer. Once the process is current, it leaves no source and is not cut
/// off.
static void
test_late_confirmations_are_no_silence(void)
{
    static struct slow_site site;

    for (uint64_t seed = 1; seed <= 10; seed++) {
        create_site(&site, seed);
        (void)await_current(&site);
        for (uint32_t i = 0; i < 10000 * MS / STEP_US; i++) {
            run_step(&site);
        }
        site.left_count = 0;
        site.cut_off_count = 0;
        for (uint32_t i = 0; i < 60000 * MS / STEP_US; i++) {
            run_step(&site);
        }
        CU_ASSERT_EQUAL(site.left_count, 0);
        CU_ASSERT_EQUAL(site.cut_off_count, 0);
        SlReplica_Destroy(site.replica);
    }
}

/// The network becomes slow while the process runs. After 30 s it leaves no
/// source any more and is not cut off.
static void
test_network_becomes_slow(void)
{
    static struct slow_site site;

    for (uint64_t seed = 1; seed <= 10; seed++) {
        create_site(&site, seed);
        site.delay_us = MS;
        for (uint32_t i = 0; i < 60000 * MS / STEP_US; i++) {
            run_step(&site);
        }
        CU_ASSERT_EQUAL(site.cut_off_count, 0);
        site.delay_us = DELAY_US;
        for (uint32_t i = 0; i < 30000 * MS / STEP_US; i++) {
            run_step(&site);
        }
        site.left_count = 0;
        site.cut_off_count = 0;
        for (uint32_t i = 0; i < 60000 * MS / STEP_US; i++) {
            run_step(&site);
        }
        CU_ASSERT_EQUAL(site.left_count, 0);
        CU_ASSERT_EQUAL(site.cut_off_count, 0);
        SlReplica_Destroy(site.replica);
    }
}

int
main(void)
{
    static const struct test_case CASES[] = {
        {"links take longer than the wait for the next one",
         test_slow_links_are_reached},
        {"confirmations take a second",
         test_late_confirmations_are_no_silence},
        {"the network becomes slow", test_network_becomes_slow},
    };

    return RUN_SUITE("replica slow", CASES);
}
