/// Operator requests for changes: checks them, proposes them at the leader
/// and sends their results once they are committed.

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "control_core.h"

enum {
    WAITERS_INITIAL_CAPACITY = 32,
};

static void
send_result(struct SlControl *control, uint64_t link, uint64_t client,
            uint64_t request, const struct SlResult *result)
{
    struct SlMessage message = {
        .kind = SL_MESSAGE_RESULT,
        .result = {.client = client, .request = request, .result = *result}};

    if (control->sink != NULL) {
        control->sink->type->send_message(control->sink, link, &message);
    }
}

static const char *
leader_name(const struct SlControl *control)
{
    const struct SlRaftMember *leader =
        SlRaft_FindMember(&control->raft, control->raft.leader_id);

    return leader != NULL && leader->node_id != control->node_id ? leader->name
                                                                 : "";
}

static void
send_refusal(struct SlControl *control, const struct SlControlWaiter *waiter,
             enum SlStatus status, const char *text)
{
    struct SlResult result = {.status = status};
    struct SlEvent event = {.number = SL_EVENT_REJECTED,
                            .reason = SlStatus_Name(status),
                            .value = (int64_t)waiter->client,
                            .limit = (int64_t)waiter->request};

    snprintf(result.message, sizeof(result.message), "%s",
             status == SL_NOT_LEADER ? leader_name(control) : text);
    SlControl_EmitEvent(control, &event);
    send_result(control, waiter->link, waiter->client, waiter->request,
                &result);
}

static struct SlControlWaiter *
add_waiter(struct SlControl *control)
{
    if (control->waiter_count == control->waiter_capacity) {
        uint32_t capacity = control->waiter_capacity
                                ? control->waiter_capacity * 2
                                : WAITERS_INITIAL_CAPACITY;
        struct SlControlWaiter *waiters =
            realloc(control->waiters, capacity * sizeof(*waiters));

        if (waiters == NULL) {
            return NULL;
        }
        control->waiters = waiters;
        control->waiter_capacity = capacity;
    }
    return &control->waiters[control->waiter_count++];
}

/// True when operators may request the verb. The other verbs are reserved for
/// control instances.
static bool
is_operator_verb(enum SlVerb verb)
{
    switch (verb) {
    case SL_VERB_CREATE:
    case SL_VERB_LABEL:
    case SL_VERB_SELECT:
    case SL_VERB_DELETE:
    case SL_VERB_HOLD:
    case SL_VERB_RELEASE:
    case SL_VERB_DOCUMENT:
    case SL_VERB_MEMBER_ADD:
    case SL_VERB_MEMBER_REMOVE:
        return true;
    default:
        return false;
    }
}

static bool
is_member_change(enum SlVerb verb)
{
    return verb == SL_VERB_MEMBER_ADD || verb == SL_VERB_MEMBER_REMOVE;
}

/// Checks a requested change. On failure error holds the reason.
static enum SlStatus
check_change(struct SlControl *control, const struct SlChange *change,
             struct SlError *error)
{
    const char *reason;
    enum SlStatus status;

    if (change->client == 0 || !is_operator_verb(change->verb)) {
        return SlError_Set(error, SL_INVALID, SL_STEP_PROPOSE, NULL,
                           "operators may not request this change");
    }
    if (!SlRaft_AllIncarnationsLogged(&control->raft)) {
        return SlError_Set(error, SL_NO_QUORUM, SL_STEP_PROPOSE, NULL,
                           "a founding member has not joined yet; the change "
                           "was not run");
    }
    status = SlChange_Check(change, error);
    if (status != SL_OK || !is_member_change(change->verb)) {
        return status;
    }
    status = SlRaft_CheckMemberChange(&control->raft, control->now_us, change,
                                      &reason);
    return SlError_Set(error, status, SL_STEP_PROPOSE, NULL, "%s", reason);
}

/// Proposes a change and adds its requester to the waiters. On failure error
/// holds the reason.
static enum SlStatus
propose_change(struct SlControl *control, struct SlChange *change,
               const struct SlControlWaiter *requester, struct SlError *error)
{
    struct SlControlWaiter *waiter;
    uint64_t index;
    enum SlStatus status = check_change(control, change, error);

    if (status != SL_OK) {
        return status;
    }
    if (control->waiter_count >= SL_CONTROL_WAITERS_MAX) {
        return SlError_Set(error, SL_FULL, SL_STEP_PROPOSE, NULL,
                           "too many changes are pending; the change was not "
                           "run");
    }
    waiter = add_waiter(control);
    if (waiter == NULL) {
        return SlError_Set(error, SL_NO_MEMORY, SL_STEP_PROPOSE, NULL,
                           "no memory for the change; it was not run");
    }
    status =
        SlRaft_ProposeChange(&control->raft, change, control->wall_us, &index);
    if (status != SL_OK) {
        control->waiter_count--;
        return SlError_Set(error, status, SL_STEP_PROPOSE, NULL,
                           "the change was not run");
    }
    *waiter = *requester;
    waiter->index = index;
    waiter->term = control->raft.hard_state.term;
    return SL_OK;
}

void
SlControl_OnChange(struct SlControl *control, uint64_t link,
                   const struct SlChange *requested)
{
    struct SlControlWaiter requester = {.link = link,
                                        .client = requested->client,
                                        .request = requested->request};
    struct SlError error = {.status = SL_OK};
    struct SlChange change = *requested;
    const struct SlResult *earlier_result;
    enum SlStatus status = SL_NOT_LEADER;

    if (requested->client != 0) {
        earlier_result = SlConfig_FindResult(
            control->config, requested->client, requested->request);
        if (earlier_result != NULL) {
            send_result(control, link, requested->client, requested->request,
                        earlier_result);
            return;
        }
    }
    if (control->raft.state == SL_CONTROL_LEADER) {
        if (is_member_change(change.verb)) {
            change.object.node.node_id = SlNode_Id(change.object.name);
        }
        status = propose_change(control, &change, &requester, &error);
    }
    if (status != SL_OK) {
        send_refusal(control, &requester, status, error.message);
    }
}

/// Removes the first count waiters from the list.
static void
drop_waiters(struct SlControl *control, uint32_t count)
{
    control->waiter_count -= count;
    memmove(control->waiters, control->waiters + count,
            control->waiter_count * sizeof(*control->waiters));
}

void
SlControl_CompleteWaiters(struct SlControl *control, struct SlVersion version,
                          const struct SlResult *result)
{
    uint32_t completed = 0;

    while (completed < control->waiter_count &&
           control->waiters[completed].index <= version.index) {
        const struct SlControlWaiter *waiter = &control->waiters[completed++];

        if (waiter->index == version.index && waiter->term == version.term) {
            send_result(control, waiter->link, waiter->client, waiter->request,
                        result);
        }
        else {
            send_refusal(control, waiter, SL_NOT_LEADER, "");
        }
    }
    if (completed > 0) {
        drop_waiters(control, completed);
    }
}

void
SlControl_RefuseWaiters(struct SlControl *control, uint64_t from_index,
                        enum SlStatus status)
{
    const char *text = status == SL_DISK_FULL
                           ? "the disk is full; the change was not run"
                           : "the outcome is unknown; send the change again";

    SlControl_RetryRefusedProposals(control, from_index);
    while (control->waiter_count > 0) {
        struct SlControlWaiter waiter =
            control->waiters[control->waiter_count - 1];

        if (waiter.index < from_index) {
            break;
        }
        control->waiter_count--;
        send_refusal(control, &waiter, status, text);
    }
}
