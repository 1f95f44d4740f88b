/* Configuration sources of a self-forming site: processes without a log and
   control instances that are not current among those that a replica dials. */

#include <stdio.h>
#include <string.h>

#include "savoryledge/coordination/replica.h"
#include "test.h"

enum {
    MS = 1000,
    STEP_US = 5 * MS,
    SOURCES_MAX = 8,
    DIALS_MAX = 1000,
    /// The shortest time after which a calm process must follow changes again.
    CONTACT_US = 4000 * MS,
};

/* What a source says to a process that is linked to it. */
enum source_kind {
    /* Holds a copy of the configuration, and no log. */
    WITHOUT_LOG = 0,
    /* Has neither a log nor a configuration. */
    WITHOUT_LOG_OR_CONFIG,
    NOT_CURRENT,
    CURRENT,
    /* Says nothing. */
    SILENT,
};

/* The sources c0, c1, ..., of which the first three are the seeds. */
struct fake_site {
    struct SlSink sink;
    struct SlReplica *replica;
    uint32_t count;
    enum source_kind kinds[SOURCES_MAX];
    uint64_t now_us;
    uint64_t next_link;
    /* The link of the source dialled last, and what it was sent. */
    uint32_t linked;
    uint64_t link;
    bool is_subscribed;
    uint64_t beat_due_us;
    uint64_t echo_us;
    uint64_t dialled;
    /* Time to establish a link, and when that to the dialled source is. */
    uint64_t connect_us;
    uint64_t connect_due_us;
    uint32_t dial_count;
    uint64_t dial_us[DIALS_MAX];
    uint32_t left_count;
    /* Changes made since the first configuration. */
    uint64_t changes;
};

static void
record_message(struct SlSink *sink, uint64_t link,
               const struct SlMessage *message)
{
    struct fake_site *site = (struct fake_site *)sink;

    if (link != site->link) {
        return;
    }
    if (message->kind == SL_MESSAGE_SUBSCRIBE) {
        site->is_subscribed =
            message->subscribe.version.index < 5 + site->changes;
        site->beat_due_us = site->now_us + STEP_US;
    }
    if (message->kind == SL_MESSAGE_HEARTBEAT) {
        site->echo_us = message->heartbeat.sent_us;
    }
}

static void
record_dial(struct SlSink *sink, uint64_t node_id, const struct SlAddress *to)
{
    struct fake_site *site = (struct fake_site *)sink;

    (void)to;
    site->dialled = node_id;
    site->connect_due_us = site->now_us + site->connect_us;
    if (site->dial_count < DIALS_MAX) {
        site->dial_us[site->dial_count++] = site->now_us;
    }
}

static void
record_event(struct SlSink *sink, const struct SlEvent *event)
{
    ((struct fake_site *)sink)->left_count +=
        event->number == SL_EVENT_CONTROL_LEFT;
}

static const struct SlSinkType FAKE_SINK = {
    .send_to_caller = SlSink_IgnorePacket,
    .send_to_upstream = SlSink_IgnorePacket,
    .send_tunnel = SlSink_IgnoreTunnel,
    .send_message = record_message,
    .dial_node = record_dial,
    .drop_node = SlSink_IgnoreDropNode,
    .log_event = record_event,
};

static struct SlObject
source_object(uint32_t i)
{
    struct SlObject object = {.kind = SL_KIND_NODE,
                              .node = {.roles = SL_ROLE_CONTROL}};

    snprintf(object.name, sizeof(object.name), "c%u", i);
    object.node.node_id = SlNode_Id(object.name);
    return object;
}

static void
create_site(struct fake_site *site, uint32_t count,
            const enum source_kind *kinds, uint64_t seed)
{
    struct SlReplicaOptions options = {
        .core = {.name = "entry-1", .roles = SL_ROLE_ENTRY, .seed = seed},
        .control_count = 3,
        .discover_controls = true,
        .announce = {.kind = SL_KIND_NODE, .name = "entry-1"}};

    *site = (struct fake_site){.sink = {.type = &FAKE_SINK}, .count = count};
    memcpy(site->kinds, kinds, count * sizeof(*kinds));
    for (uint32_t i = 0; i < options.control_count; i++) {
        options.control_ids[i] = source_object(i).node.node_id;
    }
    site->replica = SlReplica_Create(&options, 0);
    CU_ASSERT_PTR_NOT_NULL_FATAL(site->replica);
}

static void
handle_input(struct fake_site *site, struct SlInput input)
{
    input.now_us = site->now_us;
    input.link = site->link;
    SlReplica_HandleInput(site->replica, &site->sink, &input);
}

/* Sends the configuration, which lists all sources with a log. */
static void
send_config(struct fake_site *site, bool fresh)
{
    struct SlObject objects[SOURCES_MAX];
    struct SlMessage message = {
        .kind = SL_MESSAGE_CONFIG,
        .config = {.to = {.term = 1, .index = 5 + site->changes},
                   .full = true,
                   .first = true,
                   .last = true,
                   .fresh = fresh,
                   .objects = objects}};

    for (uint32_t i = 0; i < site->count; i++) {
        if (site->kinds[i] > WITHOUT_LOG_OR_CONFIG) {
            objects[message.config.object_count++] = source_object(i);
        }
    }
    handle_input(
        site, (struct SlInput){.kind = SL_INPUT_MESSAGE, .message = &message});
}

static void
link_source(struct fake_site *site, uint32_t index)
{
    struct SlObject object = source_object(index);
    struct SlPeer peer = {.node_id = object.node.node_id,
                          .roles = site->kinds[index] > WITHOUT_LOG_OR_CONFIG
                                       ? SL_ROLE_CONTROL
                                       : SL_ROLE_ENTRY};

    memcpy(peer.name, object.name, sizeof(peer.name));
    site->linked = index;
    site->link = ++site->next_link;
    site->beat_due_us = UINT64_MAX;
    site->is_subscribed = false;
    handle_input(site,
                 (struct SlInput){.kind = SL_INPUT_LINK_UP, .peer = &peer});
}

/* Lets the linked source say what it has to say. */
static void
run_source(struct fake_site *site)
{
    enum source_kind kind = site->kinds[site->linked];
    struct SlMessage beat = {
        .kind = SL_MESSAGE_HEARTBEAT,
        .heartbeat = {.version = {.term = 1, .index = 5 + site->changes},
                      .fresh = kind == CURRENT,
                      .echo_us = site->echo_us}};

    if (site->link == 0 || site->now_us < site->beat_due_us) {
        return;
    }
    site->beat_due_us = site->now_us + 500 * MS;
    if (site->is_subscribed &&
        (kind == WITHOUT_LOG || kind == CURRENT || kind == NOT_CURRENT)) {
        send_config(site, kind == CURRENT);
        site->is_subscribed = false;
    }
    if (kind == CURRENT || kind == NOT_CURRENT) {
        handle_input(site, (struct SlInput){.kind = SL_INPUT_MESSAGE,
                                            .message = &beat});
    }
}

static void
run_step(struct fake_site *site)
{
    site->now_us += STEP_US;
    handle_input(site, (struct SlInput){.kind = SL_INPUT_TICK});
    for (uint32_t i = 0; site->dialled != 0 && i < site->count &&
                         site->now_us >= site->connect_due_us;
         i++) {
        if (source_object(i).node.node_id == site->dialled) {
            site->dialled = 0;
            link_source(site, i);
        }
    }
    run_source(site);
}

/* Runs until the replica uses a current source, for at most 20 s. Returns the
   time that it took. */
static uint64_t
await_current(struct fake_site *site)
{
    uint64_t begin_us = site->now_us;
    uint64_t node_id;
    struct SlAddress link;

    while (site->now_us - begin_us < 20000 * MS &&
           !SlReplica_FindCurrentControl(site->replica, site->now_us, &node_id,
                                         &link)) {
        run_step(site);
    }
    return site->now_us - begin_us;
}

/* All seeds of a restarted process are processes without a log. The process
   takes its configuration from one of them and goes on to an instance that the
   configuration lists. */
static void
test_seeds_without_log_are_passed(void)
{
    static const enum source_kind KINDS[] = {WITHOUT_LOG, WITHOUT_LOG,
                                             WITHOUT_LOG, CURRENT};
    struct fake_site site;

    for (uint64_t seed = 1; seed <= 20; seed++) {
        create_site(&site, 4, KINDS, seed);
        CU_ASSERT(await_current(&site) < 500 * MS);
        SlReplica_Destroy(site.replica);
    }
}

/* The instance in use ends. A process with a configuration passes the seeds
   without a log, again and again, without waiting for them. */
static void
test_seeds_without_log_are_passed_again(void)
{
    static const enum source_kind KINDS[] = {WITHOUT_LOG, WITHOUT_LOG,
                                             WITHOUT_LOG, CURRENT, CURRENT};
    struct fake_site site;

    create_site(&site, 5, KINDS, 1);
    (void)await_current(&site);
    for (uint32_t i = 0; i < 10; i++) {
        uint32_t ended = site.linked;

        handle_input(&site, (struct SlInput){.kind = SL_INPUT_LINK_DOWN});
        site.link = 0;
        site.now_us += 2000 * MS;
        site.kinds[ended] = SILENT;
        CU_ASSERT(await_current(&site) < CONTACT_US / 2);
        site.kinds[ended] = CURRENT;
    }
    SlReplica_Destroy(site.replica);
}

/* Links take longer than the connect timeouts at first, and only one instance
   of eight is current, so that the replica must link to each of them in turn.
   It finds that one although the others are reached as well. */
static void
test_current_instance_is_found_over_slow_links(void)
{
    for (uint32_t current = 0; current < SOURCES_MAX; current++) {
        enum source_kind kinds[SOURCES_MAX] = {CURRENT};
        struct fake_site site;

        for (uint32_t i = 1; i < SOURCES_MAX; i++) {
            kinds[i] = NOT_CURRENT;
        }
        create_site(&site, SOURCES_MAX, kinds, current + 1);
        (void)await_current(&site);
        site.kinds[site.linked] = NOT_CURRENT;
        site.kinds[current] = CURRENT;
        site.connect_us = 340 * MS;
        handle_input(&site, (struct SlInput){.kind = SL_INPUT_LINK_DOWN});
        site.link = 0;
        site.now_us += 2000 * MS;
        CU_ASSERT(await_current(&site) < 20000 * MS);
        SlReplica_Destroy(site.replica);
    }
}

/* While no source has a log, the replica does not dial in a tight loop. */
static void
test_sources_without_log_are_dialled_with_pauses(void)
{
    static const enum source_kind KINDS[] = {
        WITHOUT_LOG, WITHOUT_LOG_OR_CONFIG, WITHOUT_LOG_OR_CONFIG};
    struct fake_site site;

    create_site(&site, 3, KINDS, 1);
    (void)await_current(&site);
    CU_ASSERT(site.dial_count >= 15);
    CU_ASSERT(site.dial_count <= 40);
    SlReplica_Destroy(site.replica);
}

/* The same while other processes register themselves, so that each source has
   a newer copy than the one before. */
static void
test_newer_copies_do_not_end_the_pauses(void)
{
    static const enum source_kind KINDS[] = {WITHOUT_LOG, WITHOUT_LOG,
                                             WITHOUT_LOG};
    struct fake_site site;

    create_site(&site, 3, KINDS, 1);
    for (uint32_t i = 0; i < 4000; i++) {
        site.changes++;
        run_step(&site);
    }
    CU_ASSERT(site.dial_count >= 15);
    CU_ASSERT(site.dial_count <= 40);
    SlReplica_Destroy(site.replica);
}

/* A site has no leader for a while. Then two instances in a row still answer
   that they are not current, as when they are cut off; the others are. The
   replica finds one of these within the bound. */
static void
test_instances_that_are_not_current_are_passed(void)
{
    static const enum source_kind KINDS[] = {CURRENT, CURRENT, CURRENT,
                                             CURRENT, CURRENT};
    uint64_t longest_us = 0;
    struct fake_site site;

    for (uint64_t seed = 1; seed <= 60; seed++) {
        uint64_t elapsed_us;

        create_site(&site, 5, KINDS, seed);
        (void)await_current(&site);
        for (uint32_t i = 0; i < 5; i++) {
            site.kinds[i] = NOT_CURRENT;
        }
        for (uint32_t i = 0; i < seed * 50; i++) {
            run_step(&site);
        }
        for (uint32_t i = 3; i < 5; i++) {
            site.kinds[(site.linked + i) % 5] = CURRENT;
        }
        elapsed_us = await_current(&site);
        longest_us = elapsed_us > longest_us ? elapsed_us : longest_us;
        SlReplica_Destroy(site.replica);
    }
    CU_ASSERT(longest_us < CONTACT_US);
    printf("current after %u ms at most\n", (unsigned)(longest_us / MS));
}

/* A process without a disk may find itself among its seeds. */
static void
test_own_address_is_not_dialled(void)
{
    struct SlReplicaOptions options = {
        .core = {.name = "c1", .roles = SL_ROLE_ENTRY, .seed = 1},
        .control_count = 2,
        .control_ids = {SlNode_Id("c1"), SlNode_Id("c2")},
        .discover_controls = true,
        .announce = {.kind = SL_KIND_NODE, .name = "c1"}};
    struct fake_site site = {.sink = {.type = &FAKE_SINK}};

    site.replica = SlReplica_Create(&options, 0);
    for (uint32_t i = 0; i < 1000; i++) {
        site.now_us += STEP_US;
        handle_input(&site, (struct SlInput){.kind = SL_INPUT_TICK});
        CU_ASSERT_NOT_EQUAL(site.dialled, SlNode_Id("c1"));
    }
    CU_ASSERT_EQUAL(site.dialled, SlNode_Id("c2"));
    SlReplica_Destroy(site.replica);
}

/* While a site has no leader, replicas change their instances at a bounded
   rate and not at the same time. */
static void
test_site_without_leader_is_dialled_with_pauses(void)
{
    static const enum source_kind KINDS[] = {
        NOT_CURRENT, NOT_CURRENT, NOT_CURRENT, NOT_CURRENT, NOT_CURRENT};
    struct fake_site sites[2];
    uint32_t together = 0;

    for (uint32_t i = 0; i < 2; i++) {
        create_site(&sites[i], 5, KINDS, i + 1);
        (void)await_current(&sites[i]);
        CU_ASSERT(sites[i].dial_count >= 10);
        CU_ASSERT(sites[i].dial_count <= 30);
        SlReplica_Destroy(sites[i].replica);
    }
    for (uint32_t i = 1; i < sites[0].dial_count; i++) {
        for (uint32_t j = 1; j < sites[1].dial_count; j++) {
            together += sites[0].dial_us[i] == sites[1].dial_us[j];
        }
    }
    CU_ASSERT(together <= 3);
}

/* Silent instances raise the time that the next one has to answer. Once one
   confirms promptly, the time is short again: it may fall silent itself. */
static void
test_answer_timeout_is_short_again(void)
{
    static const enum source_kind KINDS[] = {SILENT, SILENT, SILENT, CURRENT,
                                             CURRENT};
    struct fake_site site;
    uint32_t used;

    create_site(&site, 5, KINDS, 1);
    site.kinds[0] = CURRENT;
    (void)await_current(&site);
    site.kinds[0] = SILENT;
    site.now_us += 2000 * MS;
    (void)await_current(&site);
    used = site.linked;
    CU_ASSERT(used >= 3);
    for (uint32_t i = 0; i < 20; i++) {
        run_step(&site);
    }
    for (uint32_t i = 0; i < 5; i++) {
        site.kinds[i] = i == used ? SILENT : CURRENT;
    }
    site.now_us += 1500 * MS;
    CU_ASSERT(await_current(&site) < 1000 * MS);
    SlReplica_Destroy(site.replica);
}

int
main(void)
{
    static const struct test_case CASES[] = {
        {"seeds without a log are passed", test_seeds_without_log_are_passed},
        {"seeds without a log are passed again",
         test_seeds_without_log_are_passed_again},
        {"the current instance is found over slow links",
         test_current_instance_is_found_over_slow_links},
        {"sources without a log are dialled with pauses",
         test_sources_without_log_are_dialled_with_pauses},
        {"newer copies do not end the pauses",
         test_newer_copies_do_not_end_the_pauses},
        {"instances that are not current are passed",
         test_instances_that_are_not_current_are_passed},
        {"a site without a leader is dialled with pauses",
         test_site_without_leader_is_dialled_with_pauses},
        {"the own address is not dialled", test_own_address_is_not_dialled},
        {"the answer timeout is short again",
         test_answer_timeout_is_short_again},
    };

    return RUN_SUITE("replica sources", CASES);
}
