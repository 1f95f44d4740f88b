/* What control costs: accepted changes against bare syncs, recovery after
 * many changes, memory, and bytes on the wire. Prints NAME VALUE UNIT. */

#include <fcntl.h>
#include <inttypes.h>
#include <malloc.h>
#include <unistd.h>

#include "bench.h"
#include "control_simulation.h"
#include "fault_files.h"
#include "savoryledge/coordination/replica.h"
#include "savoryledge/transport/loop.h"

enum {
    BATCHES = 400,
    OBJECTS = 1000,
    CLIENT = 1,
    IDLE_STEPS = 60 * 1000 * 1000 / SIMULATION_STEP_US,
};

/// One control core that leads itself.
struct driver {
    struct SlSink sink;
    struct SlControl *control;
    struct SlStorage *storage;
    uint64_t now_us;
    uint64_t request;
    uint64_t accepted;
    /// Encoded messages: of configuration, and all.
    uint64_t sent_bytes;
    uint64_t all_bytes;
    struct SlBuffer buffer;
};

static double
seconds(void)
{
    return (double)SlClock_Monotonic() / 1e6;
}

static void
send_message_driver(struct SlSink *sink, uint64_t link,
                    const struct SlMessage *message)
{
    struct driver *driver = (struct driver *)sink;

    (void)link;
    if (message->kind == SL_MESSAGE_RESULT) {
        driver->accepted += message->result.result.status == SL_OK;
    }
    SlBuffer_Clear(&driver->buffer);
    SlMessage_Encode(message, &driver->buffer);
    driver->all_bytes += driver->buffer.length_bytes;
    if (message->kind == SL_MESSAGE_CONFIG) {
        driver->sent_bytes += driver->buffer.length_bytes;
    }
}

static void
give(struct driver *driver, struct SlInput input)
{
    input.now_us = driver->now_us;
    input.wall_us = driver->now_us;
    SlControl_Handle(driver->control, &driver->sink, &input);
}

static void
give_message(struct driver *driver, uint64_t link,
             const struct SlMessage *message)
{
    give(driver, (struct SlInput){.kind = SL_INPUT_MESSAGE,
                                  .link = link,
                                  .message = message});
}

static void
end_batch(struct driver *driver)
{
    give(driver, (struct SlInput){.kind = SL_INPUT_BATCH_END});
}

static void
link_up(struct driver *driver, uint64_t link, const char *name, uint32_t roles)
{
    struct SlPeer peer = {.node_id = SlNode_Id(name), .roles = roles};

    snprintf(peer.name, sizeof(peer.name), "%s", name);
    give(driver, (struct SlInput){
                     .kind = SL_INPUT_LINK_UP, .link = link, .peer = &peer});
}

/// Starts the core on a storage; it leads when this returns.
static void
start(struct driver *driver, struct SlStorage *storage)
{
    static const struct SlSinkType SINK = {
        .send_message = send_message_driver,
        .dial_node = SlSink_IgnoreDialNode,
        .drop_node = SlSink_IgnoreDropNode,
        .log_event = SlSink_IgnoreLogEvent,
    };
    struct SlControlOptions options = {
        .core = {.name = "control-1", .roles = SL_ROLE_CONTROL},
        .bootstrap = true,
        .member_count = 1,
        .members = {{.node_id = SlNode_Id("control-1"),
                     .name = "control-1",
                     .voter = true}},
        .storage = storage};

    *driver = (struct driver){
        .sink = {.type = &SINK}, .storage = storage, .now_us = 1000000};
    if (SlControl_Create(&options, driver->now_us, &driver->control, NULL) !=
        SL_OK) {
        abort();
    }
    link_up(driver, 1, "operator", 0);
    for (uint32_t i = 0; i < 10; i++) {
        driver->now_us += SL_TICK_US;
        give(driver, (struct SlInput){.kind = SL_INPUT_TICK});
        end_batch(driver);
    }
}

static void
stop(struct driver *driver)
{
    SlControl_Destroy(driver->control);
    SlStorage_Destroy(driver->storage);
    SlBuffer_Release(&driver->buffer);
}

/// Asks for one change: creates a zone, or labels it the next time round.
static void
ask(struct driver *driver, uint64_t objects)
{
    uint64_t number = driver->request++;
    struct SlMessage message = {
        .kind = SL_MESSAGE_CHANGE,
        .change = {.client = CLIENT,
                   .request = number + 1,
                   .base = SlControl_Applied(driver->control),
                   .verb = number < objects ? SL_VERB_CREATE : SL_VERB_LABEL,
                   .object = {.kind = SL_KIND_ZONE, .labels = {.count = 1}}}};
    struct SlLabel *label = &message.change.object.labels.items[0];

    snprintf(message.change.object.name, SL_NAME_BYTES, "zone-%" PRIu64,
             number % objects);
    snprintf(label->key, sizeof(label->key), "rack");
    snprintf(label->value, sizeof(label->value), "r%" PRIu64, number);
    give_message(driver, 1, &message);
}

static void
ask_many(struct driver *driver, uint64_t count, uint64_t batch,
         uint64_t objects)
{
    for (uint64_t i = 1; i <= count; i++) {
        ask(driver, objects);
        if (i % batch == 0 || i == count) {
            end_batch(driver);
        }
    }
}

/// The size of a file of the folder.
static off_t
file_bytes(const char *path, const char *name)
{
    char whole[128];
    struct stat status;

    snprintf(whole, sizeof(whole), "%s/%s", path, name);
    return stat(whole, &status) == 0 ? status.st_size : 0;
}

static struct SlStorage *
open_folder(const char *path)
{
    struct SlStorage *storage = NULL;

    if (SlStorage_OpenFolder(path, SlNode_Id("control-1"), 99, &storage,
                             NULL) != SL_OK) {
        abort();
    }
    return storage;
}

/// Writes and syncs as many bytes as the log grew by.
static void
write_bare(int bare, off_t grown)
{
    static uint8_t bytes[1 << 20];

    if (write(bare, bytes, (size_t)grown) != grown || fsync(bare) != 0) {
        abort();
    }
}

/// Batch by batch, control and a bare write and sync take turns on the same
/// disk, with as many bytes; medians, because single syncs vary much.
static void
bench_commit(uint32_t batch, const char *suffix)
{
    static double control_s[BATCHES];
    static double bare_s[BATCHES];
    char path[64];
    char bare_path[80];
    struct driver driver;
    uint64_t bytes = 0;
    int bare;

    folder_create_temporary(path);
    snprintf(bare_path, sizeof(bare_path), "%s/bare", path);
    bare = open(bare_path, O_WRONLY | O_CREAT | O_APPEND, 0600);
    start(&driver, open_folder(path));
    for (uint32_t i = 0; i < BATCHES; i++) {
        off_t grown = -file_bytes(path, "log");
        double at = seconds();

        ask_many(&driver, batch, batch, OBJECTS);
        control_s[i] = seconds() - at;
        grown += file_bytes(path, "log");
        /* A snapshot has just cut the log. */
        grown = grown > 0 ? grown : (off_t)(bytes / i);
        bytes += (uint64_t)grown;
        at = seconds();
        write_bare(bare, grown);
        bare_s[i] = seconds() - at;
    }
    if (driver.accepted != (uint64_t)BATCHES * batch) {
        abort();
    }
    printf("commit_fsync_ratio%s %.3f ratio\n", suffix,
           bench_median(bare_s, BATCHES) / bench_median(control_s, BATCHES));
    printf("commit_per_s%s %.0f changes/s\n", suffix,
           batch / bench_median(control_s, BATCHES));
    printf("commit_log_bytes%s %.0f bytes/change\n", suffix,
           (double)bytes / (BATCHES * (double)batch));
    close(bare);
    stop(&driver);
    folder_remove(path);
}

/// From opening the folder until the last accepted change is applied.
static void
bench_recovery(uint64_t changes)
{
    char path[64];
    struct driver driver;
    struct SlVersion applied;
    double at;

    folder_create_temporary(path);
    start(&driver, open_folder(path));
    ask_many(&driver, changes, 256, OBJECTS);
    applied = SlControl_Applied(driver.control);
    stop(&driver);
    at = seconds();
    start(&driver, open_folder(path));
    if (SlVersion_Compare(SlControl_Applied(driver.control), applied) < 0) {
        abort();
    }
    printf("recovery_ms_%" PRIu64 " %.2f ms\n", changes,
           (seconds() - at) * 1000);
    printf("recovery_disk_bytes_%" PRIu64 " %ld bytes\n", changes,
           (long)(file_bytes(path, "log") + file_bytes(path, "snapshot")));
    stop(&driver);
    folder_remove(path);
}

static double
heap_bytes(void)
{
    struct mallinfo2 info = mallinfo2();

    return (double)(info.uordblks + info.hblkhd);
}

/// Heap of a control core that holds so many zones, without remembered
/// results.
static double
heap_with_objects(uint32_t objects)
{
    struct driver driver;
    double before = heap_bytes();
    double after;

    start(&driver, SlStorage_CreateMemory(SlNode_Id("control-1"), 99));
    /* The log is cut by a snapshot and the results are bounded: what is
       left over grows with the objects. */
    ask_many(&driver, objects + 16384 - objects % 4096, 256, objects);
    after = heap_bytes();
    stop(&driver);
    return after - before;
}

static void
announce(struct driver *driver, uint32_t number)
{
    struct SlMessage message = {
        .kind = SL_MESSAGE_ANNOUNCE,
        .announce = {.kind = SL_KIND_NODE,
                     .node = {.roles = SL_ROLE_AGENT,
                              .zone = "ulaan-a",
                              .boot = 3,
                              .announced = {.count = 2},
                              .slots = 3,
                              .capacity_flows = 2000}}};
    struct SlNodeSpec *node = &message.announce.node;

    snprintf(message.announce.name, SL_NAME_BYTES, "workroom-%u", number);
    node->node_id = SlNode_Id(message.announce.name);
    snprintf(node->announced.items[0].key, SL_LABEL_KEY_BYTES, "app");
    snprintf(node->announced.items[0].value, SL_LABEL_VALUE_BYTES, "workroom");
    snprintf(node->announced.items[1].key, SL_LABEL_KEY_BYTES, "rack");
    snprintf(node->announced.items[1].value, SL_LABEL_VALUE_BYTES, "r%u",
             number);
    link_up(driver, 10 + number, message.announce.name, SL_ROLE_AGENT);
    give_message(driver, 10 + number, &message);
}

/// Starts a core to which so many agents are linked and known.
static void
start_with_agents(struct driver *driver, uint32_t agents)
{
    start(driver, SlStorage_CreateMemory(SlNode_Id("control-1"), 99));
    for (uint32_t i = 0; i < agents; i++) {
        announce(driver, i);
        if (i % 64 == 63 || i + 1 == agents) {
            driver->now_us += 250 * 1000;
            give(driver, (struct SlInput){.kind = SL_INPUT_TICK});
            end_batch(driver);
        }
    }
    if (SlConfig_ObjectCount(SlControl_Config(driver->control),
                             SL_KIND_NODE) != agents) {
        abort();
    }
}

static double
heap_with_agents(uint32_t agents)
{
    struct driver driver;
    double before = heap_bytes();
    double after;

    start_with_agents(&driver, agents);
    after = heap_bytes();
    stop(&driver);
    return after - before;
}

static void
bench_memory(const char *what, double (*heap_with)(uint32_t count))
{
    static const uint32_t SIZES[] = {300, 1200, 2400};
    double heap[3];

    for (size_t i = 0; i < 3; i++) {
        heap[i] = heap_with(SIZES[i]);
        printf("control_heap_%s_%u %.0f bytes\n", what, SIZES[i], heap[i]);
    }
    printf("control_bytes_per_%s_low %.0f bytes\n", what,
           (heap[1] - heap[0]) / (SIZES[1] - SIZES[0]));
    printf("control_bytes_per_%s_high %.0f bytes\n", what,
           (heap[2] - heap[1]) / (SIZES[2] - SIZES[1]));
}

/// What one subscriber is sent for one change, in a site of so many agents.
static void
bench_delta(uint32_t agents)
{
    struct driver driver;
    struct SlMessage subscribe = {.kind = SL_MESSAGE_SUBSCRIBE};

    start_with_agents(&driver, agents);
    link_up(&driver, 2, "entry-1", SL_ROLE_ENTRY);
    give_message(&driver, 2, &subscribe);
    end_batch(&driver);
    printf("control_whole_bytes_%u %" PRIu64 " bytes\n", agents,
           driver.sent_bytes);
    driver.sent_bytes = 0;
    ask_many(&driver, 1, 1, 1);
    printf("control_delta_bytes_%u %" PRIu64 " bytes\n", agents,
           driver.sent_bytes);
    stop(&driver);
}

/// Traffic between control instances with nothing to do.
static void
bench_idle_members(uint32_t members)
{
    struct control_simulation world;

    simulation_create(&world, members, 1);
    world.heartbeat_us = 150 * 1000;
    world.election_us = 900 * 1000;
    simulation_start_all(&world);
    simulation_await_leader(&world, 1000);
    simulation_run(&world, 100);
    world.sent_bytes = 0;
    simulation_run(&world, IDLE_STEPS);
    printf("control_members_idle_bytes_per_s_%u %.0f bytes/s\n", members,
           (double)world.sent_bytes / 60);
    simulation_destroy(&world);
}

/// A replica beside the core, with the messages on their way.
struct pair {
    struct SlSink sink;
    struct SlReplica *replica;
    struct driver driver;
    struct SlBuffer encoded;
    uint64_t bytes;
};

static void
send_message_pair(struct SlSink *sink, uint64_t link,
                  const struct SlMessage *message)
{
    struct pair *pair = (struct pair *)sink;

    SlBuffer_Clear(&pair->encoded);
    SlMessage_Encode(message, &pair->encoded);
    pair->bytes += pair->encoded.length_bytes;
    give_message(&pair->driver, link, message);
}

static void
give_replica(struct pair *pair, struct SlInput input)
{
    input.now_us = pair->driver.now_us;
    SlReplica_Handle(pair->replica, &pair->sink, &input);
}

static void
start_pair(struct pair *pair)
{
    static const struct SlSinkType SINK = {
        .send_message = send_message_pair,
        .dial_node = SlSink_IgnoreDialNode,
        .drop_node = SlSink_IgnoreDropNode,
        .log_event = SlSink_IgnoreLogEvent,
    };
    struct SlPeer peer = {.node_id = SlNode_Id("control-1"),
                          .name = "control-1",
                          .roles = SL_ROLE_CONTROL};
    struct SlReplicaOptions options = {
        .core = {.name = "workroom-1"},
        .control_count = 1,
        .control_ids = {SlNode_Id("control-1")},
        .announce = {.kind = SL_KIND_NODE,
                     .name = "workroom-1",
                     .node = {.node_id = SlNode_Id("workroom-1"),
                              .roles = SL_ROLE_AGENT,
                              .zone = "ulaan-a",
                              .slots = 3,
                              .capacity_flows = 2000}}};

    pair->sink.type = &SINK;
    pair->replica = SlReplica_Create(&options, pair->driver.now_us);
    link_up(&pair->driver, 2, "workroom-1", SL_ROLE_AGENT);
    give_replica(pair, (struct SlInput){.kind = SL_INPUT_TICK});
    give_replica(
        pair,
        (struct SlInput){.kind = SL_INPUT_LINK_UP, .link = 2, .peer = &peer});
}

/// Both ways between one process and control, with nothing to do, without
/// the framing of the link.
static void
bench_idle_subscriber(void)
{
    struct pair pair = {.replica = NULL};
    struct SlMessage beat = {.kind = SL_MESSAGE_HEARTBEAT};

    start(&pair.driver, SlStorage_CreateMemory(SlNode_Id("control-1"), 99));
    start_pair(&pair);
    pair.bytes = 0;
    pair.driver.all_bytes = 0;
    for (uint32_t i = 0; i < 60 * 1000 * 1000 / SL_TICK_US; i++) {
        pair.driver.now_us += SL_TICK_US;
        give_replica(&pair, (struct SlInput){.kind = SL_INPUT_TICK});
        give(&pair.driver, (struct SlInput){.kind = SL_INPUT_TICK});
        end_batch(&pair.driver);
        beat.heartbeat.fresh = true;
        give_replica(&pair, (struct SlInput){.kind = SL_INPUT_MESSAGE,
                                             .link = 2,
                                             .message = &beat});
    }
    printf("control_subscriber_idle_bytes_per_s %.0f bytes/s\n",
           (double)(pair.bytes + pair.driver.all_bytes) / 60);
    SlReplica_Destroy(pair.replica);
    SlBuffer_Release(&pair.encoded);
    stop(&pair.driver);
}

/// Processor time of a leader that hears all agents itself, with heartbeats
/// both ways, without the transport.
static void
bench_idle_processor(uint32_t agents)
{
    struct SlMessage subscribe = {.kind = SL_MESSAGE_SUBSCRIBE};
    struct SlMessage beat = {.kind = SL_MESSAGE_HEARTBEAT};
    uint32_t ticks = 10 * 1000 * 1000 / SL_TICK_US;
    uint32_t beat_ticks = 500 * 1000 / SL_TICK_US;
    struct driver driver;
    uint64_t spent_ns;

    start_with_agents(&driver, agents);
    for (uint32_t i = 0; i < agents; i++) {
        give_message(&driver, 10 + i, &subscribe);
    }
    end_batch(&driver);
    spent_ns = bench_cpu_ns();
    for (uint32_t tick = 0; tick < ticks; tick++) {
        driver.now_us += SL_TICK_US;
        give(&driver, (struct SlInput){.kind = SL_INPUT_TICK});
        for (uint32_t i = tick % beat_ticks; i < agents; i += beat_ticks) {
            give_message(&driver, 10 + i, &beat);
        }
        end_batch(&driver);
    }
    spent_ns = bench_cpu_ns() - spent_ns;
    printf("control_idle_core_percent_%u %.3f percent\n", agents,
           (double)spent_ns / (10 * 1e9) * 100);
    stop(&driver);
}

int
main(void)
{
    setvbuf(stdout, NULL, _IOLBF, 0);
    bench_commit(1, "");
    bench_commit(16, "_batch_16");
    bench_commit(64, "_batch_64");
    bench_recovery(1000);
    bench_recovery(10000);
    bench_recovery(100000);
    bench_memory("object", heap_with_objects);
    bench_memory("endpoint", heap_with_agents);
    bench_delta(50);
    bench_delta(400);
    bench_delta(2400);
    bench_idle_members(3);
    bench_idle_members(5);
    bench_idle_members(7);
    bench_idle_subscriber();
    bench_idle_processor(300);
    bench_idle_processor(1200);
    bench_idle_processor(2400);
    return 0;
}
