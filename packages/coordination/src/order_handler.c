#include "savoryledge/coordination/order_handler.h"

#include <stdio.h>
#include <string.h>

enum {
    /// Callers wait about a second before they try another instance.
    PATIENCE_US = 900 * 1000,
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
end_now(struct SlOrderHandler *desk, uint64_t ticket,
        enum SlOrderOutcome outcome, const struct SlAddress *leader)
{
    desk->host_type->order_ended(desk->host, ticket, outcome, leader);
}

/// True when this instance may take the order; else it has ended.
static bool
may_take(struct SlOrderHandler *desk, const struct SlControlView *view,
         uint64_t ticket)
{
    if (!view->leads) {
        end_now(desk, ticket,
                view->leader != NULL ? SL_ORDER_NOT_LEADER
                                     : SL_ORDER_NO_LEADER,
                view->leader);
        return false;
    }
    if (desk->count == SL_ORDERS_MAX) {
        end_now(desk, ticket, SL_ORDER_NO_LEADER, NULL);
        return false;
    }
    return true;
}

static void
give(struct SlOrderHandler *desk, uint64_t now_us,
     const struct SlControlView *view, struct SlChange *change)
{
    change->client = desk->client;
    change->request = ++desk->next_request;
    change->base = view->applied;
    desk->host_type->submit_change(desk->host, now_us, change);
}

/// Notes that the next change given ends the order. The result may come
/// within the call that gives it.
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

    if (may_take(desk, view, ticket)) {
        expect_result(desk, now_us, ticket, false);
        give(desk, now_us, view, &change);
    }
}

void
SlOrderHandler_HoldZone(struct SlOrderHandler *desk, uint64_t now_us,
                        const struct SlControlView *view, uint64_t ticket,
                        const char *zone, bool out)
{
    struct SlChange change = {.verb = SL_VERB_CREATE,
                              .object = {.kind = SL_KIND_ZONE}};

    if (!may_take(desk, view, ticket)) {
        return;
    }
    snprintf(change.object.name, sizeof(change.object.name), "%s", zone);
    if (out && SlConfig_FindObject(view->config, SL_KIND_ZONE,
                                   change.object.name) == NULL) {
        give(desk, now_us, view, &change);
    }
    change.verb = out ? SL_VERB_HOLD : SL_VERB_RELEASE;
    memcpy(change.hold.key, HOLD_KEY, sizeof(HOLD_KEY));
    expect_result(desk, now_us, ticket, !out);
    give(desk, now_us, view, &change);
}

static enum SlOrderOutcome
outcome_of(const struct SlPendingOrder *order, enum SlStatus status)
{
    switch (status) {
    case SL_OK:
        return SL_ORDER_DONE;
    case SL_NOT_FOUND:
        /* There is no hold to release: what was asked for holds. */
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
take_out(struct SlOrderHandler *desk, uint32_t at)
{
    desk->count--;
    memmove(&desk->orders[at], &desk->orders[at + 1],
            (desk->count - at) * sizeof(desk->orders[0]));
}

void
SlOrderHandler_OnResult(struct SlOrderHandler *desk, uint64_t request,
                        const struct SlResult *result)
{
    for (uint32_t i = 0; i < desk->count; i++) {
        struct SlPendingOrder order = desk->orders[i];

        if (order.request == request) {
            take_out(desk, i);
            end_now(desk, order.ticket, outcome_of(&order, result->status),
                    NULL);
            return;
        }
    }
}

void
SlOrderHandler_Tick(struct SlOrderHandler *desk, uint64_t now_us)
{
    while (desk->count > 0 &&
           now_us - desk->orders[0].started_us > PATIENCE_US) {
        uint64_t ticket = desk->orders[0].ticket;

        take_out(desk, 0);
        end_now(desk, ticket, SL_ORDER_UNKNOWN_OUTCOME, NULL);
    }
}
