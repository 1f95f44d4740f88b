#include <stdlib.h>
#include <unistd.h>
#include <urcu.h>

#include "shell_internal.h"

enum {
    WAIT_US = 1000 * 1000,
};

static struct SlInput
input_now(enum SlInputKind kind, uint64_t now_us)
{
    return (struct SlInput){
        .kind = kind, .now_us = now_us, .wall_us = SlClock_Wall()};
}

static void
take_datagram(struct packet_thread *thread, uint64_t now_us,
              const struct SlBatchItem *item)
{
    struct SlShell *shell = thread->shell;
    struct SlInput input = input_now(SL_INPUT_TUNNEL, now_us);
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
    give_input(shell, &thread->outlet, &input);
}

static void
ready_tunnel(struct SlWatch *watch, uint32_t events)
{
    struct packet_thread *thread = ((struct packet_watch *)watch)->thread;
    uint64_t now_us = SlClock_Monotonic();

    (void)events;
    thread->outlet.now_us = now_us;
    SlUdpSocket_Receive(watch->descriptor, thread->in);
    for (uint32_t i = 0; i < thread->in->count; i++) {
        take_datagram(thread, now_us, &thread->in->items[i]);
    }
    outlet_flush(&thread->outlet);
}

static void
take_packets(struct packet_thread *thread, struct SlPort *port,
             enum SlInputKind kind)
{
    uint64_t now_us = SlClock_Monotonic();
    struct SlInput input = input_now(kind, now_us);

    thread->outlet.now_us = now_us;
    port->type->receive(port, now_us, thread->in);
    for (uint32_t i = 0; i < thread->in->count; i++) {
        input.packet.bytes = thread->in->items[i].bytes;
        input.packet.length_bytes = thread->in->items[i].length_bytes;
        give_input(thread->shell, &thread->outlet, &input);
    }
    outlet_flush(&thread->outlet);
}

static void
ready_callers(struct SlWatch *watch, uint32_t events)
{
    struct packet_thread *thread = ((struct packet_watch *)watch)->thread;

    (void)events;
    take_packets(thread, thread->outlet.callers, SL_INPUT_CALLER_PACKET);
}

static void
ready_upstream(struct SlWatch *watch, uint32_t events)
{
    struct packet_thread *thread = ((struct packet_watch *)watch)->thread;

    (void)events;
    take_packets(thread, thread->outlet.upstream, SL_INPUT_UPSTREAM_PACKET);
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

/// Ports of which each thread has one of its own are watched by all; others
/// by the first thread alone.
static enum SlStatus
open_port(struct packet_thread *thread, enum SlPortSide side,
          struct SlPort **own, struct SlPort **used, struct SlError *error)
{
    struct SlShell *shell = thread->shell;
    struct packet_thread *first = &shell->threads[0];
    struct SlPortOptions options = port_options(&shell->settings, side);
    bool callers = side == SL_PORT_CALLERS;
    enum SlStatus status;

    if (thread != first &&
        !SlPort_Type(options.kind, options.side)->is_per_thread) {
        *used = callers ? first->own_callers : first->own_upstream;
        return SL_OK;
    }
    status = SlPort_Open(&options, own, error);
    if (status != SL_OK) {
        return status;
    }
    *used = *own;
    return watch_descriptor(thread,
                            callers ? &thread->callers : &thread->upstream,
                            (*own)->type->get_descriptor(*own),
                            callers ? ready_callers : ready_upstream);
}

static enum SlStatus
open_ports(struct packet_thread *thread, struct SlError *error)
{
    uint32_t roles = thread->shell->settings.node.roles;
    enum SlStatus status = SL_OK;

    if (roles & SL_ROLE_ENTRY) {
        status = open_port(thread, SL_PORT_CALLERS, &thread->own_callers,
                           &thread->outlet.callers, error);
    }
    if (status == SL_OK && (roles & SL_ROLE_AGENT)) {
        status = open_port(thread, SL_PORT_UPSTREAM, &thread->own_upstream,
                           &thread->outlet.upstream, error);
    }
    return status;
}

static enum SlStatus
open_thread(struct packet_thread *thread, struct SlShell *shell,
            struct SlError *error)
{
    enum SlStatus status;

    thread->shell = shell;
    thread->loop = SlLoop_Create();
    thread->in = SlBatch_Create();
    if (thread->loop == NULL || thread->in == NULL ||
        outlet_init(&thread->outlet, shell, false) != SL_OK) {
        return SlError_Set(error, SL_NO_MEMORY, SL_STEP_OPEN, NULL,
                           "no memory for a packet thread");
    }
    status = SlUdpSocket_Open(&shell->settings.node.tunnel,
                              shell->settings.node.threads > 1,
                              &thread->outlet.tunnel, error);
    if (status != SL_OK) {
        return status;
    }
    status = watch_descriptor(thread, &thread->tunnel, thread->outlet.tunnel,
                              ready_tunnel);
    if (status != SL_OK) {
        return status;
    }
    return open_ports(thread, error);
}

/// Sockets that share an address would also share it with another process;
/// an exclusive one tells whether it is free.
static enum SlStatus
check_free(const struct SlAddress *address, struct SlError *error)
{
    int descriptor;
    enum SlStatus status =
        SlUdpSocket_Open(address, false, &descriptor, error);

    if (status == SL_OK) {
        close(descriptor);
    }
    return status;
}

static enum SlStatus
check_addresses(const struct SlSettings *settings, struct SlError *error)
{
    const struct SlPortSettings *entry = &settings->entry.port;
    const struct SlPortSettings *agent = &settings->agent.port;
    uint32_t roles = settings->node.roles;
    enum SlStatus status = check_free(&settings->node.tunnel, error);

    if (status == SL_OK && (roles & SL_ROLE_ENTRY) &&
        entry->kind == SL_PORT_ENCAP) {
        status = check_free(&entry->listen, error);
    }
    if (status == SL_OK && (roles & SL_ROLE_AGENT) &&
        agent->kind == SL_PORT_ENCAP) {
        status = check_free(&agent->listen, error);
    }
    return status;
}

enum SlStatus
threads_open(struct SlShell *shell, struct SlError *error)
{
    enum SlStatus status = check_addresses(&shell->settings, error);

    if (status != SL_OK) {
        return status;
    }
    for (uint32_t i = 0; i < shell->settings.node.threads; i++) {
        shell->threads[i].outlet.tunnel = -1;
        status = open_thread(&shell->threads[i], shell, error);
        if (status != SL_OK) {
            return status;
        }
    }
    shell->control.tunnel = shell->threads[0].outlet.tunnel;
    shell->control.callers = shell->threads[0].outlet.callers;
    shell->control.upstream = shell->threads[0].outlet.upstream;
    return SL_OK;
}

static void *
run_thread(void *context)
{
    struct packet_thread *thread = context;

    rcu_register_thread();
    while (!atomic_load(&thread->shell->ending)) {
        SlLoop_RunOnce(thread->loop, WAIT_US);
    }
    rcu_unregister_thread();
    return NULL;
}

enum SlStatus
threads_start(struct SlShell *shell, struct SlError *error)
{
    for (uint32_t i = 0; i < shell->settings.node.threads; i++) {
        struct packet_thread *thread = &shell->threads[i];

        if (pthread_create(&thread->thread, NULL, run_thread, thread) != 0) {
            return SlError_Set(error, SL_NO_MEMORY, SL_STEP_OPEN, NULL,
                               "cannot start a packet thread");
        }
        thread->started = true;
    }
    return SL_OK;
}

static void
close_thread(struct packet_thread *thread)
{
    SlPort_Close(thread->own_callers);
    SlPort_Close(thread->own_upstream);
    if (thread->outlet.tunnel >= 0 && thread->shell != NULL) {
        close(thread->outlet.tunnel);
    }
    outlet_release(&thread->outlet);
    SlBatch_Destroy(thread->in);
    SlLoop_Destroy(thread->loop);
}

void
threads_stop(struct SlShell *shell)
{
    atomic_store(&shell->ending, true);
    for (uint32_t i = 0; i < shell->settings.node.threads; i++) {
        struct packet_thread *thread = &shell->threads[i];

        if (thread->started) {
            SlLoop_Wake(thread->loop);
            pthread_join(thread->thread, NULL);
            thread->started = false;
        }
    }
}

void
threads_close(struct SlShell *shell)
{
    threads_stop(shell);
    for (uint32_t i = 0; i < shell->settings.node.threads; i++) {
        close_thread(&shell->threads[i]);
    }
}
