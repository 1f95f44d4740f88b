#include "savoryledge/coordination/desk.h"

#include <stdio.h>
#include <string.h>

enum {
    /// Callers wait about one second for an answer before they contact another
    /// instance; this must be shorter.
    ORDER_TIMEOUT_US = 900 * 1000,
};

static const char HOLD_KEY[] = "operator";

void
SlDesk_Init(struct SlDesk *desk, const struct SlDeskHostType *host_type,
            void *host, uint64_t client)
{
    *desk = (struct SlDesk){
        .host_type = host_type, .host = host, .client = client};
}

static void
end_order(struct SlDesk *desk, uint64_t ticket, enum SlDeskOutcome outcome,
          const struct SlAddress *leader)
{
    desk->host_type->ended(desk->host, ticket, outcome, leader);
}

/// Returns true when this instance can accept the order. Otherwise ends it:
/// the instance is not the leader, or too many orders are pending.
static bool
accept_order(struct SlDesk *desk, const struct SlDeskView *view,
             uint64_t ticket)
{
    if (!view->leads) {
        end_order(desk, ticket,
                  view->leader != NULL ? SL_DESK_ELSEWHERE : SL_DESK_NO_LEADER,
                  view->leader);
        return false;
    }
    if (desk->count == SL_DESK_ORDERS_MAX) {
        end_order(desk, ticket, SL_DESK_NO_LEADER, NULL);
        return false;
    }
    return true;
}

static void
submit_change(struct SlDesk *desk, uint64_t now_us,
              const struct SlDeskView *view, struct SlChange *change)
{
    change->client = desk->client;
    change->request = ++desk->next_request;
    change->base = view->applied;
    desk->host_type->give(desk->host, now_us, change);
}

/// Adds a pending order that ends with the result of the next submitted
/// change. Must precede submit_change, which may deliver the result before it
/// returns.
static void
expect_result(struct SlDesk *desk, uint64_t now_us, uint64_t ticket,
              bool release)
{
    desk->orders[desk->count++] =
        (struct SlDeskOrder){.ticket = ticket,
                             .request = desk->next_request + 1,
                             .began_us = now_us,
                             .release = release};
}

void
SlDesk_PutDocument(struct SlDesk *desk, uint64_t now_us,
                   const struct SlDeskView *view, uint64_t ticket,
                   const struct SlDocumentText *document)
{
    struct SlChange change = {.verb = SL_VERB_DOCUMENT, .document = *document};

    if (accept_order(desk, view, ticket)) {
        expect_result(desk, now_us, ticket, false);
        submit_change(desk, now_us, view, &change);
    }
}

void
SlDesk_HoldZone(struct SlDesk *desk, uint64_t now_us,
                const struct SlDeskView *view, uint64_t ticket,
                const char *zone, bool out)
{
    struct SlChange change = {.verb = SL_VERB_CREATE,
                              .object = {.kind = SL_KIND_ZONE}};

    if (!accept_order(desk, view, ticket)) {
        return;
    }
    snprintf(change.object.name, sizeof(change.object.name), "%s", zone);
    if (out && SlConfig_Find(view->config, SL_KIND_ZONE, change.object.name) ==
                   NULL) {
        submit_change(desk, now_us, view, &change);
    }
    change.verb = out ? SL_VERB_HOLD : SL_VERB_RELEASE;
    memcpy(change.hold.key, HOLD_KEY, sizeof(HOLD_KEY));
    expect_result(desk, now_us, ticket, !out);
    submit_change(desk, now_us, view, &change);
}

static enum SlDeskOutcome
outcome_from_status(const struct SlDeskOrder *order, enum SlStatus status)
{
    switch (status) {
    case SL_OK:
        return SL_DESK_DONE;
    case SL_NOT_FOUND:
        /* There is no hold to release, so the requested state is in force. */
        return order->release ? SL_DESK_DONE : SL_DESK_UNKNOWN;
    case SL_INVALID:
    case SL_MALFORMED:
    case SL_TOO_LONG:
        return SL_DESK_INVALID;
    default:
        return SL_DESK_UNKNOWN;
    }
}

static void
remove_order(struct SlDesk *desk, uint32_t index)
{
    desk->count--;
    memmove(&desk->orders[index], &desk->orders[index + 1],
            (desk->count - index) * sizeof(desk->orders[0]));
}

void
SlDesk_Result(struct SlDesk *desk, uint64_t request,
              const struct SlResult *result)
{
    for (uint32_t i = 0; i < desk->count; i++) {
        struct SlDeskOrder order = desk->orders[i];

        if (order.request == request) {
            remove_order(desk, i);
            end_order(desk, order.ticket,
                      outcome_from_status(&order, result->status), NULL);
            return;
        }
    }
}

void
SlDesk_Tick(struct SlDesk *desk, uint64_t now_us)
{
    while (desk->count > 0 &&
           now_us - desk->orders[0].began_us > ORDER_TIMEOUT_US) {
        uint64_t ticket = desk->orders[0].ticket;

        remove_order(desk, 0);
        end_order(desk, ticket, SL_DESK_UNKNOWN, NULL);
    }
}
