/* The flow table: finds the flows that were inserted, stays within its memory
   bound, and reports each timer once and in time. */

#include <netinet/in.h>
#include <stdlib.h>
#include <string.h>

#include "savoryledge/state/flow_table.h"
#include "test.h"

enum {
    FLOW_COUNT = 1000000,
    KEY_COUNT = 5000,
    OPERATION_COUNT = 400000,
};

static struct SlFlowKey
make_key(uint32_t i)
{
    struct SlFlowKey key = {.protocol = IPPROTO_TCP};

    memcpy(key.caller.ip, &i, sizeof(i));
    key.caller.port = (uint16_t)(i * 31);
    key.service.port = 80;
    return key;
}

static struct SlFlow *
insert_flow(struct SlFlowTable *table, uint32_t i, struct SlFlowShard **shard)
{
    struct SlFlowKey key = make_key(i);
    struct SlFlow *flow;

    *shard = SlFlowTable_Lock(table, &key);
    flow = SlFlowShard_Insert(*shard, &key);
    if (flow != NULL) {
        flow->kind = SL_FLOW_OPEN;
    }
    return flow;
}

static void
test_memory_of_million_flows(void)
{
    struct SlFlowTableOptions options = {.max_entries = 1100000};
    struct SlFlowTable *table = SlFlowTable_Create(&options, 0);
    struct SlFlowShard *shard;
    uint64_t bytes;

    for (uint32_t i = 0; i < FLOW_COUNT; i++) {
        CU_ASSERT_PTR_NOT_NULL_FATAL(insert_flow(table, i, &shard));
        SlFlowShard_Unlock(shard);
    }
    bytes = SlFlowTable_AllocatedBytes(table);
    printf("bytes per flow with 1,000,000 flows: %.1f\n",
           (double)bytes / FLOW_COUNT);
    CU_ASSERT(bytes <= (uint64_t)FLOW_COUNT * 128);
    for (uint32_t i = 0; i < FLOW_COUNT; i += 997) {
        struct SlFlowKey key = make_key(i);

        shard = SlFlowTable_Lock(table, &key);
        CU_ASSERT_PTR_NOT_NULL(SlFlowShard_Find(shard, &key));
        SlFlowShard_Unlock(shard);
    }
    SlFlowTable_Destroy(table);
}

static void
test_full_shard_refuses(void)
{
    struct SlFlowTableOptions options = {.shard_count = 1, .max_entries = 100};
    struct SlFlowTable *table = SlFlowTable_Create(&options, 0);
    struct SlFlowShard *shard;
    uint64_t bytes;

    for (uint32_t i = 0; i < 100; i++) {
        CU_ASSERT_PTR_NOT_NULL(insert_flow(table, i, &shard));
        SlFlowShard_Unlock(shard);
    }
    bytes = SlFlowTable_AllocatedBytes(table);
    for (uint32_t i = 100; i < 10000; i++) {
        CU_ASSERT_PTR_NULL(insert_flow(table, i, &shard));
        SlFlowShard_Unlock(shard);
    }
    CU_ASSERT_EQUAL(SlFlowTable_AllocatedBytes(table), bytes);
    CU_ASSERT_EQUAL(SlFlowTable_Count(table), 100);
    SlFlowTable_Destroy(table);
}

/* The flow that the table must contain for a key. */
struct expected_flow {
    bool is_present;
    bool has_timer;
    uint32_t due_ms;
};

static uint32_t
next_random(uint64_t *state)
{
    *state = *state * 6364136223846793005u + 1442695040888963407u;
    return (uint32_t)(*state >> 33);
}

static void
apply_random_operation(struct SlFlowTable *table,
                       struct expected_flow *expected, uint64_t *random,
                       uint32_t now_ms)
{
    uint32_t i = next_random(random) % KEY_COUNT;
    struct SlFlowKey key = make_key(i);
    struct SlFlowShard *shard = SlFlowTable_Lock(table, &key);
    struct SlFlow *flow = SlFlowShard_Find(shard, &key);

    CU_ASSERT_EQUAL(flow != NULL, expected[i].is_present);
    if (flow == NULL) {
        flow = SlFlowShard_Insert(shard, &key);
        flow->kind = SL_FLOW_OPEN;
        expected[i] = (struct expected_flow){.is_present = true};
    }
    else if (next_random(random) % 4 == 0) {
        SlFlowShard_Remove(shard, flow);
        expected[i] = (struct expected_flow){.is_present = false};
        flow = NULL;
    }
    if (flow != NULL) {
        expected[i].has_timer = true;
        expected[i].due_ms = now_ms + 1 + next_random(random) % 200000;
        SlFlowShard_Schedule(shard, flow, SL_FLOW_QUEUE_TIMER_WHEEL,
                             expected[i].due_ms);
    }
    SlFlowShard_Unlock(shard);
}

static void
check_due_flows(struct SlFlowTable *table, struct expected_flow *expected,
                uint32_t now_ms)
{
    for (uint32_t s = 0; s < SlFlowTable_ShardCount(table); s++) {
        struct SlFlowShard *shard = SlFlowTable_LockAt(table, s);
        struct SlFlow *flow;

        while ((flow = SlFlowShard_NextDue(shard, now_ms)) != NULL) {
            uint32_t i;

            memcpy(&i, flow->key.caller.ip, sizeof(i));
            CU_ASSERT(expected[i].has_timer);
            CU_ASSERT((int32_t)(now_ms - expected[i].due_ms) >= 0);
            expected[i].has_timer = false;
        }
        SlFlowShard_Unlock(shard);
    }
}

/* Random operations on the table while the 32-bit clock wraps around: no timer
   may be reported early, twice or not at all. */
static void
test_random_operations_and_timers(void)
{
    const uint64_t start_ms = (1ULL << 32) - 1000000;
    struct SlFlowTableOptions options = {.shard_count = 4,
                                         .max_entries = 20000};
    struct SlFlowTable *table = SlFlowTable_Create(&options, start_ms * 1000);
    struct expected_flow *expected = calloc(KEY_COUNT, sizeof(*expected));
    uint32_t now_ms = (uint32_t)start_ms;
    uint32_t missed_timers = 0;
    uint64_t random = 42;

    for (uint32_t i = 0; i < OPERATION_COUNT; i++) {
        apply_random_operation(table, expected, &random, now_ms);
        if (i % 4 == 0) {
            now_ms += next_random(&random) % 40;
            check_due_flows(table, expected, now_ms);
        }
    }
    for (uint32_t i = 0; i < KEY_COUNT; i++) {
        missed_timers += expected[i].has_timer &&
                         (int32_t)(now_ms - expected[i].due_ms) >= 0;
    }
    CU_ASSERT_EQUAL(missed_timers, 0);
    free(expected);
    SlFlowTable_Destroy(table);
}

static void
test_queues_keep_order(void)
{
    struct SlFlowTableOptions options = {.shard_count = 1, .max_entries = 100};
    struct SlFlowTable *table = SlFlowTable_Create(&options, 0);
    struct SlFlowShard *shard;
    struct SlFlow *flows[10];

    for (uint32_t i = 0; i < 10; i++) {
        flows[i] = insert_flow(table, i, &shard);
        SlFlowShard_Schedule(shard, flows[i], SL_FLOW_QUEUE_SOFT_STATE,
                             100 + i);
        SlFlowShard_Unlock(shard);
    }
    shard = SlFlowTable_LockAt(table, 0);
    CU_ASSERT_PTR_EQUAL(SlFlowShard_Oldest(shard, SL_FLOW_QUEUE_SOFT_STATE),
                        flows[0]);
    SlFlowShard_Schedule(shard, flows[0], SL_FLOW_QUEUE_SOFT_STATE, 200);
    SlFlowShard_Remove(shard, flows[1]);
    CU_ASSERT_PTR_EQUAL(SlFlowShard_Oldest(shard, SL_FLOW_QUEUE_SOFT_STATE),
                        flows[2]);
    CU_ASSERT_EQUAL(SlFlowShard_QueueLength(shard, SL_FLOW_QUEUE_SOFT_STATE),
                    9);
    CU_ASSERT_PTR_EQUAL(SlFlowShard_NextDue(shard, 103), flows[2]);
    CU_ASSERT_PTR_EQUAL(SlFlowShard_NextDue(shard, 103), flows[3]);
    CU_ASSERT_PTR_NULL(SlFlowShard_NextDue(shard, 103));
    SlFlowShard_Unlock(shard);
    SlFlowTable_Destroy(table);
}

int
main(void)
{
    static const struct test_case CASES[] = {
        {"a million flows take at most 128 bytes each",
         test_memory_of_million_flows},
        {"a full shard refuses further flows", test_full_shard_refuses},
        {"random operations and timers", test_random_operations_and_timers},
        {"FIFO queues keep the order of their flows", test_queues_keep_order},
    };

    return RUN_SUITE("flow table", CASES);
}
