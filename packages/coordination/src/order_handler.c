#include "savoryledge/coordination/order_handler.h"

#include <stdio.h>
#include <string.h>

enum {
    /// Callers wait about one second for an answer before they contact another
    /// instance; this must be shorter.
    ORDER_TIMEOUT_US = 900 * 1000,
};

static const char HOLD_KEY[] = "operator";

void
SlOrderHandler_Init(struct SlOrderHandler *desk,
                    const struct SlOrderHostType *host_type, void *host,
                    uint64_t client)
{
    *desk = (struct SlOrderHandler){
        .host_type = host_type, .host = host, .client = client};
}

static void
end_order(struct SlOrderHandler *desk, uint64_t ticket,
          enum SlOrderOutcome outcome, const struct SlAddress *leader)
{
    desk->host_type->order_ended(desk->host, ticket, outcome, leader);
}

/// Returns true when this instance can accept the order. Otherwise ends it:
/// the instance is not the leader, or too many orders are pending.
static bool
accept_order(struct SlOrderHandler *desk, const struct SlControlView *view,
             uint64_t ticket)
{
    if (!view->leads) {
        end_order(desk, ticket,
                  view->leader != NULL ? SL_ORDER_NOT_LEADER
                                       : SL_ORDER_NO_LEADER,
                  view->leader);
        return false;
    }
    if (desk->count == SL_ORDERS_MAX) {
        end_order(desk, ticket, SL_ORDER_NO_LEADER, NULL);
        return false;
    }
    return true;
}

static void
submit_change(struct SlOrderHandler *desk, uint64_t now_us,
              const struct SlControlView *view, struct SlChange *change)
{
    change->client = desk->client;
    change->request = ++desk->next_request;
    change->base = view->applied;
    desk->host_type->submit_change(desk->host, now_us, change);
}

/// Adds a pending order that ends with the result of the next submitted
/// change. Must precede submit_change, which may deliver the result before it
/// returns.
static void
expect_result(struct SlOrderHandler *desk, uint64_t now_us, uint64_t ticket,
              bool release)
{
    desk->orders[desk->count++] =
        (struct SlPendingOrder){.ticket = ticket,
                                .request = desk->next_request + 1,
                                .started_us = now_us,
                                .release = release};
}

void
SlOrderHandler_PutDocument(struct SlOrderHandler *desk, uint64_t now_us,
                           const struct SlControlView *view, uint64_t ticket,
                           const struct SlDocumentText *document)
{
    struct SlChange change = {.verb = SL_VERB_DOCUMENT, .document = *document};

    if (accept_order(desk, view, ticket)) {
        expect_result(desk, now_us, ticket, false);
        submit_change(desk, now_us, view, &change);
    }
}

void
SlOrderHandler_HoldZone(struct SlOrderHandler *desk, uint64_t now_us,
                        const struct SlControlView *view, uint64_t ticket,
                        const char *zone, bool out)
{
    struct SlChange change = {.verb = SL_VERB_CREATE,
                              .object = {.kind = SL_KIND_ZONE}};

    if (!accept_order(desk, view, ticket)) {
        return;
    }
    snprintf(change.object.name, sizeof(change.object.name), "%s", zone);
    if (out && SlConfig_FindObject(view->config, SL_KIND_ZONE,
                                   change.object.name) == NULL) {
        submit_change(desk, now_us, view, &change);
    }
    change.verb = out ? SL_VERB_HOLD : SL_VERB_RELEASE;
    memcpy(change.hold.key, HOLD_KEY, sizeof(HOLD_KEY));
    expect_result(desk, now_us, ticket, !out);
    submit_change(desk, now_us, view, &change);
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
remove_order(struct SlOrderHandler *desk, uint32_t index)
{
    desk->count--;
    memmove(&desk->orders[index], &desk->orders[index + 1],
            (desk->count - index) * sizeof(desk->orders[0]));
}

void
SlOrderHandler_OnResult(struct SlOrderHandler *desk, uint64_t request,
                        const struct SlResult *result)
{
    for (uint32_t i = 0; i < desk->count; i++) {
        struct SlPendingOrder order = desk->orders[i];

        if (order.request == request) {
            remove_order(desk, i);
            end_order(desk, order.ticket,
                      outcome_from_status(&order, result->status), NULL);
            return;
        }
    }
}

void
SlOrderHandler_Tick(struct SlOrderHandler *desk, uint64_t now_us)
{
    while (desk->count > 0 &&
           now_us - desk->orders[0].started_us > ORDER_TIMEOUT_US) {
        uint64_t ticket = desk->orders[0].ticket;

        remove_order(desk, 0);
        end_order(desk, ticket, SL_ORDER_UNKNOWN_OUTCOME, NULL);
    }
}
