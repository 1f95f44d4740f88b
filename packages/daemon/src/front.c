#include "front.h"

#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "shell_internal.h"
#include "shell_relay.h"

enum {
    SIDES = SL_FRONT_METRICS + 1,
    TICK_US = 1000 * 1000,
    PENDING_MAX = SL_ORDERS_MAX + 1,
    REFUSALS_US = 1000 * 1000,
    REFUSALS_MAX = 8,
};

struct side {
    struct SlHttpHandler owner;
    struct SlFront *front;
    enum SlFrontInterface side;
    struct SlHttp *http;
};

/// A call that waits for the end of its order.
struct pending {
    uint64_t exchange;
    char path[SL_HTTP_PATH_BYTES];
};

struct SlFront {
    struct SlShell *shell;
    const struct SlAdapter *adapter;
    struct side sides[SIDES];
    struct SlOrderHandler desk;
    uint64_t tick_us;
    uint32_t pending_count;
    struct pending pending[PENDING_MAX];
    uint64_t refusals_us;
    uint32_t refusals;
};

static void
take_request(struct SlHttpHandler *owner, const struct SlHttpRequest *request)
{
    struct side *side = (struct side *)owner;

    side->front->adapter->handle_request(side->front, side->side, request);
}

static const struct SlHttpHandlerType HTTP_OWNER = {.request = take_request};

static void
give_change(void *host, uint64_t now_us, const struct SlChange *change)
{
    struct SlFront *front = host;

    shell_give_change(front->shell, now_us, change);
}

/// The order's call, taken off the list; false when there is none.
static bool
take_pending(struct SlFront *front, uint64_t exchange, struct pending *out)
{
    for (uint32_t i = 0; i < front->pending_count; i++) {
        if (front->pending[i].exchange == exchange) {
            *out = front->pending[i];
            front->pending[i] = front->pending[--front->pending_count];
            return true;
        }
    }
    return false;
}

static void
order_ended(void *host, uint64_t ticket, enum SlOrderOutcome outcome,
            const struct SlAddress *leader)
{
    struct SlFront *front = host;
    struct SlAddress address = {.port = 0};
    struct pending pending;

    if (!take_pending(front, ticket, &pending)) {
        return;
    }
    if (leader != NULL) {
        /* All instances have the interface at the same port. */
        address = *leader;
        address.port = front->shell->settings.relay.control.port;
    }
    front->adapter->handle_order_end(front, ticket, pending.path, outcome,
                                     &address);
}

static const struct SlOrderHostType DESK_HOST = {
    .submit_change = give_change,
    .order_ended = order_ended,
};

static enum SlStatus
open_side(struct SlFront *front, enum SlFrontInterface which,
          const struct SlAddress *listen, struct SlError *error)
{
    struct side *side = &front->sides[which];
    struct SlHttpOptions options = {.loop = front->shell->loop,
                                    .handler = &side->owner,
                                    .listen = *listen};

    side->owner.type = &HTTP_OWNER;
    side->front = front;
    side->side = which;
    return listen->port == 0 ? SL_OK
                             : SlHttp_Open(&options, &side->http, error);
}

enum SlStatus
SlFront_Open(struct SlShell *shell, const struct SlAdapter *adapter,
             struct SlFront **out, struct SlError *error)
{
    struct SlFront *front = calloc(1, sizeof(*front));
    uint64_t client;
    enum SlStatus status;

    *out = NULL;
    if (front == NULL) {
        return SlError_Set(error, SL_NO_MEMORY, SL_STEP_OPEN, NULL,
                           "no memory for the interfaces");
    }
    front->shell = shell;
    front->adapter = adapter;
    randombytes_buf(&client, sizeof(client));
    SlOrderHandler_Init(&front->desk, &DESK_HOST, front, client | 1);
    status = open_side(front, SL_FRONT_READINESS, &shell->settings.relay.ready,
                       error);
    if (status == SL_OK) {
        status = open_side(front, SL_FRONT_CONTROL,
                           &shell->settings.relay.control, error);
    }
    if (status == SL_OK) {
        status = open_side(front, SL_FRONT_METRICS,
                           &shell->settings.relay.metrics, error);
    }
    if (status != SL_OK) {
        SlFront_Close(front);
        return status;
    }
    *out = front;
    return SL_OK;
}

void
SlFront_Close(struct SlFront *front)
{
    if (front == NULL) {
        return;
    }
    for (uint32_t i = 0; i < SIDES; i++) {
        SlHttp_Close(front->sides[i].http);
    }
    free(front);
}

void
SlFront_Tick(struct SlFront *front, uint64_t now_us)
{
    SlOrderHandler_Tick(&front->desk, now_us);
    if (now_us < front->tick_us) {
        return;
    }
    front->tick_us = now_us + TICK_US;
    for (uint32_t i = 0; i < SIDES; i++) {
        if (front->sides[i].http != NULL) {
            SlHttp_CloseIdle(front->sides[i].http, now_us);
        }
    }
}

void
SlFront_Result(struct SlFront *front, uint64_t request,
               const struct SlResult *result)
{
    SlOrderHandler_OnResult(&front->desk, request, result);
}

void
SlFront_SendAnswer(struct SlFront *front, enum SlFrontInterface side,
                   uint64_t exchange, const struct SlHttpResponse *answer)
{
    if (front->sides[side].http != NULL) {
        SlHttp_Respond(front->sides[side].http, exchange, answer);
    }
}

void
SlFront_LogRefusedCall(struct SlFront *front, const char *reason)
{
    uint64_t now_us = SlClock_Monotonic();

    if (now_us - front->refusals_us > REFUSALS_US) {
        front->refusals_us = now_us;
        front->refusals = 0;
    }
    if (++front->refusals <= REFUSALS_MAX) {
        log_event(front->shell,
                  (struct SlEvent){.number = SL_EVENT_CALL_REFUSED,
                                   .now_us = now_us,
                                   .reason = reason});
    }
}

bool
SlFront_IsReady(const struct SlFront *front)
{
    return !front->shell->stopping && (front->shell->relay == NULL ||
                                       shell_relay_ready(front->shell->relay));
}

bool
SlFront_HasControl(const struct SlFront *front)
{
    return SlNode_Control(front->shell->node) != NULL;
}

enum SlStatus
SlFront_FindDocument(const struct SlFront *front,
                     const struct SlDocument **document)
{
    const struct SlControl *control = SlNode_Control(front->shell->node);

    if (control == NULL || !SlControl_IsFresh(control, SlClock_Monotonic())) {
        return SL_STALE;
    }
    *document = SlConfig_Document(SlControl_Config(control));
    return *document != NULL ? SL_OK : SL_NOT_FOUND;
}

/// The address of a control instance that the configuration names.
static bool
any_control(const struct SlFront *front, struct SlAddress *address)
{
    const struct SlConfig *config =
        SlReplica_Config(SlNode_Replica(front->shell->node));

    for (uint32_t i = 0; i < SlConfig_ObjectCount(config, SL_KIND_NODE); i++) {
        const struct SlNodeSpec *node =
            &SlConfig_ObjectAt(config, SL_KIND_NODE, i)->node;

        if ((node->roles & SL_ROLE_CONTROL) && !node->unreachable &&
            !node->leaving) {
            *address = node->link;
            return true;
        }
    }
    return false;
}

/// How the control instance stands. leader: room for its address.
static struct SlControlView
view_of(const struct SlFront *front, struct SlAddress *leader)
{
    const struct SlControl *control = SlNode_Control(front->shell->node);
    struct SlControlMember members[SL_MEMBERS_CONTROL_MAX];
    struct SlControlView view = {.leads = false};
    uint32_t count;

    if (control == NULL) {
        view.leader = any_control(front, leader) ? leader : NULL;
        return view;
    }
    view.leads = SlControl_State(control) == SL_CONTROL_LEADER;
    view.applied = SlControl_Applied(control);
    view.config = SlControl_Config(control);
    count = SlControl_Members(control, members, SL_MEMBERS_CONTROL_MAX);
    for (uint32_t i = 0; i < count; i++) {
        if (members[i].node_id == SlControl_Leader(control) &&
            SlControl_IsFresh(control, SlClock_Monotonic())) {
            *leader = members[i].link;
            view.leader = leader;
        }
    }
    return view;
}

static void
add_pending(struct SlFront *front, uint64_t exchange, const char *path)
{
    struct pending *pending;

    if (front->pending_count == PENDING_MAX) {
        front->pending_count--;
    }
    pending = &front->pending[front->pending_count++];
    pending->exchange = exchange;
    snprintf(pending->path, sizeof(pending->path), "%s", path);
}

void
SlFront_PutDocument(struct SlFront *front, uint64_t exchange, const char *path,
                    const struct SlDocumentText *document)
{
    struct SlAddress leader;
    struct SlControlView view = view_of(front, &leader);

    add_pending(front, exchange, path);
    SlOrderHandler_PutDocument(&front->desk, SlClock_Monotonic(), &view,
                               exchange, document);
}

void
SlFront_SetZoneHold(struct SlFront *front, uint64_t exchange, const char *path,
                    const char *zone, bool out)
{
    struct SlAddress leader;
    struct SlControlView view = view_of(front, &leader);

    add_pending(front, exchange, path);
    SlOrderHandler_HoldZone(&front->desk, SlClock_Monotonic(), &view, exchange,
                            zone, out);
}

bool
SlFront_ReportUpstreamStatus(struct SlFront *front,
                             const struct SlUpstreamStatus *notice)
{
    return front->shell->relay != NULL &&
           shell_relay_notice(front->shell->relay, SlClock_Monotonic(),
                              notice);
}

bool
SlFront_ReportUpstreamEnd(struct SlFront *front, const char *id)
{
    return front->shell->relay != NULL &&
           shell_relay_gone(front->shell->relay, SlClock_Monotonic(), id);
}

enum SlStatus
SlFront_WriteMetrics(struct SlFront *front, struct SlBuffer *out)
{
    enum SlStatus status =
        write_status(front->shell, SlClock_Monotonic(), out);

    return status == SL_OK ? write_metrics(front->shell, out) : status;
}
