#include "shell_relay.h"

#include <sodium.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "listen_probe.h"
#include "shell_internal.h"

enum {
    /// Batches taken from a socket before others get their turn.
    BATCHES_PER_TURN = 4,
    /// Batches taken before a tick judges who is silent, at most.
    BATCHES_BEFORE_TICK = 32,
    US_PER_MS = 1000,
    /// A connection on one machine is accepted or refused well within this.
    PROBE_US = 300 * 1000,
    /// Time for the last announcement to reach control and all entries.
    LAST_WORD_US = 200 * 1000,
};

/// One socket of the relay, and what waits to leave it.
struct relay_socket {
    struct SlWatch watch;
    struct shell_relay *relay;
    struct SlBatch *out;
};

struct shell_relay {
    struct SlRelaySink sink;
    struct SlShell *shell;
    const struct SlAdapter *adapter;
    struct SlRelayEntry *entry;
    struct SlRelayAgent *agent;
    /// Frames of other processes; callers; the upstream.
    struct relay_socket frames;
    struct relay_socket callers;
    struct relay_socket upstream;
    struct SlBatch *in;
    struct SlPlan *plan;
    uint64_t plan_document;
    uint64_t generation;
    /// What the process announces, to tell changes.
    struct shell_presence presence;
    bool announced;
    /// In a planned stop: is the upstream still there? Until when that is
    /// asked, 0 not now, and until when the process stays for its answer.
    struct SlListenProbe probe;
    uint64_t probe_until_us;
    uint64_t stay_until_us;
};

static void
flush(struct relay_socket *socket)
{
    uint32_t failed;

    if (socket->out == NULL || socket->out->count == 0) {
        return;
    }
    failed = SlUdpSocket_Send(socket->watch.descriptor, socket->out);
    if (failed > 0) {
        atomic_fetch_add(&socket->relay->shell->counts.tunnel_send_failed,
                         failed);
    }
}

static void
flush_all(struct shell_relay *relay)
{
    flush(&relay->upstream);
    flush(&relay->callers);
    flush(&relay->frames);
}

/// The next free item of a socket's batch.
static struct SlBatchItem *
next_item(struct relay_socket *socket, const struct SlAddress *to)
{
    struct SlBatchItem *item;

    if (socket->out->count == SL_BATCH_ITEMS) {
        flush(socket);
    }
    item = &socket->out->items[socket->out->count++];
    item->peer = *to;
    return item;
}

static void
send_to_caller(struct SlRelaySink *sink, const struct SlAddress *caller,
               const uint8_t *bytes, uint32_t length_bytes)
{
    struct shell_relay *relay = (struct shell_relay *)sink;
    struct SlBatchItem *item = next_item(&relay->callers, caller);

    /* The caller's port names its end of the flow; the network reaches it at
       the port where callers reach us. */
    item->peer.port = relay->shell->settings.relay.callers.port;
    memcpy(item->bytes, bytes, length_bytes);
    item->length_bytes = length_bytes;
}

static void
send_to_upstream(struct SlRelaySink *sink, const uint8_t *bytes,
                 uint32_t length_bytes)
{
    struct shell_relay *relay = (struct shell_relay *)sink;
    struct SlBatchItem *item =
        next_item(&relay->upstream, &relay->shell->settings.relay.upstream);

    memcpy(item->bytes, bytes, length_bytes);
    item->length_bytes = length_bytes;
}

static void
send_frame(struct SlRelaySink *sink, const struct SlAddress *to,
           const struct SlRelayFrame *frame)
{
    struct shell_relay *relay = (struct shell_relay *)sink;
    struct SlBatchItem *item = next_item(&relay->frames, to);

    item->length_bytes = SlRelayFrame_Encode(frame, item->bytes);
    if (item->length_bytes == 0) {
        relay->frames.out->count--;
        atomic_fetch_add(&relay->shell->counts.tunnel_send_failed, 1);
    }
}

static void
relay_event(struct SlRelaySink *sink, const struct SlEvent *event)
{
    struct shell_relay *relay = (struct shell_relay *)sink;

    SlLog_WriteEvent(relay->shell->log, event);
}

static const struct SlRelaySinkType SINK = {
    .send_to_caller = send_to_caller,
    .send_to_upstream = send_to_upstream,
    .send_frame = send_frame,
    .event = relay_event,
};

static void
take_frame(struct shell_relay *relay, uint64_t now_us,
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
take_frames(struct shell_relay *relay, uint64_t now_us, uint32_t batches)
{
    uint32_t turns = 0;

    do {
        SlUdpSocket_Receive(relay->frames.watch.descriptor, relay->in);
        for (uint32_t i = 0; i < relay->in->count; i++) {
            take_frame(relay, now_us, &relay->in->items[i]);
        }
    } while (relay->in->count == SL_BATCH_ITEMS && ++turns < batches);
}

static void
ready_frames(struct SlWatch *watch, uint32_t events)
{
    struct shell_relay *relay = ((struct relay_socket *)watch)->relay;

    (void)events;
    take_frames(relay, SlClock_Monotonic(), BATCHES_PER_TURN);
    flush_all(relay);
}

static void
ready_callers(struct SlWatch *watch, uint32_t events)
{
    struct shell_relay *relay = ((struct relay_socket *)watch)->relay;
    uint64_t now_us = SlClock_Monotonic();

    (void)events;
    SlUdpSocket_Receive(watch->descriptor, relay->in);
    for (uint32_t i = 0; relay->entry != NULL && i < relay->in->count; i++) {
        SlRelayEntry_HandleCallerSegment(relay->entry, &relay->sink, now_us,
                                         relay->in->items[i].bytes,
                                         relay->in->items[i].length_bytes);
    }
    flush_all(relay);
}

static void
ready_upstream(struct SlWatch *watch, uint32_t events)
{
    struct shell_relay *relay = ((struct relay_socket *)watch)->relay;
    uint64_t now_us = SlClock_Monotonic();

    (void)events;
    SlUdpSocket_Receive(watch->descriptor, relay->in);
    for (uint32_t i = 0; i < relay->in->count; i++) {
        SlRelayAgent_HandleUpstreamSegment(relay->agent, &relay->sink, now_us,
                                           relay->in->items[i].bytes,
                                           relay->in->items[i].length_bytes);
    }
    flush_all(relay);
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
    socket->out = SlBatch_Create();
    if (socket->out == NULL) {
        return SlError_Set(error, SL_NO_MEMORY, SL_STEP_OPEN, NULL,
                           "no memory for a socket of the relay");
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
    SlBatch_Destroy(socket->out);
}

static enum SlStatus
open_sockets(struct shell_relay *relay, struct SlError *error)
{
    const struct SlSettings *settings = &relay->shell->settings;
    enum SlStatus status = open_socket(
        relay, &relay->frames, &settings->node.tunnel, ready_frames, error);

    if (status == SL_OK) {
        status = open_socket(relay, &relay->callers, &settings->relay.callers,
                             ready_callers, error);
    }
    if (status == SL_OK && relay->agent != NULL) {
        status = open_socket(relay, &relay->upstream,
                             &settings->relay.upstream_sends, ready_upstream,
                             error);
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
}

static enum SlStatus
create_cores(struct shell_relay *relay, uint64_t now_us)
{
    struct SlRelayOptions options = {.format = NULL};
    bool entry = relay->shell->settings.node.roles & SL_ROLE_ENTRY;

    fill_options(relay, &options);
    relay->in = SlBatch_Create();
    if (entry) {
        relay->entry = SlRelayEntry_Create(&options);
    }
    else {
        relay->agent = SlRelayAgent_Create(&options, now_us);
    }
    return relay->in != NULL && (relay->entry != NULL || relay->agent != NULL)
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
        relay->sink.type = &SINK;
        relay->shell = shell;
        relay->probe.descriptor = -1;
        relay->adapter = adapter;
        relay->frames.watch.descriptor = -1;
        relay->callers.watch.descriptor = -1;
        relay->upstream.watch.descriptor = -1;
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
    close_socket(relay, &relay->frames);
    close_socket(relay, &relay->callers);
    close_socket(relay, &relay->upstream);
    SlBatch_Destroy(relay->in);
    SlRelayEntry_Destroy(relay->entry);
    SlRelayAgent_Destroy(relay->agent);
    SlPlan_Unref(relay->plan);
    free(relay);
}

/// Reads the document, if it is another than the one in use. One that cannot
/// be read leaves the former plan in use.
static void
read_document(struct shell_relay *relay, uint64_t now_us,
              const struct SlDocument *document)
{
    struct SlPlan *plan;
    struct SlError error;

    if (document == NULL || document->version == relay->plan_document) {
        return;
    }
    relay->plan_document = document->version;
    if (relay->adapter->plan_format->decode(
            document->bytes, document->length_bytes, &plan, &error) != SL_OK) {
        log_event(relay->shell, (struct SlEvent){.number = SL_EVENT_FAILED,
                                                 .now_us = now_us,
                                                 .node = error.message,
                                                 .reason = "document"});
        return;
    }
    SlPlan_Unref(relay->plan);
    relay->plan = plan;
}

static void
refresh_config(struct shell_relay *relay, uint64_t now_us)
{
    const struct SlReplica *replica = SlNode_Replica(relay->shell->node);
    const struct SlConfig *config = SlReplica_Config(replica);
    uint64_t generation = SlReplica_Generation(replica);
    enum SlStatus status;

    if (generation == relay->generation) {
        return;
    }
    read_document(relay, now_us, SlConfig_Document(config));
    if (relay->entry != NULL) {
        status = SlRelayEntry_SetConfig(relay->entry, &relay->sink, now_us,
                                        config, relay->plan);
    }
    else {
        status = SlRelayAgent_SetConfig(relay->agent, &relay->sink, now_us,
                                        config, relay->plan);
    }
    if (status == SL_OK) {
        relay->generation = generation;
        return;
    }
    log_event(relay->shell, (struct SlEvent){.number = SL_EVENT_FAILED,
                                             .now_us = now_us,
                                             .reason = SlStatus_Name(status)});
}

/// Tells control what changed about the upstream: its service, its slots, and
/// whether it takes new flows.
static void
announce(struct shell_relay *relay, uint64_t now_us)
{
    struct SlUpstreamStatus notice;
    struct shell_presence presence;
    bool known;

    if (relay->agent == NULL) {
        return;
    }
    known = SlRelayAgent_GetUpstreamStatus(relay->agent, &notice);
    if (!relay->announced && !relay->shell->stopping &&
        SlRelayAgent_UsesAnnouncedState(relay->agent, now_us)) {
        return;
    }
    presence = (struct shell_presence){
        .slots = notice.slots,
        .leaving = !known || notice.draining || relay->shell->stopping,
        .gone = SlRelayAgent_IsUpstreamGone(relay->agent),
    };
    if (relay->announced && presence.leaving == relay->presence.leaving &&
        presence.gone == relay->presence.gone &&
        presence.slots == relay->presence.slots) {
        return;
    }
    relay->announced = true;
    relay->presence = presence;
    shell_announce(relay->shell, now_us, &presence);
}

void
shell_relay_end_batch(struct shell_relay *relay, uint64_t now_us)
{
    refresh_config(relay, now_us);
    announce(relay, now_us);
    flush_all(relay);
}

/// An upstream that has ended without a word is announced as gone: afterwards
/// nobody could say that it holds no flow.
static void
look_for_upstream(struct shell_relay *relay, uint64_t now_us)
{
    enum SlListenState state;

    if (relay->probe_until_us == 0) {
        return;
    }
    state = SlListenProbe_Poll(&relay->probe);
    if (state == SL_LISTEN_UNKNOWN && now_us < relay->probe_until_us) {
        return;
    }
    relay->probe_until_us = 0;
    SlListenProbe_Close(&relay->probe);
    if (state == SL_LISTEN_REFUSED) {
        SlRelayAgent_HandleUpstreamStopped(relay->agent, &relay->sink, now_us);
        relay->stay_until_us = now_us + LAST_WORD_US;
    }
}

void
shell_relay_tick(struct shell_relay *relay, uint64_t now_us)
{
    if (relay->entry != NULL) {
        SlRelayEntry_SetCutOff(
            relay->entry,
            SlReplica_IsCutOff(SlNode_Replica(relay->shell->node), now_us));
        /* An answer that has arrived is not missing. */
        take_frames(relay, now_us, BATCHES_BEFORE_TICK);
        SlRelayEntry_Tick(relay->entry, &relay->sink, now_us);
    }
    else {
        look_for_upstream(relay, now_us);
        SlRelayAgent_Tick(relay->agent, &relay->sink, now_us);
    }
    flush_all(relay);
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
            relay->probe_until_us = now_us + PROBE_US;
        }
        flush_all(relay);
    }
}

bool
shell_relay_idle(const struct shell_relay *relay, uint64_t now_us)
{
    return relay->agent == NULL ||
           (relay->probe_until_us == 0 && now_us >= relay->stay_until_us &&
            SlRelayAgent_IsIdle(relay->agent));
}

bool
shell_relay_ready(const struct shell_relay *relay)
{
    return relay->entry == NULL || SlRelayEntry_IsReady(relay->entry);
}

bool
shell_relay_notice(struct shell_relay *relay, uint64_t now_us,
                   const struct SlUpstreamStatus *notice)
{
    if (relay->agent == NULL ||
        strcmp(notice->service, relay->shell->settings.relay.service) != 0) {
        return false;
    }
    (void)SlRelayAgent_UpdateStatus(relay->agent, &relay->sink, now_us,
                                    notice);
    announce(relay, now_us);
    relay->shell->has_inputs = true;
    return true;
}

bool
shell_relay_gone(struct shell_relay *relay, uint64_t now_us, const char *id)
{
    bool gone = relay->agent != NULL &&
                SlRelayAgent_HandleUpstreamGone(relay->agent, &relay->sink,
                                                now_us, id);

    announce(relay, now_us);
    relay->shell->has_inputs = true;
    return gone;
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
