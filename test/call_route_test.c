/* Routes of operators' calls: a process that cannot answer sends the operator
   on to one that can. */

#include <stdio.h>
#include <string.h>

#include "savoryledge/coordination/call_route.h"
#include "test.h"

enum {
    LISTED = 4,
    SELF = 100,
    LEADER = 200,
    LINKED = 300,
};

static uint64_t
listed_id(uint32_t i)
{
    char name[SL_NAME_BYTES];

    snprintf(name, sizeof(name), "control-%u", i);
    return SlNode_Id(name);
}

/* Creates a configuration with control instances and one entry before them. */
static struct SlConfig *
create_config(void)
{
    struct SlConfig *config = SlConfig_Create();

    for (uint32_t i = 0; i <= LISTED; i++) {
        struct SlChange change = {.verb = SL_VERB_ANNOUNCE,
                                  .object = {.kind = SL_KIND_NODE}};
        struct SlResult result;

        snprintf(change.object.name, SL_NAME_BYTES,
                 i == LISTED ? "a-entry" : "control-%u", i);
        change.object.node.node_id = SlNode_Id(change.object.name);
        snprintf(change.object.node.zone, SL_NAME_BYTES, "ulaan-a");
        change.object.node.boot = 1;
        change.object.node.roles =
            i == LISTED ? SL_ROLE_ENTRY : SL_ROLE_CONTROL;
        SlConfig_Apply(config, (struct SlVersion){1, i + 1}, &change, &result);
        CU_ASSERT_EQUAL(result.status, SL_OK);
    }
    return config;
}

/* A process without a control instance sends reads and orders to the instance
   that it uses; without one, it spreads them over the others. */
static void
test_diskless_process_sends_calls_on(void)
{
    struct SlConfig *config = create_config();
    struct SlCallView view = {
        .node_id = SELF, .linked = {.node_id = LINKED}, .config = config};
    struct SlCallTarget target = {.node_id = 0};
    bool is_used[LISTED] = {false};

    CU_ASSERT_EQUAL(SlCallRoute_ForRead(&view, &target), SL_CALL_TO_LINKED);
    CU_ASSERT_EQUAL(target.node_id, LINKED);
    target.node_id = 0;
    CU_ASSERT_EQUAL(SlCallRoute_ForOrder(&view, &target), SL_CALL_TO_LINKED);
    CU_ASSERT_EQUAL(target.node_id, LINKED);
    view.linked.node_id = 0;
    view.node_id = listed_id(1);
    for (view.turn = 0; view.turn < LISTED; view.turn++) {
        CU_ASSERT_EQUAL(SlCallRoute_ForRead(&view, &target),
                        SL_CALL_TO_LISTED);
        for (uint32_t i = 0; i < LISTED; i++) {
            is_used[i] = is_used[i] || target.node_id == listed_id(i);
        }
    }
    CU_ASSERT(is_used[0] && !is_used[1] && is_used[2] && is_used[3]);
    SlConfig_Destroy(config);
}

/* A process that knows no control instance refuses. */
static void
test_nothing_known_is_refused(void)
{
    struct SlConfig *config = SlConfig_Create();
    struct SlCallView view = {.node_id = SELF, .config = config};
    struct SlCallTarget target;

    CU_ASSERT_EQUAL(SlCallRoute_ForRead(&view, &target), SL_CALL_REFUSED);
    CU_ASSERT_EQUAL(SlCallRoute_ForOrder(&view, &target), SL_CALL_REFUSED);
    view.has_control = true;
    view.is_member = true;
    view.linked.node_id = LINKED;
    CU_ASSERT_EQUAL(SlCallRoute_ForRead(&view, &target), SL_CALL_REFUSED);
    CU_ASSERT_EQUAL(SlCallRoute_ForOrder(&view, &target), SL_CALL_REFUSED);
    SlConfig_Destroy(config);
}

/* Slow round trips end a follower's lease, and its leader stays: the follower
   names the leader. */
static void
test_follower_without_lease_names_leader(void)
{
    struct SlCallView view = {.node_id = SELF,
                              .has_control = true,
                              .is_member = true,
                              .leader = {.node_id = LEADER},
                              .linked = {.node_id = LINKED}};
    struct SlCallTarget target = {.node_id = 0};

    CU_ASSERT_EQUAL(SlCallRoute_ForRead(&view, &target), SL_CALL_TO_LEADER);
    CU_ASSERT_EQUAL(target.node_id, LEADER);
    target.node_id = 0;
    CU_ASSERT_EQUAL(SlCallRoute_ForOrder(&view, &target), SL_CALL_TO_LEADER);
    CU_ASSERT_EQUAL(target.node_id, LEADER);
    view.is_current = true;
    CU_ASSERT_EQUAL(SlCallRoute_ForRead(&view, &target), SL_CALL_HERE);
    CU_ASSERT_EQUAL(SlCallRoute_ForOrder(&view, &target), SL_CALL_TO_LEADER);
}

/* A leader accepts orders, answers reads under its lease, and sends nobody
   on, least of all to itself. */
static void
test_leader_is_not_redirected(void)
{
    struct SlCallView view = {.node_id = SELF,
                              .has_control = true,
                              .is_current = true,
                              .is_leader = true,
                              .linked = {.node_id = LINKED}};
    struct SlCallTarget target;

    CU_ASSERT_EQUAL(SlCallRoute_ForRead(&view, &target), SL_CALL_HERE);
    CU_ASSERT_EQUAL(SlCallRoute_ForOrder(&view, &target), SL_CALL_HERE);
    view.is_current = false;
    CU_ASSERT_EQUAL(SlCallRoute_ForRead(&view, &target), SL_CALL_REFUSED);
    view.is_leader = false;
    view.is_member = true;
    view.leader.node_id = SELF;
    CU_ASSERT_EQUAL(SlCallRoute_ForRead(&view, &target), SL_CALL_REFUSED);
    CU_ASSERT_EQUAL(SlCallRoute_ForOrder(&view, &target), SL_CALL_REFUSED);
}

/* An instance that the full members table left out hears no leader. */
static void
test_instance_outside_group_sends_calls_on(void)
{
    struct SlCallView view = {
        .node_id = SELF, .has_control = true, .linked = {.node_id = LINKED}};
    struct SlCallTarget target = {.node_id = 0};

    CU_ASSERT_EQUAL(SlCallRoute_ForRead(&view, &target), SL_CALL_TO_LINKED);
    CU_ASSERT_EQUAL(target.node_id, LINKED);
    CU_ASSERT_EQUAL(SlCallRoute_ForOrder(&view, &target), SL_CALL_TO_LINKED);
}

/* An instance outside the group that is linked to no instance sends operators
   to one of its configuration, as a process without a log does. */
static void
test_unlinked_outsider_sends_calls_on(void)
{
    struct SlConfig *config = create_config();
    struct SlCallView view = {
        .node_id = SELF, .has_control = true, .config = config};
    struct SlCallTarget target = {.node_id = 0};

    CU_ASSERT_EQUAL(SlCallRoute_ForRead(&view, &target), SL_CALL_TO_LISTED);
    CU_ASSERT_EQUAL(SlCallRoute_ForOrder(&view, &target), SL_CALL_TO_LISTED);
    SlConfig_Destroy(config);
}

/* A member that hears no leader, or that was removed while it was down, sends
   operators to an instance that confirmed lately that it is current. */
static void
test_member_without_leader_uses_confirmed(void)
{
    struct SlCallView view = {.node_id = SELF,
                              .has_control = true,
                              .is_member = true,
                              .confirmed = {.node_id = LINKED}};
    struct SlCallTarget target = {.node_id = 0};

    CU_ASSERT_EQUAL(SlCallRoute_ForRead(&view, &target), SL_CALL_TO_LINKED);
    CU_ASSERT_EQUAL(target.node_id, LINKED);
    CU_ASSERT_EQUAL(SlCallRoute_ForOrder(&view, &target), SL_CALL_TO_LINKED);
    view.confirmed.node_id = SELF;
    CU_ASSERT_EQUAL(SlCallRoute_ForRead(&view, &target), SL_CALL_REFUSED);
    view.confirmed.node_id = LINKED;
    view.leader.node_id = LEADER;
    CU_ASSERT_EQUAL(SlCallRoute_ForRead(&view, &target), SL_CALL_TO_LEADER);
    view.leader.node_id = SELF;
    view.is_leader = true;
    CU_ASSERT_EQUAL(SlCallRoute_ForRead(&view, &target), SL_CALL_REFUSED);
}

int
main(void)
{
    static const struct test_case CASES[] = {
        {"an unlinked outsider sends calls on",
         test_unlinked_outsider_sends_calls_on},
        {"a member without a leader uses a confirmed instance",
         test_member_without_leader_uses_confirmed},
        {"a process without a disk sends calls on",
         test_diskless_process_sends_calls_on},
        {"a call is refused when nobody is known",
         test_nothing_known_is_refused},
        {"a follower without a lease names its leader",
         test_follower_without_lease_names_leader},
        {"a leader is not redirected", test_leader_is_not_redirected},
        {"an instance outside the group sends calls on",
         test_instance_outside_group_sends_calls_on},
    };

    return RUN_SUITE("call route", CASES);
}
