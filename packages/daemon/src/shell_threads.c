#include <stdlib.h>
#include <unistd.h>
#include <urcu.h>

#include "shell_internal.h"

enum {
    /// Maximum time that a packet thread's event loop waits for events.
    LOOP_WAIT_MAX_US = 1000 * 1000,
};

static struct SlInput
make_input(enum SlInputKind kind, uint64_t now_us)
{
    return (struct SlInput){
        .kind = kind, .now_us = now_us, .wall_us = SlClock_Wall()};
}

static void
handle_datagram(struct packet_thread *thread, uint64_t now_us,
                const struct SlBatchItem *item)
{
    struct SlShell *shell = thread->shell;
    struct SlInput input = make_input(SL_INPUT_TUNNEL, now_us);
    struct SlTunnel tunnel;
    const uint8_t *payload;
    uint32_t payload_bytes;
    uint64_t sender;

    if (SlSealer_Open(shell->sealer, now_us, item->bytes, item->length_bytes,
                      &sender, &payload, &payload_bytes) != SL_OK) {
        return;
    }
    if (SlTunnel_Decode(payload, payload_bytes, &tunnel) != SL_OK) {
        atomic_fetch_add(&shell->counts.datagrams_malformed, 1);
        return;
    }
    if (tunnel.sender != sender) {
        atomic_fetch_add(&shell->counts.datagrams_wrong_sender, 1);
        return;
    }
    input.tunnel = &tunnel;
    handle_input(shell, &thread->output_sink, &input);
}

static void
handle_tunnel_readable(struct SlWatch *watch, uint32_t events)
{
    struct packet_thread *thread = ((struct packet_watch *)watch)->thread;
    uint64_t now_us = SlClock_Monotonic();

    (void)events;
    thread->output_sink.now_us = now_us;
    SlUdpSocket_Receive(watch->descriptor, thread->receive_batch);
    for (uint32_t i = 0; i < thread->receive_batch->count; i++) {
        handle_datagram(thread, now_us, &thread->receive_batch->items[i]);
    }
    output_sink_flush(&thread->output_sink);
}

static void
receive_packets(struct packet_thread *thread, struct SlPort *port,
                enum SlInputKind kind)
{
    uint64_t now_us = SlClock_Monotonic();
    struct SlInput input = make_input(kind, now_us);

    thread->output_sink.now_us = now_us;
    port->type->receive(port, now_us, thread->receive_batch);
    for (uint32_t i = 0; i < thread->receive_batch->count; i++) {
        input.packet.bytes = thread->receive_batch->items[i].bytes;
        input.packet.length_bytes =
            thread->receive_batch->items[i].length_bytes;
        handle_input(thread->shell, &thread->output_sink, &input);
    }
    output_sink_flush(&thread->output_sink);
}

static void
handle_callers_port_readable(struct SlWatch *watch, uint32_t events)
{
    struct packet_thread *thread = ((struct packet_watch *)watch)->thread;

    (void)events;
    receive_packets(thread, thread->output_sink.callers_port,
                    SL_INPUT_CALLER_PACKET);
}

static void
handle_upstream_port_readable(struct SlWatch *watch, uint32_t events)
{
    struct packet_thread *thread = ((struct packet_watch *)watch)->thread;

    (void)events;
    receive_packets(thread, thread->output_sink.upstream_port,
                    SL_INPUT_UPSTREAM_PACKET);
}

static enum SlStatus
watch_descriptor(struct packet_thread *thread, struct packet_watch *watch,
                 int descriptor,
                 void (*ready)(struct SlWatch *watch, uint32_t events))
{
    watch->thread = thread;
    watch->watch.descriptor = descriptor;
    watch->watch.on_ready = ready;
    return SlLoop_Watch(thread->loop, &watch->watch, SL_LOOP_READ);
}

static struct SlPortOptions
port_options(const struct SlSettings *settings, enum SlPortSide side)
{
    const struct SlPortSettings *port = side == SL_PORT_CALLERS
                                            ? &settings->entry.port
                                            : &settings->agent.port;
    struct SlPortOptions options = {
        .kind = port->kind,
        .side = side,
        .listen = port->listen,
        .peer = port->peer,
        .reuse_port = settings->node.threads > 1,
        .upstream = port->upstream,
        .max_flows = settings->agent.capacity_flows,
    };

    for (size_t i = 0; i < sizeof(options.device); i++) {
        options.device[i] = port->device[i];
    }
    return options;
}

/// Opens a port for a packet thread. If all threads share one port of this
/// type, only the first packet thread opens and watches it, and the other
/// threads send through it. opened: receives the port if this thread opened
/// it. send_port: receives the port that the thread sends with.
static enum SlStatus
open_port(struct packet_thread *thread, enum SlPortSide side,
          struct SlPort **opened, struct SlPort **send_port,
          struct SlError *error)
{
    struct SlShell *shell = thread->shell;
    struct packet_thread *first_thread = &shell->threads[0];
    struct SlPortOptions options = port_options(&shell->settings, side);
    bool callers = side == SL_PORT_CALLERS;
    enum SlStatus status;

    if (thread != first_thread &&
        !SlPort_Type(options.kind, options.side)->is_per_thread) {
        *send_port = callers ? first_thread->opened_callers_port
                             : first_thread->opened_upstream_port;
        return SL_OK;
    }
    status = SlPort_Open(&options, opened, error);
    if (status != SL_OK) {
        return status;
    }
    *send_port = *opened;
    return watch_descriptor(
        thread, callers ? &thread->callers_watch : &thread->upstream_watch,
        (*opened)->type->get_descriptor(*opened),
        callers ? handle_callers_port_readable
                : handle_upstream_port_readable);
}

static enum SlStatus
open_ports(struct packet_thread *thread, struct SlError *error)
{
    uint32_t roles = thread->shell->settings.node.roles;
    enum SlStatus status = SL_OK;

    if (roles & SL_ROLE_ENTRY) {
        status =
            open_port(thread, SL_PORT_CALLERS, &thread->opened_callers_port,
                      &thread->output_sink.callers_port, error);
    }
    if (status == SL_OK && (roles & SL_ROLE_AGENT)) {
        status =
            open_port(thread, SL_PORT_UPSTREAM, &thread->opened_upstream_port,
                      &thread->output_sink.upstream_port, error);
    }
    return status;
}

static enum SlStatus
open_packet_thread(struct packet_thread *thread, struct SlShell *shell,
                   struct SlError *error)
{
    enum SlStatus status;

    thread->shell = shell;
    thread->loop = SlLoop_Create();
    thread->receive_batch = SlBatch_Create();
    if (thread->loop == NULL || thread->receive_batch == NULL ||
        output_sink_init(&thread->output_sink, shell, false) != SL_OK) {
        return SlError_Set(error, SL_NO_MEMORY, SL_STEP_OPEN, NULL,
                           "no memory for a packet thread");
    }
    status = SlUdpSocket_Open(&shell->settings.node.tunnel,
                              shell->settings.node.threads > 1,
                              &thread->output_sink.tunnel_descriptor, error);
    if (status != SL_OK) {
        return status;
    }
    status = watch_descriptor(thread, &thread->tunnel_watch,
                              thread->output_sink.tunnel_descriptor,
                              handle_tunnel_readable);
    if (status != SL_OK) {
        return status;
    }
    return open_ports(thread, error);
}

/// Checks that no other process uses an address, by opening a socket that does
/// not share its address. The packet threads' sockets share their addresses,
/// and would share them with another process too. Errors: SL_IO.
static enum SlStatus
check_address_free(const struct SlAddress *address, struct SlError *error)
{
    int descriptor;
    enum SlStatus status =
        SlUdpSocket_Open(address, false, &descriptor, error);

    if (status == SL_OK) {
        close(descriptor);
    }
    return status;
}

/// Checks the addresses that the packet threads' sockets share.
static enum SlStatus
check_addresses(const struct SlSettings *settings, struct SlError *error)
{
    const struct SlPortSettings *entry = &settings->entry.port;
    const struct SlPortSettings *agent = &settings->agent.port;
    uint32_t roles = settings->node.roles;
    enum SlStatus status = check_address_free(&settings->node.tunnel, error);

    if (status == SL_OK && (roles & SL_ROLE_ENTRY) &&
        entry->kind == SL_PORT_ENCAP) {
        status = check_address_free(&entry->listen, error);
    }
    if (status == SL_OK && (roles & SL_ROLE_AGENT) &&
        agent->kind == SL_PORT_ENCAP) {
        status = check_address_free(&agent->listen, error);
    }
    return status;
}

enum SlStatus
packet_threads_open(struct SlShell *shell, struct SlError *error)
{
    enum SlStatus status = check_addresses(&shell->settings, error);

    if (status != SL_OK) {
        return status;
    }
    for (uint32_t i = 0; i < shell->settings.node.threads; i++) {
        shell->threads[i].output_sink.tunnel_descriptor = -1;
        status = open_packet_thread(&shell->threads[i], shell, error);
        if (status != SL_OK) {
            return status;
        }
    }
    shell->control_sink.tunnel_descriptor =
        shell->threads[0].output_sink.tunnel_descriptor;
    shell->control_sink.callers_port =
        shell->threads[0].output_sink.callers_port;
    shell->control_sink.upstream_port =
        shell->threads[0].output_sink.upstream_port;
    return SL_OK;
}

static void *
run_packet_thread(void *context)
{
    struct packet_thread *thread = context;

    rcu_register_thread();
    while (!atomic_load(&thread->shell->threads_must_exit)) {
        SlLoop_RunOnce(thread->loop, LOOP_WAIT_MAX_US);
    }
    rcu_unregister_thread();
    return NULL;
}

enum SlStatus
packet_threads_start(struct SlShell *shell, struct SlError *error)
{
    for (uint32_t i = 0; i < shell->settings.node.threads; i++) {
        struct packet_thread *thread = &shell->threads[i];

        if (pthread_create(&thread->thread, NULL, run_packet_thread, thread) !=
            0) {
            return SlError_Set(error, SL_NO_MEMORY, SL_STEP_OPEN, NULL,
                               "cannot start a packet thread");
        }
        thread->is_started = true;
    }
    return SL_OK;
}

static void
close_packet_thread(struct packet_thread *thread)
{
    SlPort_Close(thread->opened_callers_port);
    SlPort_Close(thread->opened_upstream_port);
    if (thread->output_sink.tunnel_descriptor >= 0 && thread->shell != NULL) {
        close(thread->output_sink.tunnel_descriptor);
    }
    output_sink_release(&thread->output_sink);
    SlBatch_Destroy(thread->receive_batch);
    SlLoop_Destroy(thread->loop);
}

void
packet_threads_stop(struct SlShell *shell)
{
    atomic_store(&shell->threads_must_exit, true);
    for (uint32_t i = 0; i < shell->settings.node.threads; i++) {
        struct packet_thread *thread = &shell->threads[i];

        if (thread->is_started) {
            SlLoop_Wake(thread->loop);
            pthread_join(thread->thread, NULL);
            thread->is_started = false;
        }
    }
}

void
packet_threads_close(struct SlShell *shell)
{
    packet_threads_stop(shell);
    for (uint32_t i = 0; i < shell->settings.node.threads; i++) {
        close_packet_thread(&shell->threads[i]);
    }
}
