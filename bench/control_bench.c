/* Measures the cost of control: accepted changes compared with plain syncs to
 * disk, recovery after many changes, memory, and bytes on the wire. Prints
 * NAME VALUE UNIT. */

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

/// A control core that is the only member, and so the leader.
struct driver {
    struct SlSink sink;
    struct SlControl *control;
    struct SlStorage *storage;
    uint64_t now_us;
    uint64_t request;
    uint64_t accepted;
    /// Bytes of the encoded configuration messages, and of all messages.
    uint64_t config_bytes;
    uint64_t total_bytes;
    struct SlBuffer buffer;
};

static double
seconds(void)
{
    return (double)SlClock_Monotonic() / 1e6;
}

static void
count_driver_message(struct SlSink *sink, uint64_t link,
                     const struct SlMessage *message)
{
    struct driver *driver = (struct driver *)sink;

    (void)link;
    if (message->kind == SL_MESSAGE_RESULT) {
        driver->accepted += message->result.result.status == SL_OK;
    }
    SlBuffer_Clear(&driver->buffer);
    SlMessage_Encode(message, &driver->buffer);
    driver->total_bytes += driver->buffer.length_bytes;
    if (message->kind == SL_MESSAGE_CONFIG) {
        driver->config_bytes += driver->buffer.length_bytes;
    }
}

static void
handle_input(struct driver *driver, struct SlInput input)
{
    input.now_us = driver->now_us;
    input.wall_us = driver->now_us;
    SlControl_HandleInput(driver->control, &driver->sink, &input);
}

static void
handle_message(struct driver *driver, uint64_t link,
               const struct SlMessage *message)
{
    handle_input(driver, (struct SlInput){.kind = SL_INPUT_MESSAGE,
                                          .link = link,
                                          .message = message});
}

static void
handle_batch_end(struct driver *driver)
{
    handle_input(driver, (struct SlInput){.kind = SL_INPUT_BATCH_END});
}

static void
handle_link_up(struct driver *driver, uint64_t link, const char *name,
               uint32_t roles)
{
    struct SlPeer peer = {.node_id = SlNode_Id(name), .roles = roles};

    snprintf(peer.name, sizeof(peer.name), "%s", name);
    handle_input(driver, (struct SlInput){.kind = SL_INPUT_LINK_UP,
                                          .link = link,
                                          .peer = &peer});
}

/// Starts the core with a storage that the driver owns from then on. The core
/// is leader when this returns.
static void
start_driver(struct driver *driver, struct SlStorage *storage)
{
    static const struct SlSinkType SINK = {
        .send_message = count_driver_message,
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
                     .is_voter = true}},
        .storage = storage};

    *driver = (struct driver){
        .sink = {.type = &SINK}, .storage = storage, .now_us = 1000000};
    if (SlControl_Create(&options, driver->now_us, &driver->control, NULL) !=
        SL_OK) {
        abort();
    }
    handle_link_up(driver, 1, "operator", 0);
    for (uint32_t i = 0; i < 10; i++) {
        driver->now_us += SL_TICK_US;
        handle_input(driver, (struct SlInput){.kind = SL_INPUT_TICK});
        handle_batch_end(driver);
    }
}

static void
stop_driver(struct driver *driver)
{
    SlControl_Destroy(driver->control);
    SlStorage_Destroy(driver->storage);
    SlBuffer_Release(&driver->buffer);
}

/// Proposes one change: creates the next zone, or labels it once all of the
/// zones exist.
static void
propose_change(struct driver *driver, uint64_t objects)
{
    uint64_t number = driver->request++;
    struct SlMessage message = {
        .kind = SL_MESSAGE_CHANGE,
        .change = {.client = CLIENT,
                   .request = number + 1,
                   .base = SlControl_AppliedVersion(driver->control),
                   .verb = number < objects ? SL_VERB_CREATE : SL_VERB_LABEL,
                   .object = {.kind = SL_KIND_ZONE, .labels = {.count = 1}}}};
    struct SlLabel *label = &message.change.object.labels.items[0];

    snprintf(message.change.object.name, SL_NAME_BYTES, "zone-%" PRIu64,
             number % objects);
    snprintf(label->key, sizeof(label->key), "rack");
    snprintf(label->value, sizeof(label->value), "r%" PRIu64, number);
    handle_message(driver, 1, &message);
}

static void
propose_changes(struct driver *driver, uint64_t count, uint64_t batch,
                uint64_t objects)
{
    for (uint64_t i = 1; i <= count; i++) {
        propose_change(driver, objects);
        if (i % batch == 0 || i == count) {
            handle_batch_end(driver);
        }
    }
}

/// Returns the size of a file in the folder, in bytes; 0 when there is no such
/// file.
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

/// Writes and syncs as many bytes as the log has grown by.
static void
write_plain(int plain_file, off_t grown_bytes)
{
    static uint8_t bytes[1 << 20];

    if (write(plain_file, bytes, (size_t)grown_bytes) != grown_bytes ||
        fsync(plain_file) != 0) {
        abort();
    }
}

/// Compares committed batches of changes with a plain write and sync of as
/// many bytes. The two alternate batch by batch on the same disk, and medians
/// are compared, because single syncs vary much.
static void
bench_commit(uint32_t batch, const char *suffix)
{
    static double control_s[BATCHES];
    static double plain_s[BATCHES];
    char path[64];
    char plain_path[80];
    struct driver driver;
    uint64_t bytes = 0;
    int plain_file;

    folder_create_temporary(path);
    snprintf(plain_path, sizeof(plain_path), "%s/bare", path);
    plain_file = open(plain_path, O_WRONLY | O_CREAT | O_APPEND, 0600);
    start_driver(&driver, open_folder(path));
    for (uint32_t i = 0; i < BATCHES; i++) {
        off_t grown_bytes = -file_bytes(path, "log");
        double start_s = seconds();

        propose_changes(&driver, batch, batch, OBJECTS);
        control_s[i] = seconds() - start_s;
        grown_bytes += file_bytes(path, "log");
        /* A snapshot has just truncated the log: the mean of the earlier
         * batches is used. */
        grown_bytes = grown_bytes > 0 ? grown_bytes : (off_t)(bytes / i);
        bytes += (uint64_t)grown_bytes;
        start_s = seconds();
        write_plain(plain_file, grown_bytes);
        plain_s[i] = seconds() - start_s;
    }
    if (driver.accepted != (uint64_t)BATCHES * batch) {
        abort();
    }
    printf("commit_fsync_ratio%s %.3f ratio\n", suffix,
           bench_median(plain_s, BATCHES) / bench_median(control_s, BATCHES));
    printf("commit_per_s%s %.0f changes/s\n", suffix,
           batch / bench_median(control_s, BATCHES));
    printf("commit_log_bytes%s %.0f bytes/change\n", suffix,
           (double)bytes / (BATCHES * (double)batch));
    close(plain_file);
    stop_driver(&driver);
    folder_remove(path);
}

/// Measures recovery: from opening the folder until the last accepted change
/// is applied.
static void
bench_recovery(uint64_t changes)
{
    char path[64];
    struct driver driver;
    struct SlVersion applied;
    double start_s;

    folder_create_temporary(path);
    start_driver(&driver, open_folder(path));
    propose_changes(&driver, changes, 256, OBJECTS);
    applied = SlControl_AppliedVersion(driver.control);
    stop_driver(&driver);
    start_s = seconds();
    start_driver(&driver, open_folder(path));
    if (SlVersion_Compare(SlControl_AppliedVersion(driver.control), applied) <
        0) {
        abort();
    }
    printf("recovery_ms_%" PRIu64 " %.2f ms\n", changes,
           (seconds() - start_s) * 1000);
    printf("recovery_disk_bytes_%" PRIu64 " %ld bytes\n", changes,
           (long)(file_bytes(path, "log") + file_bytes(path, "snapshot")));
    stop_driver(&driver);
    folder_remove(path);
}

static double
heap_bytes(void)
{
    struct mallinfo2 info = mallinfo2();

    return (double)(info.uordblks + info.hblkhd);
}

/// Returns the heap bytes of a control core with a number of zones, without
/// the stored results of requests.
static double
heap_with_objects(uint32_t objects)
{
    struct driver driver;
    double before = heap_bytes();
    double after;

    start_driver(&driver, SlStorage_CreateMemory(SlNode_Id("control-1"), 99));
    /* A snapshot truncates the log and the number of stored results is
     * bounded, so the rest of the heap grows with the objects. */
    propose_changes(&driver, objects + 16384 - objects % 4096, 256, objects);
    after = heap_bytes();
    stop_driver(&driver);
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
    handle_link_up(driver, 10 + number, message.announce.name, SL_ROLE_AGENT);
    handle_message(driver, 10 + number, &message);
}

/// Starts a core to which a number of agents are linked and in whose
/// configuration they are.
static void
start_with_agents(struct driver *driver, uint32_t agents)
{
    start_driver(driver, SlStorage_CreateMemory(SlNode_Id("control-1"), 99));
    for (uint32_t i = 0; i < agents; i++) {
        announce(driver, i);
        if (i % 64 == 63 || i + 1 == agents) {
            driver->now_us += 250 * 1000;
            handle_input(driver, (struct SlInput){.kind = SL_INPUT_TICK});
            handle_batch_end(driver);
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
    stop_driver(&driver);
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

/// Measures the bytes sent to a subscriber for the whole configuration and for
/// one change, in a site with a number of agents.
static void
bench_delta(uint32_t agents)
{
    struct driver driver;
    struct SlMessage subscribe = {.kind = SL_MESSAGE_SUBSCRIBE};

    start_with_agents(&driver, agents);
    handle_link_up(&driver, 2, "entry-1", SL_ROLE_ENTRY);
    handle_message(&driver, 2, &subscribe);
    handle_batch_end(&driver);
    printf("control_whole_bytes_%u %" PRIu64 " bytes\n", agents,
           driver.config_bytes);
    driver.config_bytes = 0;
    propose_changes(&driver, 1, 1, 1);
    printf("control_delta_bytes_%u %" PRIu64 " bytes\n", agents,
           driver.config_bytes);
    stop_driver(&driver);
}

/// Measures the traffic between idle control instances.
static void
bench_idle_members(uint32_t members)
{
    struct control_simulation simulation;

    simulation_create(&simulation, members, 1);
    simulation.heartbeat_us = 150 * 1000;
    simulation.election_us = 900 * 1000;
    simulation_start_all(&simulation);
    simulation_await_leader(&simulation, 1000);
    simulation_run(&simulation, 100);
    simulation.sent_bytes = 0;
    simulation_run(&simulation, IDLE_STEPS);
    printf("control_members_idle_bytes_per_s_%u %.0f bytes/s\n", members,
           (double)simulation.sent_bytes / 60);
    simulation_destroy(&simulation);
}

/// A replica of the configuration, whose messages go to the control core of
/// driver.
struct linked_replica {
    struct SlSink sink;
    struct SlReplica *replica;
    struct driver driver;
    struct SlBuffer encoded;
    /// Total length of the messages that the replica sent.
    uint64_t sent_bytes;
};

static void
forward_replica_message(struct SlSink *sink, uint64_t link,
                        const struct SlMessage *message)
{
    struct linked_replica *linked = (struct linked_replica *)sink;

    SlBuffer_Clear(&linked->encoded);
    SlMessage_Encode(message, &linked->encoded);
    linked->sent_bytes += linked->encoded.length_bytes;
    handle_message(&linked->driver, link, message);
}

static void
handle_replica_input(struct linked_replica *linked, struct SlInput input)
{
    input.now_us = linked->driver.now_us;
    SlReplica_HandleInput(linked->replica, &linked->sink, &input);
}

static void
start_linked_replica(struct linked_replica *linked)
{
    static const struct SlSinkType SINK = {
        .send_message = forward_replica_message,
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

    linked->sink.type = &SINK;
    linked->replica = SlReplica_Create(&options, linked->driver.now_us);
    handle_link_up(&linked->driver, 2, "workroom-1", SL_ROLE_AGENT);
    handle_replica_input(linked, (struct SlInput){.kind = SL_INPUT_TICK});
    handle_replica_input(
        linked,
        (struct SlInput){.kind = SL_INPUT_LINK_UP, .link = 2, .peer = &peer});
}

/// Measures the traffic in both directions between an idle process and
/// control, without the framing of the link.
static void
bench_idle_subscriber(void)
{
    struct linked_replica linked = {.replica = NULL};
    struct SlMessage heartbeat = {.kind = SL_MESSAGE_HEARTBEAT};

    start_driver(&linked.driver,
                 SlStorage_CreateMemory(SlNode_Id("control-1"), 99));
    start_linked_replica(&linked);
    linked.sent_bytes = 0;
    linked.driver.total_bytes = 0;
    for (uint32_t i = 0; i < 60 * 1000 * 1000 / SL_TICK_US; i++) {
        linked.driver.now_us += SL_TICK_US;
        handle_replica_input(&linked, (struct SlInput){.kind = SL_INPUT_TICK});
        handle_input(&linked.driver, (struct SlInput){.kind = SL_INPUT_TICK});
        handle_batch_end(&linked.driver);
        heartbeat.heartbeat.fresh = true;
        handle_replica_input(&linked,
                             (struct SlInput){.kind = SL_INPUT_MESSAGE,
                                              .link = 2,
                                              .message = &heartbeat});
    }
    printf("control_subscriber_idle_bytes_per_s %.0f bytes/s\n",
           (double)(linked.sent_bytes + linked.driver.total_bytes) / 60);
    SlReplica_Destroy(linked.replica);
    SlBuffer_Release(&linked.encoded);
    stop_driver(&linked.driver);
}

/// Measures the processor time of a leader to which all agents are linked,
/// with heartbeats in both directions, without the transport.
static void
bench_idle_processor(uint32_t agents)
{
    struct SlMessage subscribe = {.kind = SL_MESSAGE_SUBSCRIBE};
    struct SlMessage heartbeat = {.kind = SL_MESSAGE_HEARTBEAT};
    uint32_t ticks = 10 * 1000 * 1000 / SL_TICK_US;
    uint32_t beat_ticks = 500 * 1000 / SL_TICK_US;
    struct driver driver;
    uint64_t spent_ns;

    start_with_agents(&driver, agents);
    for (uint32_t i = 0; i < agents; i++) {
        handle_message(&driver, 10 + i, &subscribe);
    }
    handle_batch_end(&driver);
    spent_ns = bench_cpu_ns();
    for (uint32_t tick = 0; tick < ticks; tick++) {
        driver.now_us += SL_TICK_US;
        handle_input(&driver, (struct SlInput){.kind = SL_INPUT_TICK});
        for (uint32_t i = tick % beat_ticks; i < agents; i += beat_ticks) {
            handle_message(&driver, 10 + i, &heartbeat);
        }
        handle_batch_end(&driver);
    }
    spent_ns = bench_cpu_ns() - spent_ns;
    printf("control_idle_core_percent_%u %.3f percent\n", agents,
           (double)spent_ns / (10 * 1e9) * 100);
    stop_driver(&driver);
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
