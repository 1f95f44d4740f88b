/* One agent used by several threads: packets of both sides, datagrams of other
   agents, ticks and new routing tables arrive concurrently. The counters must
   be consistent at the end. */

#include <pthread.h>
#include <sched.h>
#include <stdatomic.h>

#include "agent_fixture.h"

enum {
    WORKERS = 4,
    ROUNDS = 20000,
    PORTS_EACH = 500,
    ROUNDS_PER_TICK = 100,
};

struct worker {
    struct SlSink sink;
    pthread_t thread;
    struct SlAgent *agent;
    struct fixture *fx;
    uint32_t number;
    uint64_t random;
    uint64_t delivered;
    uint64_t events;
};

static atomic_uint_fast64_t shared_time_us;
static atomic_uint ticks;
static atomic_bool workers_done;

static void
count_delivered(struct SlSink *sink, const uint8_t *bytes, uint32_t length)
{
    (void)bytes;
    (void)length;
    ((struct worker *)sink)->delivered++;
}

static void
count_event(struct SlSink *sink, const struct SlEvent *event)
{
    (void)event;
    ((struct worker *)sink)->events++;
}

static struct SlSinkType worker_sink;

/// One packet of a flow: SYN, SYN-ACK, request, answer, reset.
struct step {
    bool from_upstream;
    uint8_t flags;
    uint32_t seq;
    uint32_t ack;
    uint32_t payload_bytes;
};

static const struct step STEPS[] = {
    {false, SL_TCP_SYN, 1000, 0, 0},
    {true, SL_TCP_SYN | SL_TCP_ACK, 5000, 1001, 0},
    {false, SL_TCP_ACK, 1001, 5001, 5},
    {true, SL_TCP_ACK, 5001, 1006, 5},
    {true, SL_TCP_RST, 5006, 1006, 0},
};

enum {
    STEP_COUNT = sizeof(STEPS) / sizeof(STEPS[0]),
};

/// Builds the next packet of a flow. A flow that reuses a port starts at a
/// higher sequence number.
static uint32_t
build_step_packet(const struct worker *worker, uint32_t round, uint8_t *out,
                  uint32_t size_bytes)
{
    const struct fixture *fx = worker->fx;
    const struct step *step = &STEPS[round % STEP_COUNT];
    uint32_t flow = round / STEP_COUNT;
    uint32_t seq_shift = flow / PORTS_EACH * 100000;
    struct SlTcpSegment segment = {.source = fx->caller,
                                   .destination = fx->service,
                                   .flags = step->flags,
                                   .seq = step->seq + seq_shift,
                                   .ack = step->ack + seq_shift,
                                   .payload = (const uint8_t *)"order",
                                   .payload_bytes = step->payload_bytes};

    segment.source.port =
        (uint16_t)(2000 + worker->number / 2 * PORTS_EACH + flow % PORTS_EACH);
    if (step->from_upstream) {
        struct SlAddress caller = segment.source;

        segment.source = segment.destination;
        segment.destination = caller;
    }
    return SlPacket_BuildTcp(&segment, out, size_bytes);
}

static void
fill_datagram(struct worker *worker, struct SlInput *input,
              struct SlTunnel *tunnel, uint32_t random_bits)
{
    const struct fixture *fx = worker->fx;

    tunnel->version = (struct SlVersion){.term = 1, .index = 1};
    tunnel->service_id = SlService_Id("workroom");
    tunnel->sender = fx->entries[0];
    tunnel->origin_entry = fx->entries[0];
    tunnel->kind = SL_TUNNEL_FORWARD;
    if (random_bits % 16 == 0) {
        random_bits /= 16;
        tunnel->kind =
            random_bits % 8 < 4 ? SL_TUNNEL_LOCATE : SL_TUNNEL_LOCATED;
        tunnel->sender = fx->agents[1 + random_bits % 6].node_id;
        tunnel->flags = random_bits % 16 < 8 ? SL_TUNNEL_CLAIM : 0;
        tunnel->flow.caller = fx->caller;
        tunnel->flow.caller.port = (uint16_t)(2000 + random_bits % PORTS_EACH);
        tunnel->flow.service = fx->service;
        tunnel->flow.protocol = IPPROTO_TCP;
        tunnel->load_capacity = 2000;
        tunnel->load_flows = random_bits % 2000;
        tunnel->load_free_capacity = random_bits % 10;
    }
    input->kind = SL_INPUT_TUNNEL;
    input->tunnel = tunnel;
}

static void *
run_worker(void *argument)
{
    struct worker *worker = argument;
    uint8_t bytes[SL_PACKET_ANSWER_BYTES];

    rcu_register_thread();
    for (uint32_t i = 0; i < ROUNDS; i++) {
        struct SlInput input = {.kind = SL_INPUT_UPSTREAM_PACKET};
        struct SlTunnel tunnel = {.kind = SL_TUNNEL_NONE};
        uint32_t length = build_step_packet(worker, i, bytes, sizeof(bytes));

        /* Waits for the ticks, so that time passes however the threads are
           scheduled. */
        while (atomic_load(&ticks) < i / ROUNDS_PER_TICK) {
            sched_yield();
        }
        worker->random =
            worker->random * 6364136223846793005u + 1442695040888963407u;
        input.now_us = atomic_load(&shared_time_us);
        input.packet.bytes = bytes;
        input.packet.length_bytes = length;
        if (!STEPS[i % STEP_COUNT].from_upstream) {
            tunnel.packet = bytes;
            tunnel.packet_bytes = length;
            fill_datagram(worker, &input, &tunnel,
                          (uint32_t)(worker->random >> 33));
        }
        SlAgent_HandleInput(worker->agent, &worker->sink, &input);
    }
    rcu_unregister_thread();
    return NULL;
}

/// Runs ticks and changes the routing table until the workers are done.
static void
run_control(struct fixture *fx, struct worker *self)
{
    struct SlRouting *tables[2] = {SlRouting_Ref(fx->site.routing), NULL};
    uint32_t i = 0;

    site_change_hold(&fx->site, SL_VERB_HOLD, SL_KIND_NODE, "workroom-2");
    tables[1] = SlRouting_Ref(site_build_routing(&fx->site));
    while (!atomic_load(&workers_done)) {
        struct SlInput tick = {.kind = SL_INPUT_TICK};

        tick.now_us =
            atomic_fetch_add(&shared_time_us, SL_TICK_US) + SL_TICK_US;
        SlAgent_HandleInput(self->agent, &self->sink, &tick);
        atomic_fetch_add(&ticks, 1);
        if (++i % 16 == 0) {
            SlAgent_SetRouting(self->agent, &self->sink, tick.now_us,
                               tables[i / 16 % 2]);
        }
    }
    SlRouting_Unref(tables[0]);
    SlRouting_Unref(tables[1]);
}

static void *
join_workers(void *argument)
{
    struct worker *workers = argument;

    for (uint32_t i = 0; i < WORKERS; i++) {
        pthread_join(workers[i].thread, NULL);
    }
    atomic_store(&workers_done, true);
    return NULL;
}

static void
test_threads_share_an_agent(void)
{
    static struct worker workers[WORKERS + 1];
    struct SlAgentCounters counters;
    struct fixture fx;
    pthread_t joiner;
    uint64_t delivered = 0;

    worker_sink = FX_SINK;
    worker_sink.send_to_upstream = count_delivered;
    worker_sink.send_tunnel = SlSink_IgnoreTunnel;
    worker_sink.log_event = count_event;
    fx_open(&fx, "workroom");
    fx_run_for(&fx, 40 * FX_SECOND_US);
    atomic_store(&shared_time_us, fx.now_us);
    for (uint32_t i = 0; i <= WORKERS; i++) {
        workers[i] = (struct worker){.sink = {.type = &worker_sink},
                                     .agent = fx.agents[0].agent,
                                     .fx = &fx,
                                     .number = i,
                                     .random = i + 1};
    }
    for (uint32_t i = 0; i < WORKERS; i++) {
        CU_ASSERT_EQUAL_FATAL(
            pthread_create(&workers[i].thread, NULL, run_worker, &workers[i]),
            0);
    }
    pthread_create(&joiner, NULL, join_workers, workers);
    run_control(&fx, &workers[WORKERS]);
    pthread_join(joiner, NULL);
    SlAgent_Counters(fx.agents[0].agent, &counters);
    for (uint32_t i = 0; i <= WORKERS; i++) {
        delivered += workers[i].delivered;
    }
    printf("admitted %lu, adopted %lu, passed on %lu, delivered %lu\n",
           (unsigned long)counters.flows_admitted,
           (unsigned long)counters.flows_adopted,
           (unsigned long)counters.flows_passed_on,
           (unsigned long)counters.packets_delivered);
    CU_ASSERT(counters.flows_admitted > 0);
    CU_ASSERT(counters.packets_delivered <= delivered);
    CU_ASSERT(counters.open_flows <=
              counters.flows_admitted + counters.flows_adopted);
    CU_ASSERT(counters.exchanges <= counters.open_flows);
    fx_close(&fx);
}

int
main(void)
{
    static const struct test_case CASES[] = {
        {"threads share an agent", test_threads_share_an_agent},
    };

    return RUN_SUITE("agent threads", CASES);
}
