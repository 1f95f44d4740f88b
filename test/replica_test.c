/* The replica: its version never decreases, it replaces a silent control
   instance by another, and it fetches a newer version from a peer when control
   is unreachable. */

#include <stdio.h>
#include <string.h>

#include "savoryledge/coordination/replica.h"
#include "test.h"

enum {
    MS = 1000,
    LINK_1 = 1,
    LINK_2 = 2,
    LINK_PEER = 3,
};

/* A sink that records what the replica requested. */
struct fake_sink {
    struct SlSink sink;
    uint64_t dialled;
    uint64_t dropped;
    uint32_t subscribes;
    struct SlVersion subscribed;
    uint64_t subscribe_link;
    uint32_t parts;
    bool announced_leaving;
    enum SlEventNumber last_event;
};

static void
record_message(struct SlSink *sink, uint64_t link,
               const struct SlMessage *message)
{
    struct fake_sink *fake = (struct fake_sink *)sink;

    if (message->kind == SL_MESSAGE_SUBSCRIBE) {
        fake->subscribes++;
        fake->subscribed = message->subscribe.version;
        fake->subscribe_link = link;
    }
    if (message->kind == SL_MESSAGE_CONFIG) {
        fake->parts++;
    }
    if (message->kind == SL_MESSAGE_ANNOUNCE) {
        fake->announced_leaving = message->announce.node.leaving;
    }
}

static void
record_dial(struct SlSink *sink, uint64_t node_id, const struct SlAddress *to)
{
    (void)to;
    ((struct fake_sink *)sink)->dialled = node_id;
}

static void
record_drop(struct SlSink *sink, uint64_t node_id)
{
    ((struct fake_sink *)sink)->dropped = node_id;
}

static void
record_event(struct SlSink *sink, const struct SlEvent *event)
{
    ((struct fake_sink *)sink)->last_event = event->number;
}

static const struct SlSinkType FAKE_SINK = {
    .send_to_caller = SlSink_IgnorePacket,
    .send_to_upstream = SlSink_IgnorePacket,
    .send_tunnel = SlSink_IgnoreTunnel,
    .send_message = record_message,
    .dial_node = record_dial,
    .drop_node = record_drop,
    .log_event = record_event,
};

static struct SlReplica *
create_replica_with(bool learn_controls)
{
    struct SlReplicaOptions options = {
        .core = {.name = "entry-1", .roles = SL_ROLE_ENTRY, .seed = 7},
        .control_count = 2,
        .control_ids = {SlNode_Id("c1"), SlNode_Id("c2")},
        .discover_controls = learn_controls,
        .announce = {.kind = SL_KIND_NODE, .name = "entry-1"}};

    return SlReplica_Create(&options, 0);
}

static struct SlReplica *
create_replica(void)
{
    return create_replica_with(false);
}

static void
handle_input(struct SlReplica *replica, struct fake_sink *sink,
             struct SlInput input)
{
    SlReplica_HandleInput(replica, &sink->sink, &input);
}

static void
tick(struct SlReplica *replica, struct fake_sink *sink, uint64_t now_us)
{
    handle_input(replica, sink,
                 (struct SlInput){.kind = SL_INPUT_TICK, .now_us = now_us});
}

static void
link_up(struct SlReplica *replica, struct fake_sink *sink, uint64_t now_us,
        uint64_t link, uint64_t node_id)
{
    struct SlPeer peer = {
        .node_id = node_id, .name = "control", .roles = SL_ROLE_CONTROL};

    handle_input(replica, sink,
                 (struct SlInput){.kind = SL_INPUT_LINK_UP,
                                  .now_us = now_us,
                                  .link = link,
                                  .peer = &peer});
}

/* Sends a configuration with the zone "zone-<to>": the whole configuration if
   from is 0, or a delta from version `from`. */
static void
send_config(struct SlReplica *replica, struct fake_sink *sink, uint64_t now_us,
            uint64_t link, uint64_t from, uint64_t to)
{
    struct SlObject object = {.kind = SL_KIND_ZONE};
    struct SlMessage message = {.kind = SL_MESSAGE_CONFIG,
                                .config = {.from = {.term = 1, .index = from},
                                           .to = {.term = 1, .index = to},
                                           .full = from == 0,
                                           .first = true,
                                           .last = true,
                                           .fresh = true,
                                           .object_count = 1,
                                           .objects = &object}};

    snprintf(object.name, sizeof(object.name), "zone-%d", (int)to);
    handle_input(replica, sink,
                 (struct SlInput){.kind = SL_INPUT_MESSAGE,
                                  .now_us = now_us,
                                  .link = link,
                                  .message = &message});
}

static uint64_t
held_index(const struct SlReplica *replica)
{
    return SlConfig_Version(SlReplica_Config(replica)).index;
}

/* Makes the replica dial its first control instance and brings that link up.
   Returns the node id of the instance. */
static uint64_t
connect_first_control(struct SlReplica *replica, struct fake_sink *sink)
{
    tick(replica, sink, 20 * MS);
    link_up(replica, sink, 21 * MS, LINK_1, sink->dialled);
    return sink->dialled;
}

static void
test_versions_only_grow(void)
{
    struct fake_sink sink = {.sink = {.type = &FAKE_SINK}};
    struct SlReplica *replica = create_replica();

    connect_first_control(replica, &sink);
    CU_ASSERT_EQUAL(sink.subscribes, 1);
    send_config(replica, &sink, 30 * MS, LINK_1, 0, 5);
    send_config(replica, &sink, 31 * MS, LINK_1, 5, 6);
    CU_ASSERT_EQUAL(held_index(replica), 6);
    CU_ASSERT_EQUAL(
        SlConfig_ObjectCount(SlReplica_Config(replica), SL_KIND_ZONE), 2);
    send_config(replica, &sink, 32 * MS, LINK_1, 0, 4);
    CU_ASSERT_EQUAL(held_index(replica), 6);
    CU_ASSERT_EQUAL(sink.last_event, SL_EVENT_STALE_OFFER);
    send_config(replica, &sink, 33 * MS, LINK_1, 8, 9);
    CU_ASSERT_EQUAL(held_index(replica), 6);
    CU_ASSERT_EQUAL(sink.subscribes, 2);
    CU_ASSERT_EQUAL(sink.subscribed.index, 6);
    SlReplica_Destroy(replica);
}

static void
test_silent_control_is_abandoned(void)
{
    struct fake_sink sink = {.sink = {.type = &FAKE_SINK}};
    struct SlReplica *replica = create_replica();
    uint64_t first = connect_first_control(replica, &sink);

    send_config(replica, &sink, 30 * MS, LINK_1, 0, 5);
    CU_ASSERT_FALSE(SlReplica_IsCutOff(replica, 1000 * MS));
    tick(replica, &sink, 1600 * MS);
    CU_ASSERT(SlReplica_IsCutOff(replica, 1600 * MS));
    CU_ASSERT_EQUAL(sink.dropped, first);
    CU_ASSERT_NOT_EQUAL(sink.dialled, first);
    link_up(replica, &sink, 1610 * MS, LINK_2, sink.dialled);
    send_config(replica, &sink, 1620 * MS, LINK_2, 5, 7);
    CU_ASSERT_EQUAL(held_index(replica), 7);
    CU_ASSERT_FALSE(SlReplica_IsCutOff(replica, 1700 * MS));
    SlReplica_Destroy(replica);
}

/* Answers take 3 s. The replica must eventually wait longer than that;
   otherwise it drops each instance just before the configuration arrives. */
static void
test_slow_network_only_delays(void)
{
    struct fake_sink sink = {.sink = {.type = &FAKE_SINK}};
    struct SlReplica *replica = create_replica();
    uint64_t link = 100;
    uint64_t up_us = 0;
    uint64_t last_dialled = 0;

    for (uint64_t now_us = 20 * MS; now_us < 20000 * MS; now_us += 20 * MS) {
        tick(replica, &sink, now_us);
        if (sink.dialled != last_dialled) {
            last_dialled = sink.dialled;
            up_us = now_us;
            link_up(replica, &sink, now_us, ++link, sink.dialled);
        }
        if (now_us == up_us + 3000 * MS) {
            send_config(replica, &sink, now_us, link, 0, 5);
        }
    }
    CU_ASSERT_EQUAL(held_index(replica), 5);
    SlReplica_Destroy(replica);
}

static void
test_newer_version_is_fetched_from_peer(void)
{
    struct fake_sink sink = {.sink = {.type = &FAKE_SINK}};
    struct SlReplica *replica = create_replica();
    struct SlObject peer = {.kind = SL_KIND_NODE,
                            .name = "u1",
                            .node = {.node_id = SlNode_Id("u1")}};
    struct SlMessage message = {.kind = SL_MESSAGE_CONFIG,
                                .config = {.to = {.term = 1, .index = 5},
                                           .full = true,
                                           .first = true,
                                           .last = true,
                                           .fresh = true,
                                           .object_count = 1,
                                           .objects = &peer}};

    connect_first_control(replica, &sink);
    handle_input(replica, &sink,
                 (struct SlInput){.kind = SL_INPUT_MESSAGE,
                                  .now_us = 30 * MS,
                                  .link = LINK_1,
                                  .message = &message});
    SlReplica_OnPeerVersion(replica, &sink.sink, 100 * MS, peer.node.node_id,
                            (struct SlVersion){.term = 1, .index = 9});
    tick(replica, &sink, 120 * MS);
    CU_ASSERT_NOT_EQUAL(sink.dialled, peer.node.node_id);
    tick(replica, &sink, 400 * MS);
    CU_ASSERT_EQUAL(sink.dialled, peer.node.node_id);
    link_up(replica, &sink, 410 * MS, LINK_PEER, peer.node.node_id);
    CU_ASSERT_EQUAL(sink.subscribe_link, LINK_PEER);
    send_config(replica, &sink, 420 * MS, LINK_PEER, 0, 9);
    CU_ASSERT_EQUAL(held_index(replica), 9);
    tick(replica, &sink, 440 * MS);
    CU_ASSERT_EQUAL(sink.dropped, peer.node.node_id);
    SlReplica_Destroy(replica);
}

static void
test_incomplete_config_is_discarded(void)
{
    struct fake_sink sink = {.sink = {.type = &FAKE_SINK}};
    struct SlReplica *replica = create_replica();
    struct SlObject object = {.kind = SL_KIND_ZONE, .name = "a"};
    struct SlMessage message = {.kind = SL_MESSAGE_CONFIG,
                                .config = {.to = {.term = 1, .index = 5},
                                           .full = true,
                                           .first = true,
                                           .object_count = 1,
                                           .objects = &object}};

    connect_first_control(replica, &sink);
    handle_input(replica, &sink,
                 (struct SlInput){.kind = SL_INPUT_MESSAGE,
                                  .now_us = 30 * MS,
                                  .link = LINK_1,
                                  .message = &message});
    handle_input(replica, &sink,
                 (struct SlInput){.kind = SL_INPUT_LINK_DOWN,
                                  .now_us = 31 * MS,
                                  .link = LINK_1});
    CU_ASSERT_EQUAL(held_index(replica), 0);
    CU_ASSERT_EQUAL(
        SlConfig_ObjectCount(SlReplica_Config(replica), SL_KIND_ZONE), 0);
    SlReplica_Destroy(replica);
}

static void
test_peer_is_answered_and_stop_is_announced(void)
{
    struct fake_sink sink = {.sink = {.type = &FAKE_SINK}};
    struct SlReplica *replica = create_replica();
    struct SlMessage subscribe = {.kind = SL_MESSAGE_SUBSCRIBE};
    struct SlInput input = {.kind = SL_INPUT_MESSAGE,
                            .now_us = 40 * MS,
                            .link = LINK_PEER,
                            .message = &subscribe};

    connect_first_control(replica, &sink);
    send_config(replica, &sink, 30 * MS, LINK_1, 0, 5);
    handle_input(replica, &sink, input);
    CU_ASSERT_EQUAL(sink.parts, 1);
    subscribe.subscribe.version = (struct SlVersion){.term = 1, .index = 5};
    handle_input(replica, &sink, input);
    CU_ASSERT_EQUAL(sink.parts, 1);
    handle_input(replica, &sink,
                 (struct SlInput){.kind = SL_INPUT_STOP, .now_us = 50 * MS});
    CU_ASSERT(sink.announced_leaving);
    SlReplica_Destroy(replica);
}

/* Sends a heartbeat of a control instance that is not current and holds the
   version with this index. */
static void
send_stale_heartbeat(struct SlReplica *replica, struct fake_sink *sink,
                     uint64_t now_us, uint64_t link, uint64_t index)
{
    struct SlMessage message = {.kind = SL_MESSAGE_HEARTBEAT,
                                .heartbeat = {.version = {.index = index}}};

    handle_input(replica, sink,
                 (struct SlInput){.kind = SL_INPUT_MESSAGE,
                                  .now_us = now_us,
                                  .link = link,
                                  .message = &message});
}

/* After a power loss, an instance that lost its disk has no configuration
   while another one may have it. The replica dials the next instance soon, but
   with increasing pauses while no instance has a configuration, as at the
   first start of a site. */
static void
test_empty_control_is_abandoned(void)
{
    struct fake_sink sink = {.sink = {.type = &FAKE_SINK}};
    struct SlReplica *replica = create_replica_with(true);
    uint64_t first;
    uint32_t dials = 0;

    tick(replica, &sink, 1 * MS);
    first = sink.dialled;
    link_up(replica, &sink, 10 * MS, LINK_1, first);
    send_stale_heartbeat(replica, &sink, 12 * MS, LINK_1, 0);
    for (uint64_t now_ms = 13; now_ms <= 100; now_ms++) {
        tick(replica, &sink, now_ms * MS);
    }
    CU_ASSERT_NOT_EQUAL(sink.dialled, first);
    CU_ASSERT_EQUAL(sink.dropped, first);

    for (uint64_t now_ms = 101; now_ms <= 5100; now_ms++) {
        if (sink.dialled != 0) {
            dials++;
            link_up(replica, &sink, now_ms * MS, now_ms, sink.dialled);
            send_stale_heartbeat(replica, &sink, now_ms * MS, now_ms, 0);
            sink.dialled = 0;
        }
        tick(replica, &sink, now_ms * MS);
    }
    CU_ASSERT(dials >= 5);
    CU_ASSERT(dials <= 12);
    SlReplica_Destroy(replica);
}

/* After a power loss, the first instance dialled may not run yet. The replica
   dials the next one soon, but with increasing pauses while no instance is
   reached, as over slow links. */
static void
test_unreached_control_is_abandoned(void)
{
    struct fake_sink sink = {.sink = {.type = &FAKE_SINK}};
    struct SlReplica *replica = create_replica_with(true);
    uint64_t first;
    uint32_t dials = 0;

    tick(replica, &sink, 1 * MS);
    first = sink.dialled;
    for (uint64_t now_ms = 2; now_ms <= 200; now_ms++) {
        tick(replica, &sink, now_ms * MS);
    }
    CU_ASSERT_NOT_EQUAL(sink.dialled, first);
    for (uint64_t now_ms = 201; now_ms <= 5200; now_ms++) {
        dials += sink.dialled != 0;
        sink.dialled = 0;
        tick(replica, &sink, now_ms * MS);
    }
    CU_ASSERT(dials >= 6);
    CU_ASSERT(dials <= 12);
    SlReplica_Destroy(replica);
}

/* A replica that has a configuration keeps a control instance without one. */
static void
test_empty_control_is_kept_with_config(void)
{
    struct fake_sink sink = {.sink = {.type = &FAKE_SINK}};
    struct SlReplica *replica = create_replica_with(true);
    uint64_t first;

    tick(replica, &sink, 1 * MS);
    first = sink.dialled;
    link_up(replica, &sink, 10 * MS, LINK_1, first);
    send_config(replica, &sink, 11 * MS, LINK_1, 0, 5);
    send_stale_heartbeat(replica, &sink, 12 * MS, LINK_1, 0);
    for (uint64_t now_ms = 13; now_ms <= 500; now_ms++) {
        tick(replica, &sink, now_ms * MS);
    }
    CU_ASSERT_EQUAL(sink.dialled, first);
    SlReplica_Destroy(replica);
}

/* Brings up a link to a control instance that dialled this process, or that
   was dialled earlier. */
static void
control_link_up(struct SlReplica *replica, struct fake_sink *sink,
                uint64_t now_us, uint64_t link, const char *name)
{
    struct SlPeer peer = {.node_id = SlNode_Id(name),
                          .roles = SL_ROLE_CONTROL};

    handle_input(replica, sink,
                 (struct SlInput){.kind = SL_INPUT_LINK_UP,
                                  .now_us = now_us,
                                  .link = link,
                                  .peer = &peer});
}

/* After the loss of a whole site the instances in the settings may be the last
   to start. A replica without a configuration takes it from an instance that
   dials it, and stays with that instance. */
static void
test_invitation_is_taken_without_config(void)
{
    struct fake_sink sink = {.sink = {.type = &FAKE_SINK}};
    struct SlReplica *replica = create_replica_with(true);

    tick(replica, &sink, 1 * MS);
    control_link_up(replica, &sink, 30 * MS, LINK_1, "c8");
    CU_ASSERT_EQUAL(sink.subscribe_link, LINK_1);
    CU_ASSERT_EQUAL(sink.dropped, sink.dialled);
    send_config(replica, &sink, 31 * MS, LINK_1, 0, 5);
    CU_ASSERT_EQUAL(held_index(replica), 5);
    CU_ASSERT_EQUAL(SlReplica_InvitationsTaken(replica), 1);
    control_link_up(replica, &sink, 32 * MS, LINK_2, "c9");
    CU_ASSERT_EQUAL(sink.subscribe_link, LINK_1);
    sink.dialled = 0;
    for (uint64_t now_ms = 40; now_ms <= 900; now_ms += 20) {
        tick(replica, &sink, now_ms * MS);
    }
    CU_ASSERT_EQUAL(sink.dialled, 0);
    handle_input(replica, &sink,
                 (struct SlInput){.kind = SL_INPUT_LINK_DOWN,
                                  .now_us = 901 * MS,
                                  .link = LINK_1});
    control_link_up(replica, &sink, 902 * MS, LINK_2 + 1, "c9");
    CU_ASSERT_EQUAL(sink.subscribe_link, LINK_1);
    tick(replica, &sink, 1200 * MS);
    CU_ASSERT_NOT_EQUAL(sink.dialled, 0);
    SlReplica_Destroy(replica);
}

/* The instance in use turns out to have lost its disk: the replica changes to
   one that was linked meanwhile, without dialling. */
static void
test_spare_control_replaces_empty_one(void)
{
    struct fake_sink sink = {.sink = {.type = &FAKE_SINK}};
    struct SlReplica *replica = create_replica_with(true);
    uint64_t first;

    tick(replica, &sink, 1 * MS);
    first = sink.dialled;
    link_up(replica, &sink, 10 * MS, LINK_1, first);
    control_link_up(replica, &sink, 11 * MS, LINK_2, "c8");
    CU_ASSERT_EQUAL(sink.subscribe_link, LINK_1);
    send_stale_heartbeat(replica, &sink, 12 * MS, LINK_1, 0);
    for (uint64_t now_ms = 13; now_ms <= 60; now_ms++) {
        tick(replica, &sink, now_ms * MS);
    }
    CU_ASSERT_EQUAL(sink.subscribe_link, LINK_2);
    CU_ASSERT_EQUAL(sink.dropped, first);
    CU_ASSERT_EQUAL(sink.dialled, first);
    send_stale_heartbeat(replica, &sink, 61 * MS, LINK_2, 0);
    control_link_up(replica, &sink, 62 * MS, LINK_2 + 1, "c9");
    CU_ASSERT_EQUAL(sink.subscribe_link, LINK_2 + 1);
    SlReplica_Destroy(replica);
}

/* While the replica has no configuration, an attempt goes on after the next
   instance was dialled: whichever is linked first is used, and the other
   attempts end. */
static void
test_earlier_attempt_may_succeed(void)
{
    struct fake_sink sink = {.sink = {.type = &FAKE_SINK}};
    struct SlReplica *replica = create_replica_with(true);
    uint64_t first;
    uint64_t second;

    tick(replica, &sink, 1 * MS);
    first = sink.dialled;
    for (uint64_t now_ms = 20; now_ms <= 100; now_ms += 20) {
        tick(replica, &sink, now_ms * MS);
    }
    second = sink.dialled;
    CU_ASSERT_NOT_EQUAL(second, first);
    CU_ASSERT_EQUAL(sink.dropped, 0);
    control_link_up(replica, &sink, 110 * MS, LINK_1,
                    first == SlNode_Id("c1") ? "c1" : "c2");
    CU_ASSERT_EQUAL(sink.subscribe_link, LINK_1);
    CU_ASSERT_EQUAL(sink.dropped, second);
    SlReplica_Destroy(replica);
}

/* Operators are sent to the instance in use only while it confirms that the
   configuration is current. */
static void
test_current_control_is_named(void)
{
    struct fake_sink sink = {.sink = {.type = &FAKE_SINK}};
    struct SlReplica *replica = create_replica();
    uint64_t first = connect_first_control(replica, &sink);
    uint64_t named = 0;
    struct SlAddress link;

    CU_ASSERT_FALSE(
        SlReplica_FindCurrentControl(replica, 25 * MS, &named, &link));
    send_config(replica, &sink, 30 * MS, LINK_1, 0, 5);
    CU_ASSERT(SlReplica_FindCurrentControl(replica, 40 * MS, &named, &link));
    CU_ASSERT_EQUAL(named, first);
    CU_ASSERT_FALSE(
        SlReplica_FindCurrentControl(replica, 1600 * MS, &named, &link));
    handle_input(replica, &sink,
                 (struct SlInput){.kind = SL_INPUT_LINK_DOWN,
                                  .now_us = 50 * MS,
                                  .link = LINK_1});
    CU_ASSERT_FALSE(
        SlReplica_FindCurrentControl(replica, 60 * MS, &named, &link));
    SlReplica_Destroy(replica);
}

/* Each control instance that is left is counted by its reason and logged. */
static void
test_reason_of_leaving_is_told(void)
{
    struct fake_sink sink = {.sink = {.type = &FAKE_SINK}};
    struct SlReplica *replica = create_replica();
    struct SlReplicaCounters counters;
    uint64_t now_us = 20 * MS;

    connect_first_control(replica, &sink);
    send_stale_heartbeat(replica, &sink, 22 * MS, LINK_1, 5);
    for (uint64_t left = 0; left < 3 && now_us < 20000 * MS;
         now_us += 20 * MS) {
        sink.last_event = SL_EVENT_NONE;
        tick(replica, &sink, now_us);
        SlReplica_Counters(replica, &counters);
        if (counters.controls_not_current + counters.controls_silent +
                counters.controls_not_reached ==
            left) {
            continue;
        }
        CU_ASSERT_EQUAL(sink.last_event, SL_EVENT_CONTROL_LEFT);
        if (++left == 1) {
            link_up(replica, &sink, now_us, LINK_2, sink.dialled);
        }
    }
    CU_ASSERT_EQUAL(counters.controls_not_current, 1);
    CU_ASSERT_EQUAL(counters.controls_silent, 1);
    CU_ASSERT_EQUAL(counters.controls_not_reached, 1);
    SlReplica_Destroy(replica);
}

int
main(void)
{
    static const struct test_case CASES[] = {
        {"the version never decreases", test_versions_only_grow},
        {"a silent control instance is abandoned",
         test_silent_control_is_abandoned},
        {"an unreached control instance is abandoned",
         test_unreached_control_is_abandoned},
        {"an invitation is taken without a configuration",
         test_invitation_is_taken_without_config},
        {"a linked instance replaces one without a configuration",
         test_spare_control_replaces_empty_one},
        {"an earlier attempt to connect may still succeed",
         test_earlier_attempt_may_succeed},
        {"a control instance without a configuration is abandoned",
         test_empty_control_is_abandoned},
        {"a replica with a configuration stays connected",
         test_empty_control_is_kept_with_config},
        {"a slow network only delays the configuration",
         test_slow_network_only_delays},
        {"a newer version is fetched from a peer",
         test_newer_version_is_fetched_from_peer},
        {"an incomplete configuration is discarded",
         test_incomplete_config_is_discarded},
        {"the current control instance is named",
         test_current_control_is_named},
        {"the reason of leaving a control instance is told",
         test_reason_of_leaving_is_told},
        {"a peer is answered and a stop is announced",
         test_peer_is_answered_and_stop_is_announced},
    };

    return RUN_SUITE("replica", CASES);
}
