/* The flow table: finds what was put in, stays within its memory, fires
   timers once and in time. */

#include <netinet/in.h>
#include <stdlib.h>
#include <string.h>

#include "savoryledge/state/flow_table.h"
#include "test.h"

enum {
    MILLION = 1000000,
    KEYS = 5000,
    STEPS = 400000,
};

static struct SlFlowKey
key_of(uint32_t i)
{
    struct SlFlowKey key = {.protocol = IPPROTO_TCP};

    memcpy(key.caller.ip, &i, sizeof(i));
    key.caller.port = (uint16_t)(i * 31);
    key.service.port = 80;
    return key;
}

static struct SlFlow *
put(struct SlFlowTable *table, uint32_t i, struct SlFlowShard **shard)
{
    struct SlFlowKey key = key_of(i);
    struct SlFlow *flow;

    *shard = SlFlowTable_Lock(table, &key);
    flow = SlFlowShard_Insert(*shard, &key);
    if (flow != NULL) {
        flow->kind = SL_FLOW_OPEN;
    }
    return flow;
}

static void
test_million_flows_within_memory(void)
{
    struct SlFlowTableOptions options = {.max_entries = 1100000};
    struct SlFlowTable *table = SlFlowTable_Create(&options, 0);
    struct SlFlowShard *shard;
    uint64_t bytes;

    for (uint32_t i = 0; i < MILLION; i++) {
        CU_ASSERT_PTR_NOT_NULL_FATAL(put(table, i, &shard));
        SlFlowShard_Unlock(shard);
    }
    bytes = SlFlowTable_AllocatedBytes(table);
    printf("bytes a flow at 1,000,000: %.1f\n", (double)bytes / MILLION);
    CU_ASSERT(bytes <= (uint64_t)MILLION * 128);
    for (uint32_t i = 0; i < MILLION; i += 997) {
        struct SlFlowKey key = key_of(i);

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
        CU_ASSERT_PTR_NOT_NULL(put(table, i, &shard));
        SlFlowShard_Unlock(shard);
    }
    bytes = SlFlowTable_AllocatedBytes(table);
    for (uint32_t i = 100; i < 10000; i++) {
        CU_ASSERT_PTR_NULL(put(table, i, &shard));
        SlFlowShard_Unlock(shard);
    }
    CU_ASSERT_EQUAL(SlFlowTable_AllocatedBytes(table), bytes);
    CU_ASSERT_EQUAL(SlFlowTable_Count(table), 100);
    SlFlowTable_Destroy(table);
}

/* What the table should hold of each key. */
struct expected {
    bool there;
    bool timed;
    uint32_t due_ms;
};

static uint32_t
draw(uint64_t *state)
{
    *state = *state * 6364136223846793005u + 1442695040888963407u;
    return (uint32_t)(*state >> 33);
}

static void
step(struct SlFlowTable *table, struct expected *expected, uint64_t *random,
     uint32_t now_ms)
{
    uint32_t i = draw(random) % KEYS;
    struct SlFlowKey key = key_of(i);
    struct SlFlowShard *shard = SlFlowTable_Lock(table, &key);
    struct SlFlow *flow = SlFlowShard_Find(shard, &key);

    CU_ASSERT_EQUAL(flow != NULL, expected[i].there);
    if (flow == NULL) {
        flow = SlFlowShard_Insert(shard, &key);
        flow->kind = SL_FLOW_OPEN;
        expected[i] = (struct expected){.there = true};
    }
    else if (draw(random) % 4 == 0) {
        SlFlowShard_Remove(shard, flow);
        expected[i] = (struct expected){.there = false};
        flow = NULL;
    }
    if (flow != NULL) {
        expected[i].timed = true;
        expected[i].due_ms = now_ms + 1 + draw(random) % 200000;
        SlFlowShard_Schedule(shard, flow, SL_FLOW_QUEUE_TIMER_WHEEL,
                             expected[i].due_ms);
    }
    SlFlowShard_Unlock(shard);
}

static void
fire(struct SlFlowTable *table, struct expected *expected, uint32_t now_ms)
{
    for (uint32_t s = 0; s < SlFlowTable_ShardCount(table); s++) {
        struct SlFlowShard *shard = SlFlowTable_LockAt(table, s);
        struct SlFlow *flow;

        while ((flow = SlFlowShard_NextDue(shard, now_ms)) != NULL) {
            uint32_t i;

            memcpy(&i, flow->key.caller.ip, sizeof(i));
            CU_ASSERT(expected[i].timed);
            CU_ASSERT((int32_t)(now_ms - expected[i].due_ms) >= 0);
            expected[i].timed = false;
        }
        SlFlowShard_Unlock(shard);
    }
}

/* Random work, with the 32-bit clock wrapping on the way. */
static void
test_random_work_and_timers(void)
{
    const uint64_t start_ms = (1ULL << 32) - 1000000;
    struct SlFlowTableOptions options = {.shard_count = 4,
                                         .max_entries = 20000};
    struct SlFlowTable *table = SlFlowTable_Create(&options, start_ms * 1000);
    struct expected *expected = calloc(KEYS, sizeof(*expected));
    uint32_t now_ms = (uint32_t)start_ms;
    uint32_t late = 0;
    uint64_t random = 42;

    for (uint32_t i = 0; i < STEPS; i++) {
        step(table, expected, &random, now_ms);
        if (i % 4 == 0) {
            now_ms += draw(&random) % 40;
            fire(table, expected, now_ms);
        }
    }
    for (uint32_t i = 0; i < KEYS; i++) {
        late +=
            expected[i].timed && (int32_t)(now_ms - expected[i].due_ms) >= 0;
    }
    CU_ASSERT_EQUAL(late, 0);
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
        flows[i] = put(table, i, &shard);
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
        {"a million flows within memory", test_million_flows_within_memory},
        {"a full shard refuses", test_full_shard_refuses},
        {"random work and timers", test_random_work_and_timers},
        {"queues keep order", test_queues_keep_order},
    };

    return RUN_SUITE("flow table", CASES);
}
