#include "front.h"

#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "shell_internal.h"
#include "shell_relay.h"

enum {
    INTERFACE_COUNT = SL_FRONT_METRICS + 1,
    /// Interval between checks for idle HTTP connections.
    HTTP_TICK_INTERVAL_US = 1000 * 1000,
    UNANSWERED_CALLS_MAX = SL_ORDERS_MAX + 1,
    /// Length of a window in which at most LINES_PER_WINDOW calls are logged.
    LOG_WINDOW_US = 1000 * 1000,
    LINES_PER_WINDOW = 8,
};

/// One HTTP interface; http is NULL if the interface is not open.
struct http_interface {
    struct SlHttpHandler handler;
    struct SlFront *front;
    enum SlFrontInterface kind;
    struct SlHttp *http;
};

/// An HTTP call that is answered when the order that it started has ended.
struct unanswered_call {
    uint64_t exchange;
    char path[SL_HTTP_PATH_BYTES];
};

/// Limits the log lines about one kind of call.
struct log_window {
    uint64_t start_us;
    uint32_t count;
};

struct SlFront {
    struct SlShell *shell;
    const struct SlAdapter *adapter;
    struct http_interface interfaces[INTERFACE_COUNT];
    struct SlOrderHandler order_handler;
    /// When idle HTTP connections are next closed.
    uint64_t next_http_tick_us;
    uint32_t unanswered_call_count;
    struct unanswered_call unanswered_calls[UNANSWERED_CALLS_MAX];
    struct log_window refused_calls;
    struct log_window refused_reads;
    struct log_window redirected_calls;
    /// Number of reads and orders that other processes were to handle.
    uint64_t calls_sent_on;
    struct SlFrontCounters counters;
};

static void
handle_http_request(struct SlHttpHandler *handler,
                    const struct SlHttpRequest *request)
{
    struct http_interface *interface = (struct http_interface *)handler;

    interface->front->adapter->handle_request(interface->front,
                                              interface->kind, request);
}

static const struct SlHttpHandlerType HTTP_HANDLER_TYPE = {
    .request = handle_http_request,
};

static void
submit_change(void *host, uint64_t now_us, const struct SlChange *change)
{
    struct SlFront *front = host;

    shell_submit_change(front->shell, now_us, change);
}

/// Removes the HTTP call with this exchange number from the list of unanswered
/// calls and copies it to removed. Returns false if the list does not contain
/// the call.
static bool
remove_unanswered_call(struct SlFront *front, uint64_t exchange,
                       struct unanswered_call *removed)
{
    for (uint32_t i = 0; i < front->unanswered_call_count; i++) {
        if (front->unanswered_calls[i].exchange == exchange) {
            *removed = front->unanswered_calls[i];
            front->unanswered_calls[i] =
                front->unanswered_calls[--front->unanswered_call_count];
            return true;
        }
    }
    return false;
}

static void
handle_order_end(void *host, uint64_t exchange, enum SlOrderOutcome outcome,
                 const struct SlAddress *leader)
{
    struct SlFront *front = host;
    struct SlAddress address = {.port = 0};
    struct unanswered_call call;

    if (!remove_unanswered_call(front, exchange, &call)) {
        return;
    }
    if (leader != NULL) {
        address = *leader;
    }
    front->counters.orders_done += outcome == SL_ORDER_DONE;
    front->counters.orders_redirected += outcome == SL_ORDER_NOT_LEADER;
    front->counters.orders_refused_no_leader += outcome == SL_ORDER_NO_LEADER;
    front->counters.orders_refused_invalid += outcome == SL_ORDER_INVALID;
    front->counters.orders_unknown_outcome +=
        outcome == SL_ORDER_UNKNOWN_OUTCOME;
    front->adapter->handle_order_end(front, exchange, call.path, outcome,
                                     &address);
}

static const struct SlOrderHostType ORDER_HOST_TYPE = {
    .submit_change = submit_change,
    .order_ended = handle_order_end,
};

static enum SlStatus
open_interface(struct SlFront *front, enum SlFrontInterface kind,
               const struct SlAddress *listen, struct SlError *error)
{
    struct http_interface *interface = &front->interfaces[kind];
    struct SlHttpOptions options = {.loop = front->shell->loop,
                                    .handler = &interface->handler,
                                    .listen = *listen};

    interface->handler.type = &HTTP_HANDLER_TYPE;
    interface->front = front;
    interface->kind = kind;
    return listen->port == 0 ? SL_OK
                             : SlHttp_Open(&options, &interface->http, error);
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
                           "no memory for the HTTP interfaces");
    }
    front->shell = shell;
    front->adapter = adapter;
    randombytes_buf(&client, sizeof(client));
    SlOrderHandler_Init(&front->order_handler, &ORDER_HOST_TYPE, front,
                        client | 1);
    status = open_interface(front, SL_FRONT_READINESS,
                            &shell->settings.relay.ready, error);
    if (status == SL_OK) {
        status = open_interface(front, SL_FRONT_CONTROL,
                                &shell->settings.relay.control, error);
    }
    if (status == SL_OK) {
        status = open_interface(front, SL_FRONT_METRICS,
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
    for (uint32_t i = 0; i < INTERFACE_COUNT; i++) {
        SlHttp_Close(front->interfaces[i].http);
    }
    free(front);
}

void
SlFront_Tick(struct SlFront *front, uint64_t now_us)
{
    SlOrderHandler_Tick(&front->order_handler, now_us);
    if (now_us < front->next_http_tick_us) {
        return;
    }
    front->next_http_tick_us = now_us + HTTP_TICK_INTERVAL_US;
    for (uint32_t i = 0; i < INTERFACE_COUNT; i++) {
        if (front->interfaces[i].http != NULL) {
            SlHttp_CloseIdle(front->interfaces[i].http, now_us);
        }
    }
}

void
SlFront_HandleResult(struct SlFront *front, uint64_t request,
                     const struct SlResult *result)
{
    SlOrderHandler_OnResult(&front->order_handler, request, result);
}

void
SlFront_SendAnswer(struct SlFront *front, enum SlFrontInterface interface,
                   uint64_t exchange, const struct SlHttpResponse *response)
{
    if (front->interfaces[interface].http != NULL) {
        SlHttp_Respond(front->interfaces[interface].http, exchange, response);
    }
}

static bool
may_log(struct log_window *window, uint64_t now_us)
{
    if (now_us - window->start_us > LOG_WINDOW_US) {
        window->start_us = now_us;
        window->count = 0;
    }
    return ++window->count <= LINES_PER_WINDOW;
}

void
SlFront_LogRefusedCall(struct SlFront *front, const char *reason)
{
    uint64_t now_us = SlClock_Monotonic();

    if (may_log(&front->refused_calls, now_us)) {
        log_event(front->shell,
                  (struct SlEvent){.number = SL_EVENT_CALL_REFUSED,
                                   .now_us = now_us,
                                   .reason = reason});
    }
}

bool
SlFront_IsReady(const struct SlFront *front)
{
    return !front->shell->stopping &&
           (front->shell->relay == NULL ||
            shell_relay_is_ready(front->shell->relay));
}

bool
SlFront_HasControl(const struct SlFront *front)
{
    return SlNode_Control(front->shell->node) != NULL;
}

/// Describes what this process knows about control instances.
static struct SlCallView
make_call_view(const struct SlFront *front, uint64_t now_us)
{
    const struct SlControl *control = SlNode_Control(front->shell->node);
    const struct SlReplica *replica = SlNode_Replica(front->shell->node);
    struct SlCallView view = {.node_id =
                                  SlNode_Id(front->shell->settings.node.name),
                              .has_control = control != NULL,
                              .config = SlReplica_Config(replica),
                              .turn = front->calls_sent_on};
    struct SlControlMember other;

    if (control == NULL) {
        (void)SlReplica_FindCurrentControl(
            replica, now_us, &view.linked.node_id, &view.linked.link);
        return view;
    }
    view.is_current = SlControl_IsFresh(control, now_us);
    view.is_leader = SlControl_State(control) == SL_CONTROL_LEADER;
    view.is_member = SlControl_IsMember(control);
    if (SlControl_FindLeader(control, now_us, &other)) {
        view.leader.node_id = other.node_id;
        view.leader.link = other.link_address;
    }
    (void)SlReplica_FindCurrentControl(
        replica, now_us, &view.confirmed.node_id, &view.confirmed.link);
    if (SlControl_FindLinkedInstance(control, view.turn, &other)) {
        view.linked.node_id = other.node_id;
        view.linked.link = other.link_address;
    }
    return view;
}

/// Logs a call that this process cannot handle. peer: to whom it is sent on,
/// or NULL.
static void
log_call(struct SlFront *front, struct log_window *window, uint64_t now_us,
         enum SlEventNumber number, const char *peer, const char *reason)
{
    const struct SlControl *control = SlNode_Control(front->shell->node);
    const struct SlReplica *replica = SlNode_Replica(front->shell->node);
    struct SlEvent event = {.number = number,
                            .now_us = now_us,
                            .version =
                                SlConfig_Version(SlReplica_Config(replica)),
                            .peer = peer,
                            .reason = reason};

    if (!may_log(window, now_us)) {
        return;
    }
    if (control != NULL) {
        event.version = SlControl_AppliedVersion(control);
        event.node = SlControl_LeaderName(control);
        event.value = SlControl_LeaseUs(control, now_us);
        event.limit = (int64_t)SlControl_LeaderSilentUs(control, now_us);
    }
    log_event(front->shell, event);
}

/// Counts and logs a read of the configuration that is refused.
static void
report_refused_read(struct SlFront *front, uint64_t now_us, uint64_t *counter,
                    const char *reason)
{
    ++*counter;
    log_call(front, &front->refused_reads, now_us, SL_EVENT_READ_REFUSED, NULL,
             reason);
}

/// Returns the address of the interface for operators at the control instance
/// with this address for links, and logs that a call is sent there.
static struct SlAddress
send_call_on(struct SlFront *front, uint64_t now_us,
             const struct SlCallTarget *target, const char *reason)
{
    struct SlAddress address = target->link;
    char text[SL_ADDRESS_TEXT_BYTES];

    front->calls_sent_on++;
    log_call(front, &front->redirected_calls, now_us, SL_EVENT_CALL_REDIRECTED,
             SlAddress_Format(&target->link, text), reason);
    /* Every control instance has its HTTP interface for operators at the
       same port number. */
    address.port = front->shell->settings.relay.control.port;
    return address;
}

static enum SlStatus
refuse_read(struct SlFront *front, uint64_t now_us)
{
    if (SlNode_Control(front->shell->node) == NULL) {
        report_refused_read(front, now_us,
                            &front->counters.reads_refused_no_log, "no_log");
    }
    else {
        report_refused_read(front, now_us,
                            &front->counters.reads_refused_no_lease,
                            "no_lease");
    }
    return SL_STALE;
}

enum SlStatus
SlFront_FindDocument(struct SlFront *front, const struct SlDocument **document,
                     struct SlAddress *other)
{
    static const char *const REASONS[SL_CALL_ROUTE_COUNT] = {
        [SL_CALL_TO_LEADER] = "read_to_leader",
        [SL_CALL_TO_LINKED] = "read_to_linked",
        [SL_CALL_TO_LISTED] = "read_to_listed",
    };
    uint64_t now_us = SlClock_Monotonic();
    struct SlCallView view = make_call_view(front, now_us);
    struct SlCallTarget target;
    enum SlCallRoute route = SlCallRoute_ForRead(&view, &target);

    if (route == SL_CALL_REFUSED) {
        return refuse_read(front, now_us);
    }
    if (route != SL_CALL_HERE) {
        front->counters.reads_redirected++;
        *other = send_call_on(front, now_us, &target, REASONS[route]);
        return SL_NOT_LEADER;
    }
    *document = SlConfig_Document(
        SlControl_Config(SlNode_Control(front->shell->node)));
    if (*document == NULL) {
        report_refused_read(front, now_us,
                            &front->counters.reads_refused_no_document,
                            "no_document");
        return SL_NOT_FOUND;
    }
    front->counters.reads_answered++;
    return SL_OK;
}

void
SlFront_ReportUnreadableDocument(struct SlFront *front)
{
    front->counters.reads_answered--;
    report_refused_read(front, SlClock_Monotonic(),
                        &front->counters.reads_refused_unreadable,
                        "unreadable");
}

void
SlFront_Counters(const struct SlFront *front, struct SlFrontCounters *counters)
{
    *counters = front->counters;
}

/// Describes the state of the control instance for the order handler. address:
/// storage for the address of the instance that may accept the order instead,
/// to which the result may point.
static struct SlControlView
make_control_view(struct SlFront *front, uint64_t now_us,
                  struct SlAddress *address)
{
    static const char *const REASONS[SL_CALL_ROUTE_COUNT] = {
        [SL_CALL_TO_LEADER] = "order_to_leader",
        [SL_CALL_TO_LINKED] = "order_to_linked",
        [SL_CALL_TO_LISTED] = "order_to_listed",
    };
    const struct SlControl *control = SlNode_Control(front->shell->node);
    struct SlCallView call_view = make_call_view(front, now_us);
    struct SlControlView view = {.is_leader = call_view.is_leader,
                                 .is_current = call_view.is_current};
    struct SlCallTarget target;
    enum SlCallRoute route = SlCallRoute_ForOrder(&call_view, &target);

    if (control != NULL) {
        view.applied_version = SlControl_AppliedVersion(control);
        view.config = SlControl_Config(control);
    }
    if (route != SL_CALL_HERE && route != SL_CALL_REFUSED) {
        *address = send_call_on(front, now_us, &target, REASONS[route]);
        view.leader = address;
    }
    return view;
}

/// Adds an HTTP call that started an order to the list of unanswered calls.
/// When the list is full, the newest call in it is dropped and is never
/// answered.
static void
add_unanswered_call(struct SlFront *front, uint64_t exchange, const char *path)
{
    struct unanswered_call *call;

    if (front->unanswered_call_count == UNANSWERED_CALLS_MAX) {
        front->unanswered_call_count--;
    }
    call = &front->unanswered_calls[front->unanswered_call_count++];
    call->exchange = exchange;
    snprintf(call->path, sizeof(call->path), "%s", path);
}

void
SlFront_PutDocument(struct SlFront *front, uint64_t exchange, const char *path,
                    const struct SlDocumentText *document)
{
    uint64_t now_us = SlClock_Monotonic();
    struct SlAddress leader;
    struct SlControlView view = make_control_view(front, now_us, &leader);

    add_unanswered_call(front, exchange, path);
    SlOrderHandler_PutDocument(&front->order_handler, now_us, &view, exchange,
                               document);
}

void
SlFront_SetZoneHold(struct SlFront *front, uint64_t exchange, const char *path,
                    const char *zone, bool out)
{
    uint64_t now_us = SlClock_Monotonic();
    struct SlAddress leader;
    struct SlControlView view = make_control_view(front, now_us, &leader);

    add_unanswered_call(front, exchange, path);
    SlOrderHandler_HoldZone(&front->order_handler, now_us, &view, exchange,
                            zone, out);
}

bool
SlFront_ReportUpstreamStatus(struct SlFront *front,
                             const struct SlUpstreamStatus *upstream_status)
{
    return front->shell->relay != NULL &&
           shell_relay_report_status(front->shell->relay, SlClock_Monotonic(),
                                     upstream_status);
}

bool
SlFront_ReportUpstreamEnd(struct SlFront *front, const char *id)
{
    return front->shell->relay != NULL &&
           shell_relay_report_end(front->shell->relay, SlClock_Monotonic(),
                                  id);
}

enum SlStatus
SlFront_WriteMetrics(struct SlFront *front, struct SlBuffer *out)
{
    enum SlStatus status =
        write_status(front->shell, SlClock_Monotonic(), out);

    return status == SL_OK ? write_metrics(front->shell, out) : status;
}
