/* The replica: versions only grow, a silent control instance is left for
   another, and a peer's newer version is fetched when control is out of
   reach. */

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

/* A sink that remembers what the replica asked for. */
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
note_message(struct SlSink *sink, uint64_t link,
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
note_dial(struct SlSink *sink, uint64_t node_id, const struct SlAddress *to)
{
    (void)to;
    ((struct fake_sink *)sink)->dialled = node_id;
}

static void
note_drop(struct SlSink *sink, uint64_t node_id)
{
    ((struct fake_sink *)sink)->dropped = node_id;
}

static void
note_event(struct SlSink *sink, const struct SlEvent *event)
{
    ((struct fake_sink *)sink)->last_event = event->number;
}

static const struct SlSinkType FAKE_SINK = {
    .send_to_caller = SlSink_IgnorePacket,
    .send_to_upstream = SlSink_IgnorePacket,
    .send_tunnel = SlSink_IgnoreTunnel,
    .send_message = note_message,
    .dial_node = note_dial,
    .drop_node = note_drop,
    .log_event = note_event,
};

static struct SlReplica *
make_replica_of(bool learn_controls)
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
make_replica(void)
{
    return make_replica_of(false);
}

static void
give(struct SlReplica *replica, struct fake_sink *sink, struct SlInput input)
{
    SlReplica_Handle(replica, &sink->sink, &input);
}

static void
tick(struct SlReplica *replica, struct fake_sink *sink, uint64_t now_us)
{
    give(replica, sink,
         (struct SlInput){.kind = SL_INPUT_TICK, .now_us = now_us});
}

static void
link_up(struct SlReplica *replica, struct fake_sink *sink, uint64_t now_us,
        uint64_t link, uint64_t node_id)
{
    struct SlPeer peer = {.node_id = node_id};

    give(replica, sink,
         (struct SlInput){.kind = SL_INPUT_LINK_UP,
                          .now_us = now_us,
                          .link = link,
                          .peer = &peer});
}

/* Offers one zone object per index, as a delta or the whole. */
static void
offer(struct SlReplica *replica, struct fake_sink *sink, uint64_t now_us,
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
    give(replica, sink,
         (struct SlInput){.kind = SL_INPUT_MESSAGE,
                          .now_us = now_us,
                          .link = link,
                          .message = &message});
}

static uint64_t
held(const struct SlReplica *replica)
{
    return SlConfig_Version(SlReplica_Config(replica)).index;
}

/* Dials the first control instance and brings its link up. */
static uint64_t
join(struct SlReplica *replica, struct fake_sink *sink)
{
    tick(replica, sink, 20 * MS);
    link_up(replica, sink, 21 * MS, LINK_1, sink->dialled);
    return sink->dialled;
}

static void
test_versions_only_grow(void)
{
    struct fake_sink sink = {.sink = {.type = &FAKE_SINK}};
    struct SlReplica *replica = make_replica();

    join(replica, &sink);
    CU_ASSERT_EQUAL(sink.subscribes, 1);
    offer(replica, &sink, 30 * MS, LINK_1, 0, 5);
    offer(replica, &sink, 31 * MS, LINK_1, 5, 6);
    CU_ASSERT_EQUAL(held(replica), 6);
    CU_ASSERT_EQUAL(
        SlConfig_ObjectCount(SlReplica_Config(replica), SL_KIND_ZONE), 2);
    offer(replica, &sink, 32 * MS, LINK_1, 0, 4);
    CU_ASSERT_EQUAL(held(replica), 6);
    CU_ASSERT_EQUAL(sink.last_event, SL_EVENT_STALE_OFFER);
    offer(replica, &sink, 33 * MS, LINK_1, 8, 9);
    CU_ASSERT_EQUAL(held(replica), 6);
    CU_ASSERT_EQUAL(sink.subscribes, 2);
    CU_ASSERT_EQUAL(sink.subscribed.index, 6);
    SlReplica_Destroy(replica);
}

static void
test_silent_control_is_left(void)
{
    struct fake_sink sink = {.sink = {.type = &FAKE_SINK}};
    struct SlReplica *replica = make_replica();
    uint64_t first = join(replica, &sink);

    offer(replica, &sink, 30 * MS, LINK_1, 0, 5);
    CU_ASSERT_FALSE(SlReplica_IsCutOff(replica, 1000 * MS));
    tick(replica, &sink, 1600 * MS);
    CU_ASSERT(SlReplica_IsCutOff(replica, 1600 * MS));
    CU_ASSERT_EQUAL(sink.dropped, first);
    CU_ASSERT_NOT_EQUAL(sink.dialled, first);
    link_up(replica, &sink, 1610 * MS, LINK_2, sink.dialled);
    offer(replica, &sink, 1620 * MS, LINK_2, 5, 7);
    CU_ASSERT_EQUAL(held(replica), 7);
    CU_ASSERT_FALSE(SlReplica_IsCutOff(replica, 1700 * MS));
    SlReplica_Destroy(replica);
}

/* Answers take 3 s: the replica must wait longer in the end, or it leaves
   each instance just before the configuration arrives. */
static void
test_slow_network_only_delays(void)
{
    struct fake_sink sink = {.sink = {.type = &FAKE_SINK}};
    struct SlReplica *replica = make_replica();
    uint64_t link = 100;
    uint64_t up_us = 0;
    uint64_t left = 0;

    for (uint64_t now_us = 20 * MS; now_us < 20000 * MS; now_us += 20 * MS) {
        tick(replica, &sink, now_us);
        if (sink.dialled != left) {
            left = sink.dialled;
            up_us = now_us;
            link_up(replica, &sink, now_us, ++link, sink.dialled);
        }
        if (now_us == up_us + 3000 * MS) {
            offer(replica, &sink, now_us, link, 0, 5);
        }
    }
    CU_ASSERT_EQUAL(held(replica), 5);
    SlReplica_Destroy(replica);
}

static void
test_newer_peer_is_asked(void)
{
    struct fake_sink sink = {.sink = {.type = &FAKE_SINK}};
    struct SlReplica *replica = make_replica();
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

    join(replica, &sink);
    give(replica, &sink,
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
    offer(replica, &sink, 420 * MS, LINK_PEER, 0, 9);
    CU_ASSERT_EQUAL(held(replica), 9);
    tick(replica, &sink, 440 * MS);
    CU_ASSERT_EQUAL(sink.dropped, peer.node.node_id);
    SlReplica_Destroy(replica);
}

static void
test_parts_cut_off_change_nothing(void)
{
    struct fake_sink sink = {.sink = {.type = &FAKE_SINK}};
    struct SlReplica *replica = make_replica();
    struct SlObject object = {.kind = SL_KIND_ZONE, .name = "a"};
    struct SlMessage message = {.kind = SL_MESSAGE_CONFIG,
                                .config = {.to = {.term = 1, .index = 5},
                                           .full = true,
                                           .first = true,
                                           .object_count = 1,
                                           .objects = &object}};

    join(replica, &sink);
    give(replica, &sink,
         (struct SlInput){.kind = SL_INPUT_MESSAGE,
                          .now_us = 30 * MS,
                          .link = LINK_1,
                          .message = &message});
    give(replica, &sink,
         (struct SlInput){
             .kind = SL_INPUT_LINK_DOWN, .now_us = 31 * MS, .link = LINK_1});
    CU_ASSERT_EQUAL(held(replica), 0);
    CU_ASSERT_EQUAL(
        SlConfig_ObjectCount(SlReplica_Config(replica), SL_KIND_ZONE), 0);
    SlReplica_Destroy(replica);
}

static void
test_peer_is_answered_and_stop_is_told(void)
{
    struct fake_sink sink = {.sink = {.type = &FAKE_SINK}};
    struct SlReplica *replica = make_replica();
    struct SlMessage ask = {.kind = SL_MESSAGE_SUBSCRIBE};
    struct SlInput input = {.kind = SL_INPUT_MESSAGE,
                            .now_us = 40 * MS,
                            .link = LINK_PEER,
                            .message = &ask};

    join(replica, &sink);
    offer(replica, &sink, 30 * MS, LINK_1, 0, 5);
    give(replica, &sink, input);
    CU_ASSERT_EQUAL(sink.parts, 1);
    ask.subscribe.version = (struct SlVersion){.term = 1, .index = 5};
    give(replica, &sink, input);
    CU_ASSERT_EQUAL(sink.parts, 1);
    give(replica, &sink,
         (struct SlInput){.kind = SL_INPUT_STOP, .now_us = 50 * MS});
    CU_ASSERT(sink.announced_leaving);
    SlReplica_Destroy(replica);
}

/* A word of a control instance that is not current and holds up to index. */
static void
say_not_fresh(struct SlReplica *replica, struct fake_sink *sink,
              uint64_t now_us, uint64_t link, uint64_t index)
{
    struct SlMessage message = {.kind = SL_MESSAGE_HEARTBEAT,
                                .heartbeat = {.version = {.index = index}}};

    give(replica, sink,
         (struct SlInput){.kind = SL_INPUT_MESSAGE,
                          .now_us = now_us,
                          .link = link,
                          .message = &message});
}

/* After a loss of power an instance whose disk is gone holds nothing, and the
   next one may: it is asked at once, and again after longer pauses while
   nobody holds anything, as when a site starts for the first time. */
static void
test_empty_control_is_left(void)
{
    struct fake_sink sink = {.sink = {.type = &FAKE_SINK}};
    struct SlReplica *replica = make_replica_of(true);
    uint64_t first;
    uint32_t dials = 0;

    tick(replica, &sink, 1 * MS);
    first = sink.dialled;
    link_up(replica, &sink, 10 * MS, LINK_1, first);
    say_not_fresh(replica, &sink, 12 * MS, LINK_1, 0);
    for (uint64_t now_ms = 13; now_ms <= 100; now_ms++) {
        tick(replica, &sink, now_ms * MS);
    }
    CU_ASSERT_NOT_EQUAL(sink.dialled, first);
    CU_ASSERT_EQUAL(sink.dropped, first);

    for (uint64_t now_ms = 101; now_ms <= 5100; now_ms++) {
        if (sink.dialled != 0) {
            dials++;
            link_up(replica, &sink, now_ms * MS, now_ms, sink.dialled);
            say_not_fresh(replica, &sink, now_ms * MS, now_ms, 0);
            sink.dialled = 0;
        }
        tick(replica, &sink, now_ms * MS);
    }
    CU_ASSERT(dials >= 5);
    CU_ASSERT(dials <= 12);
    SlReplica_Destroy(replica);
}

/* After a loss of power the first instance dialled may not run yet: the next
   one is dialled soon, and again after longer pauses while none is reached, as
   where links are slow. */
static void
test_unreached_control_is_left(void)
{
    struct fake_sink sink = {.sink = {.type = &FAKE_SINK}};
    struct SlReplica *replica = make_replica_of(true);
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

/* What is held is worth more than the search for more. */
static void
test_empty_control_is_kept_by_holders(void)
{
    struct fake_sink sink = {.sink = {.type = &FAKE_SINK}};
    struct SlReplica *replica = make_replica_of(true);
    uint64_t first;

    tick(replica, &sink, 1 * MS);
    first = sink.dialled;
    link_up(replica, &sink, 10 * MS, LINK_1, first);
    offer(replica, &sink, 11 * MS, LINK_1, 0, 5);
    say_not_fresh(replica, &sink, 12 * MS, LINK_1, 0);
    for (uint64_t now_ms = 13; now_ms <= 500; now_ms++) {
        tick(replica, &sink, now_ms * MS);
    }
    CU_ASSERT_EQUAL(sink.dialled, first);
    SlReplica_Destroy(replica);
}

int
main(void)
{
    static const struct test_case CASES[] = {
        {"versions only grow", test_versions_only_grow},
        {"silent control is left", test_silent_control_is_left},
        {"unreached control is left", test_unreached_control_is_left},
        {"empty control is left", test_empty_control_is_left},
        {"who holds something stays", test_empty_control_is_kept_by_holders},
        {"slow network only delays", test_slow_network_only_delays},
        {"newer peer is asked", test_newer_peer_is_asked},
        {"parts cut off change nothing", test_parts_cut_off_change_nothing},
        {"peer is answered and stop is told",
         test_peer_is_answered_and_stop_is_told},
    };

    return RUN_SUITE("replica", CASES);
}
