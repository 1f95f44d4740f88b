#include "shell_relay.h"

#include <sodium.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "listen_probe.h"
#include "plan_holder.h"
#include "shell_internal.h"

enum {
    /// Maximum number of batches read from a socket before the event loop
    /// serves other descriptors.
    BATCHES_PER_WAKEUP = 4,
    /// Maximum number of batches read before a tick decides which agents are
    /// silent.
    BATCHES_BEFORE_TICK = 32,
    US_PER_MS = 1000,
    BYTES_PER_KBIT = 125,
    /// Time-out of the check whether the upstream listens. A connection within
    /// one host is accepted or refused much sooner.
    PROBE_TIMEOUT_US = 300 * 1000,
    /// Time for the final announcement to reach control and all entries.
    FINAL_ANNOUNCEMENT_US = 200 * 1000,
};

/// One socket of the relay, and the datagrams to be sent from this socket.
struct relay_socket {
    struct SlWatch watch;
    struct shell_relay *relay;
    struct SlBatch *output_batch;
};

struct shell_relay {
    struct SlRelaySink sink;
    struct SlShell *shell;
    const struct SlAdapter *adapter;
    struct SlRelayEntry *entry;
    struct SlRelayAgent *agent;
    /// Sockets for frames of other processes, for callers and for the
    /// upstream.
    struct relay_socket frame_socket;
    struct relay_socket caller_socket;
    struct relay_socket upstream_socket;
    /// Buffers for received datagrams.
    struct SlBatch *receive_batch;
    struct SlPlanHolder plan_holder;
    /// Generation of the replica's configuration that the relay uses.
    uint64_t config_generation;
    /// State of the upstream in the last announcement; valid if
    /// has_announced.
    struct upstream_presence announced_presence;
    bool has_announced;
    /// The check during a planned stop whether the upstream still listens, and
    /// its deadline, which is 0 if no check is in progress. Then the time
    /// before which the process must not exit, so that its final announcement
    /// is sent.
    struct SlListenProbe probe;
    uint64_t probe_deadline_us;
    uint64_t exit_not_before_us;
};

static void
flush_socket(struct relay_socket *socket)
{
    uint32_t failed;

    if (socket->output_batch == NULL || socket->output_batch->count == 0) {
        return;
    }
    failed = SlUdpSocket_Send(socket->watch.descriptor, socket->output_batch);
    if (failed > 0) {
        atomic_fetch_add(&socket->relay->shell->counts.tunnel_send_failed,
                         failed);
    }
}

static void
flush_sockets(struct shell_relay *relay)
{
    flush_socket(&relay->upstream_socket);
    flush_socket(&relay->caller_socket);
    flush_socket(&relay->frame_socket);
}

/// Returns a free item of a socket's output batch. If the batch is full, sends
/// it first.
static struct SlBatchItem *
append_item(struct relay_socket *socket, const struct SlAddress *to)
{
    struct SlBatchItem *item;

    if (socket->output_batch->count == SL_BATCH_ITEMS) {
        flush_socket(socket);
    }
    item = &socket->output_batch->items[socket->output_batch->count++];
    item->peer = *to;
    return item;
}

static void
send_to_caller(struct SlRelaySink *sink, const struct SlAddress *caller,
               const uint8_t *bytes, uint32_t length_bytes)
{
    struct shell_relay *relay = (struct shell_relay *)sink;
    struct SlBatchItem *item = append_item(&relay->caller_socket, caller);

    /* The port in caller identifies the caller's end of the flow. On the
       network callers are reached at the port number at which this process
       receives their segments. */
    item->peer.port = relay->shell->settings.relay.callers.port;
    memcpy(item->bytes, bytes, length_bytes);
    item->length_bytes = length_bytes;
}

static void
send_to_upstream(struct SlRelaySink *sink, const uint8_t *bytes,
                 uint32_t length_bytes)
{
    struct shell_relay *relay = (struct shell_relay *)sink;
    struct SlBatchItem *item = append_item(
        &relay->upstream_socket, &relay->shell->settings.relay.upstream);

    memcpy(item->bytes, bytes, length_bytes);
    item->length_bytes = length_bytes;
}

static void
send_frame(struct SlRelaySink *sink, const struct SlAddress *to,
           const struct SlRelayFrame *frame)
{
    struct shell_relay *relay = (struct shell_relay *)sink;
    struct SlBatchItem *item = append_item(&relay->frame_socket, to);

    item->length_bytes = SlRelayFrame_Encode(frame, item->bytes);
    if (item->length_bytes == 0) {
        relay->frame_socket.output_batch->count--;
        atomic_fetch_add(&relay->shell->counts.tunnel_send_failed, 1);
    }
}

static void
log_relay_event(struct SlRelaySink *sink, const struct SlEvent *event)
{
    struct shell_relay *relay = (struct shell_relay *)sink;

    SlLog_WriteEvent(relay->shell->log, event);
}

static const struct SlRelaySinkType SINK_TYPE = {
    .send_to_caller = send_to_caller,
    .send_to_upstream = send_to_upstream,
    .send_frame = send_frame,
    .log_event = log_relay_event,
};

static void
handle_frame(struct shell_relay *relay, uint64_t now_us,
             const struct SlBatchItem *item)
{
    struct SlRelayFrame frame;

    if (SlRelayFrame_Decode(item->bytes, item->length_bytes, &frame) !=
        SL_OK) {
        atomic_fetch_add(&relay->shell->counts.datagrams_malformed, 1);
        return;
    }
    if (relay->entry != NULL) {
        SlRelayEntry_HandleFrame(relay->entry, &relay->sink, now_us, &frame);
    }
    else {
        SlRelayAgent_HandleFrame(relay->agent, &relay->sink, now_us,
                                 &item->peer, &frame);
    }
}

static void
receive_frames(struct shell_relay *relay, uint64_t now_us,
               uint32_t max_batches)
{
    uint32_t batches_read = 0;

    do {
        SlUdpSocket_Receive(relay->frame_socket.watch.descriptor,
                            relay->receive_batch);
        for (uint32_t i = 0; i < relay->receive_batch->count; i++) {
            handle_frame(relay, now_us, &relay->receive_batch->items[i]);
        }
    } while (relay->receive_batch->count == SL_BATCH_ITEMS &&
             ++batches_read < max_batches);
}

static void
handle_frame_socket_readable(struct SlWatch *watch, uint32_t events)
{
    struct shell_relay *relay = ((struct relay_socket *)watch)->relay;

    (void)events;
    receive_frames(relay, SlClock_Monotonic(), BATCHES_PER_WAKEUP);
    flush_sockets(relay);
}

static void
handle_caller_socket_readable(struct SlWatch *watch, uint32_t events)
{
    struct shell_relay *relay = ((struct relay_socket *)watch)->relay;
    uint64_t now_us = SlClock_Monotonic();

    (void)events;
    SlUdpSocket_Receive(watch->descriptor, relay->receive_batch);
    for (uint32_t i = 0;
         relay->entry != NULL && i < relay->receive_batch->count; i++) {
        SlRelayEntry_HandleCallerSegment(
            relay->entry, &relay->sink, now_us,
            relay->receive_batch->items[i].bytes,
            relay->receive_batch->items[i].length_bytes);
    }
    flush_sockets(relay);
}

static void
handle_upstream_socket_readable(struct SlWatch *watch, uint32_t events)
{
    struct shell_relay *relay = ((struct relay_socket *)watch)->relay;
    uint64_t now_us = SlClock_Monotonic();

    (void)events;
    SlUdpSocket_Receive(watch->descriptor, relay->receive_batch);
    for (uint32_t i = 0; i < relay->receive_batch->count; i++) {
        SlRelayAgent_HandleUpstreamSegment(
            relay->agent, &relay->sink, now_us,
            relay->receive_batch->items[i].bytes,
            relay->receive_batch->items[i].length_bytes);
    }
    flush_sockets(relay);
}

static enum SlStatus
open_socket(struct shell_relay *relay, struct relay_socket *socket,
            const struct SlAddress *address,
            void (*ready)(struct SlWatch *watch, uint32_t events),
            struct SlError *error)
{
    enum SlStatus status =
        SlUdpSocket_Open(address, false, &socket->watch.descriptor, error);

    if (status != SL_OK) {
        socket->watch.descriptor = -1;
        return status;
    }
    socket->relay = relay;
    socket->watch.on_ready = ready;
    socket->output_batch = SlBatch_Create();
    if (socket->output_batch == NULL) {
        return SlError_Set(error, SL_NO_MEMORY, SL_STEP_OPEN, NULL,
                           "no memory for a relay socket");
    }
    return SlLoop_Watch(relay->shell->loop, &socket->watch, SL_LOOP_READ);
}

static void
close_socket(struct shell_relay *relay, struct relay_socket *socket)
{
    if (socket->watch.descriptor >= 0) {
        SlLoop_Unwatch(relay->shell->loop, &socket->watch);
        close(socket->watch.descriptor);
    }
    SlBatch_Destroy(socket->output_batch);
}

static enum SlStatus
open_sockets(struct shell_relay *relay, struct SlError *error)
{
    const struct SlSettings *settings = &relay->shell->settings;
    enum SlStatus status =
        open_socket(relay, &relay->frame_socket, &settings->node.tunnel,
                    handle_frame_socket_readable, error);

    if (status == SL_OK) {
        status =
            open_socket(relay, &relay->caller_socket, &settings->relay.callers,
                        handle_caller_socket_readable, error);
    }
    if (status == SL_OK && relay->agent != NULL) {
        status = open_socket(relay, &relay->upstream_socket,
                             &settings->relay.upstream_sends,
                             handle_upstream_socket_readable, error);
    }
    return status;
}

static void
fill_options(const struct shell_relay *relay, struct SlRelayOptions *options)
{
    const struct SlSettings *settings = &relay->shell->settings;

    memcpy(options->name, settings->node.name, SL_NAME_BYTES);
    memcpy(options->zone, settings->node.zone, SL_NAME_BYTES);
    options->format = relay->adapter->segment_format;
    randombytes_buf(&options->seed, sizeof(options->seed));
    options->start_wall_ms = relay->shell->boot / US_PER_MS;
    memcpy(options->service, settings->relay.service, SL_NAME_BYTES);
    options->link_bytes_per_s =
        (uint64_t)settings->relay.link_kbit_per_s * BYTES_PER_KBIT;
}

static enum SlStatus
create_cores(struct shell_relay *relay, uint64_t now_us)
{
    struct SlRelayOptions options = {.format = NULL};
    bool is_entry = relay->shell->settings.node.roles & SL_ROLE_ENTRY;

    fill_options(relay, &options);
    relay->receive_batch = SlBatch_Create();
    if (is_entry) {
        relay->entry = SlRelayEntry_Create(&options);
    }
    else {
        relay->agent = SlRelayAgent_Create(&options, now_us);
    }
    return relay->receive_batch != NULL &&
                   (relay->entry != NULL || relay->agent != NULL)
               ? SL_OK
               : SL_NO_MEMORY;
}

enum SlStatus
shell_relay_open(struct SlShell *shell, const struct SlAdapter *adapter,
                 struct shell_relay **out, struct SlError *error)
{
    struct shell_relay *relay = calloc(1, sizeof(*relay));
    enum SlStatus status = SL_NO_MEMORY;

    *out = NULL;
    if (relay != NULL) {
        relay->sink.type = &SINK_TYPE;
        relay->shell = shell;
        relay->probe.descriptor = -1;
        relay->adapter = adapter;
        relay->frame_socket.watch.descriptor = -1;
        relay->caller_socket.watch.descriptor = -1;
        relay->upstream_socket.watch.descriptor = -1;
        status = create_cores(relay, shell->started_us);
    }
    if (status == SL_NO_MEMORY) {
        SlError_Set(error, status, SL_STEP_OPEN, NULL,
                    "no memory for the relay");
    }
    if (status == SL_OK) {
        status = open_sockets(relay, error);
    }
    if (status != SL_OK) {
        shell_relay_close(relay);
        return status;
    }
    *out = relay;
    return SL_OK;
}

void
shell_relay_close(struct shell_relay *relay)
{
    if (relay == NULL) {
        return;
    }
    SlListenProbe_Close(&relay->probe);
    close_socket(relay, &relay->frame_socket);
    close_socket(relay, &relay->caller_socket);
    close_socket(relay, &relay->upstream_socket);
    SlBatch_Destroy(relay->receive_batch);
    SlRelayEntry_Destroy(relay->entry);
    SlRelayAgent_Destroy(relay->agent);
    SlPlanHolder_Release(&relay->plan_holder);
    free(relay);
}

/// Decodes the configuration document if its version is new. If it cannot be
/// decoded, logs the error. Returns false if that is to be tried again.
static bool
decode_document(struct shell_relay *relay, uint64_t now_us,
                const struct SlDocument *document)
{
    struct SlError error;
    enum SlStatus status =
        SlPlanHolder_Update(&relay->plan_holder, now_us,
                            relay->adapter->plan_format, document, &error);

    if (status != SL_OK && status != SL_AGAIN) {
        log_event(relay->shell, (struct SlEvent){.number = SL_EVENT_FAILED,
                                                 .now_us = now_us,
                                                 .node = error.message,
                                                 .reason = "document"});
    }
    return status != SL_AGAIN && status != SL_NO_MEMORY;
}

/// Applies the configuration of the process's replica if it has changed.
static void
apply_config(struct shell_relay *relay, uint64_t now_us)
{
    const struct SlReplica *replica = SlNode_Replica(relay->shell->node);
    const struct SlConfig *config = SlReplica_Config(replica);
    uint64_t config_generation = SlReplica_ChangeCount(replica);
    enum SlStatus status;

    if (config_generation == relay->config_generation) {
        return;
    }
    if (!decode_document(relay, now_us, SlConfig_Document(config))) {
        return;
    }
    if (relay->entry != NULL) {
        status = SlRelayEntry_SetConfig(relay->entry, &relay->sink, now_us,
                                        config, relay->plan_holder.plan);
    }
    else {
        status = SlRelayAgent_SetConfig(relay->agent, &relay->sink, now_us,
                                        config, relay->plan_holder.plan);
    }
    if (status == SL_OK) {
        relay->config_generation = config_generation;
        return;
    }
    log_event(relay->shell, (struct SlEvent){.number = SL_EVENT_FAILED,
                                             .now_us = now_us,
                                             .reason = SlStatus_Name(status)});
}

/// Announces changes of the upstream to control: its service, its slots, and
/// whether it accepts new flows. An agent that continues with the upstream
/// status of the process before it does not announce anything yet.
static void
announce_upstream(struct shell_relay *relay, uint64_t now_us)
{
    struct SlUpstreamStatus upstream_status;
    struct upstream_presence presence;
    bool is_known;

    if (relay->agent == NULL) {
        return;
    }
    is_known = SlRelayAgent_GetUpstreamStatus(relay->agent, &upstream_status);
    if (!relay->has_announced && !relay->shell->stopping &&
        SlRelayAgent_UsesAnnouncedState(relay->agent, now_us)) {
        return;
    }
    presence = (struct upstream_presence){
        .slots = upstream_status.slots,
        .leaving =
            !is_known || upstream_status.draining || relay->shell->stopping,
        .has_ended = SlRelayAgent_IsUpstreamGone(relay->agent),
    };
    if (relay->has_announced &&
        presence.leaving == relay->announced_presence.leaving &&
        presence.has_ended == relay->announced_presence.has_ended &&
        presence.slots == relay->announced_presence.slots) {
        return;
    }
    relay->has_announced = true;
    relay->announced_presence = presence;
    shell_announce(relay->shell, now_us, &presence);
}

void
shell_relay_end_batch(struct shell_relay *relay, uint64_t now_us)
{
    apply_config(relay, now_us);
    announce_upstream(relay, now_us);
    flush_sockets(relay);
}

/// Handles the outcome of the check whether the upstream still listens. An
/// upstream that ended without reporting it is announced as ended, because
/// after this process has stopped no other can tell that it holds no flows.
static void
poll_upstream_probe(struct shell_relay *relay, uint64_t now_us)
{
    enum SlListenState state;

    if (relay->probe_deadline_us == 0) {
        return;
    }
    state = SlListenProbe_Poll(&relay->probe);
    if (state == SL_LISTEN_UNKNOWN && now_us < relay->probe_deadline_us) {
        return;
    }
    relay->probe_deadline_us = 0;
    SlListenProbe_Close(&relay->probe);
    if (state == SL_LISTEN_REFUSED) {
        SlRelayAgent_HandleUpstreamStopped(relay->agent, &relay->sink, now_us);
    }
}

static void
tick_agent(struct shell_relay *relay, uint64_t now_us)
{
    bool was_gone = SlRelayAgent_IsUpstreamGone(relay->agent);

    poll_upstream_probe(relay, now_us);
    SlRelayAgent_Tick(relay->agent, &relay->sink, now_us);
    if (!was_gone && SlRelayAgent_IsUpstreamGone(relay->agent)) {
        relay->exit_not_before_us = now_us + FINAL_ANNOUNCEMENT_US;
    }
}

void
shell_relay_tick(struct shell_relay *relay, uint64_t now_us)
{
    if (relay->entry != NULL) {
        SlRelayEntry_SetCutOff(
            relay->entry,
            SlReplica_IsCutOff(SlNode_Replica(relay->shell->node), now_us));
        /* Answers that have arrived must be read before the tick, which would
           otherwise treat them as missing. */
        receive_frames(relay, now_us, BATCHES_BEFORE_TICK);
        SlRelayEntry_Tick(relay->entry, &relay->sink, now_us);
    }
    else {
        tick_agent(relay, now_us);
    }
    flush_sockets(relay);
}

void
shell_relay_stop(struct shell_relay *relay, uint64_t now_us)
{
    if (relay->agent != NULL) {
        SlRelayAgent_BeginStop(relay->agent, &relay->sink, now_us);
        if (SlRelayAgent_HasListeningUpstream(relay->agent) &&
            !SlRelayAgent_IsUpstreamGone(relay->agent)) {
            SlListenProbe_Begin(&relay->probe,
                                &relay->shell->settings.relay.upstream);
            relay->probe_deadline_us = now_us + PROBE_TIMEOUT_US;
        }
        flush_sockets(relay);
    }
}

bool
shell_relay_may_stop(const struct shell_relay *relay, uint64_t now_us)
{
    return relay->agent == NULL || (relay->probe_deadline_us == 0 &&
                                    now_us >= relay->exit_not_before_us &&
                                    SlRelayAgent_IsIdle(relay->agent));
}

bool
shell_relay_is_ready(const struct shell_relay *relay)
{
    return relay->entry == NULL || SlRelayEntry_IsReady(relay->entry);
}

bool
shell_relay_report_status(struct shell_relay *relay, uint64_t now_us,
                          const struct SlUpstreamStatus *upstream_status)
{
    struct SlUpstreamStatus received = *upstream_status;
    bool accepted;

    received.received_ms = SlClock_Wall() / US_PER_MS;
    if (relay->agent == NULL ||
        strcmp(upstream_status->service,
               relay->shell->settings.relay.service) != 0) {
        return false;
    }
    accepted = SlRelayAgent_UpdateStatus(relay->agent, &relay->sink, now_us,
                                         &received);
    announce_upstream(relay, now_us);
    relay->shell->has_inputs = true;
    return accepted;
}

bool
shell_relay_report_end(struct shell_relay *relay, uint64_t now_us,
                       const char *id)
{
    bool accepted = relay->agent != NULL &&
                    SlRelayAgent_HandleUpstreamGone(relay->agent, &relay->sink,
                                                    now_us, id);

    announce_upstream(relay, now_us);
    relay->shell->has_inputs = true;
    return accepted;
}

bool
shell_relay_next_flow_records(struct shell_relay *relay, uint64_t now_us,
                              uint64_t link, struct SlFlowRecords *records)
{
    if (relay->agent == NULL) {
        return false;
    }
    SlRelayAgent_SetRecordsLink(relay->agent, link);
    return SlRelayAgent_NextFlowRecords(relay->agent, now_us, records);
}

void
shell_relay_handle_flow_records(struct shell_relay *relay, uint64_t now_us,
                                const struct SlFlowRecords *records)
{
    if (relay->agent != NULL) {
        SlRelayAgent_HandleFlowRecords(relay->agent, &relay->sink, now_us,
                                       records);
    }
}

const struct SlRelayEntry *
shell_relay_entry(const struct shell_relay *relay)
{
    return relay->entry;
}

const struct SlRelayAgent *
shell_relay_agent(const struct shell_relay *relay)
{
    return relay->agent;
}
