#include "savoryledge/coordination/order_handler.h"

#include <stdio.h>
#include <string.h>

enum {
    /// Callers wait about one second for an answer before they contact another
    /// instance; this must be shorter.
    ORDER_TIMEOUT_US = 900 * 1000,
    /// Time after which an overdue order is forgotten. Its change has been
    /// committed, or refused, long before.
    OVERDUE_ORDER_US = 30 * 1000 * 1000,
};

static const char HOLD_KEY[] = "operator";

void
SlOrderHandler_Init(struct SlOrderHandler *handler,
                    const struct SlOrderHostType *host_type, void *host,
                    uint64_t client)
{
    *handler = (struct SlOrderHandler){
        .host_type = host_type, .host = host, .client = client};
}

static void
end_order(struct SlOrderHandler *handler, uint64_t ticket,
          enum SlOrderOutcome outcome, const struct SlAddress *leader)
{
    handler->host_type->order_ended(handler->host, ticket, outcome, leader);
}

/// Returns true when this instance can accept the order. Otherwise ends it:
/// the instance is not the leader, or too many orders are pending.
static bool
accept_order(struct SlOrderHandler *handler, const struct SlControlView *view,
             uint64_t ticket)
{
    if (!view->is_leader) {
        end_order(handler, ticket,
                  view->leader != NULL ? SL_ORDER_NOT_LEADER
                                       : SL_ORDER_NO_LEADER,
                  view->leader);
        return false;
    }
    if (handler->count == SL_ORDERS_MAX) {
        end_order(handler, ticket, SL_ORDER_NO_LEADER, NULL);
        return false;
    }
    return true;
}

static void
submit_change(struct SlOrderHandler *handler, uint64_t now_us,
              const struct SlControlView *view, struct SlChange *change)
{
    change->client = handler->client;
    change->request = ++handler->next_request;
    change->base = view->applied_version;
    handler->host_type->submit_change(handler->host, now_us, change);
}

/// Adds a pending order that ends with the result of the next submitted
/// change. Must precede submit_change, which may deliver the result before it
/// returns.
static struct SlPendingOrder *
expect_result(struct SlOrderHandler *handler, uint64_t now_us, uint64_t ticket)
{
    struct SlPendingOrder *order = &handler->orders[handler->count++];

    *order = (struct SlPendingOrder){.ticket = ticket,
                                     .request = handler->next_request + 1,
                                     .started_us = now_us};
    return order;
}

static bool
is_document_in_force(const struct SlControlView *view,
                     const struct SlDocumentText *document)
{
    const struct SlDocument *present = SlConfig_Document(view->config);

    return present != NULL &&
           SlDocument_Text(present).version >= document->version;
}

/// True when the zone certainly is as the order asks: no change of it is under
/// way here.
static bool
is_zone_in_force(const struct SlOrderHandler *handler,
                 const struct SlControlView *view, const char *zone, bool out)
{
    const struct SlObject *object;
    bool is_held = false;

    if (!view->is_current) {
        return false;
    }
    for (uint32_t i = 0; i < handler->count; i++) {
        if (strcmp(handler->orders[i].zone, zone) == 0) {
            return false;
        }
    }
    object = SlConfig_FindObject(view->config, SL_KIND_ZONE, zone);
    for (uint32_t i = 0; object != NULL && i < object->holds.count; i++) {
        is_held = is_held || strcmp(object->holds.items[i].key, HOLD_KEY) == 0;
    }
    return is_held == out;
}

void
SlOrderHandler_PutDocument(struct SlOrderHandler *handler, uint64_t now_us,
                           const struct SlControlView *view, uint64_t ticket,
                           const struct SlDocumentText *document)
{
    struct SlChange change = {.verb = SL_VERB_DOCUMENT, .document = *document};

    if (!accept_order(handler, view, ticket)) {
        return;
    }
    if (is_document_in_force(view, document)) {
        end_order(handler, ticket, SL_ORDER_DONE, NULL);
        return;
    }
    (void)expect_result(handler, now_us, ticket);
    submit_change(handler, now_us, view, &change);
}

void
SlOrderHandler_HoldZone(struct SlOrderHandler *handler, uint64_t now_us,
                        const struct SlControlView *view, uint64_t ticket,
                        const char *zone, bool out)
{
    struct SlChange change = {.verb = SL_VERB_CREATE,
                              .object = {.kind = SL_KIND_ZONE}};
    struct SlPendingOrder *order;

    if (!accept_order(handler, view, ticket)) {
        return;
    }
    if (is_zone_in_force(handler, view, zone, out)) {
        end_order(handler, ticket, SL_ORDER_DONE, NULL);
        return;
    }
    snprintf(change.object.name, sizeof(change.object.name), "%s", zone);
    if (out && SlConfig_FindObject(view->config, SL_KIND_ZONE,
                                   change.object.name) == NULL) {
        submit_change(handler, now_us, view, &change);
    }
    change.verb = out ? SL_VERB_HOLD : SL_VERB_RELEASE;
    memcpy(change.hold.key, HOLD_KEY, sizeof(HOLD_KEY));
    order = expect_result(handler, now_us, ticket);
    order->release = !out;
    memcpy(order->zone, change.object.name, sizeof(order->zone));
    submit_change(handler, now_us, view, &change);
}

static enum SlOrderOutcome
outcome_from_status(const struct SlPendingOrder *order, enum SlStatus status)
{
    switch (status) {
    case SL_OK:
        return SL_ORDER_DONE;
    case SL_NOT_FOUND:
        /* There is no hold to release, so the requested state is in force. */
        return order->release ? SL_ORDER_DONE : SL_ORDER_UNKNOWN_OUTCOME;
    case SL_INVALID:
    case SL_MALFORMED:
    case SL_TOO_LONG:
        return SL_ORDER_INVALID;
    default:
        return SL_ORDER_UNKNOWN_OUTCOME;
    }
}

static void
remove_order(struct SlOrderHandler *handler, uint32_t index)
{
    handler->count--;
    memmove(&handler->orders[index], &handler->orders[index + 1],
            (handler->count - index) * sizeof(handler->orders[0]));
}

void
SlOrderHandler_OnResult(struct SlOrderHandler *handler, uint64_t request,
                        const struct SlResult *result)
{
    for (uint32_t i = 0; i < handler->count; i++) {
        struct SlPendingOrder order = handler->orders[i];

        if (order.request == request) {
            remove_order(handler, i);
            if (!order.is_overdue) {
                end_order(handler, order.ticket,
                          outcome_from_status(&order, result->status), NULL);
            }
            return;
        }
    }
}

void
SlOrderHandler_Tick(struct SlOrderHandler *handler, uint64_t now_us)
{
    while (handler->count > 0 &&
           now_us - handler->orders[0].started_us > OVERDUE_ORDER_US) {
        remove_order(handler, 0);
    }
    for (uint32_t i = 0;
         i < handler->count &&
         now_us - handler->orders[i].started_us > ORDER_TIMEOUT_US;
         i++) {
        if (!handler->orders[i].is_overdue) {
            handler->orders[i].is_overdue = true;
            end_order(handler, handler->orders[i].ticket,
                      SL_ORDER_UNKNOWN_OUTCOME, NULL);
        }
    }
}
