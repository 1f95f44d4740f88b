#include "relay_gate.h"

#include <stdlib.h>
#include <string.h>

#include "relay_entry_core.h"

enum {
    US_PER_MS = 1000,
    /// Callers send a segment again after this time without an
    /// acknowledgement.
    RETRANSMISSION_US = 200 * US_PER_MS,
    /// A caller keeps so many segments in flight.
    WINDOW_SEGMENTS = 16,
    WINDOW_SEGMENT_BYTES = 1236,
    /// An exchange on a new flow passes the link twice before its request has
    /// arrived: with the opening segment and with the request.
    PASSES = 2,
    /// Tolerated queueing delay of a segment. All passes of an exchange
    /// together take a quarter of the time after which segments are sent
    /// again.
    TOLERATED_DELAY_US = RETRANSMISSION_US / 4 / PASSES,
    WINDOW_BYTES = WINDOW_SEGMENTS * WINDOW_SEGMENT_BYTES,
    /// The link counts as slower than estimated from a delay of so many
    /// percent of what the transfers on it explain.
    EXCESS_PERCENT = 150,
    US_PER_S = 1000 * 1000,
    /// A transfer of which nothing passes for this time leaves the link to
    /// others. With the tolerated delay, acknowledgements return sooner.
    PAUSE_US = RETRANSMISSION_US / 2,
    /// A transfer of which nothing passes for this time has ended: callers
    /// retransmit at least as often.
    SILENCE_US = 2000 * US_PER_MS,
    /// The link is logged as free when nothing has waited for this time.
    FREE_AFTER_US = 1000 * US_PER_MS,
    /// A caller gives up an opening segment without an answer after this time.
    OPENING_TIMEOUT_US = 1400 * US_PER_MS,
    /// Time that is left for the offer and the upstream's answer.
    OPENING_MARGIN_US = RETRANSMISSION_US,
    /// A copy of an opening segment may arrive this much later than it is due.
    COPY_MARGIN_US = RETRANSMISSION_US / 2,
    /// Maximum number of opening segments that wait.
    WAITING_MAX = 512,
    /// Tries of a caller that fit into the objective when the first is
    /// refused.
    TRIES_IN_TIME = 2,
    /// Headers of IPv4 and UDP, and that of a frame.
    DATAGRAM_HEADER_BYTES = 28,
    FRAME_HEADER_BYTES = 40,
};

static void
list_insert_before(struct SlEntryTransferList *list,
                   struct SlEntryTransfer *next,
                   struct SlEntryTransfer *transfer)
{
    transfer->next = next;
    transfer->previous = next != NULL ? next->previous : list->last;
    *(transfer->previous != NULL ? &transfer->previous->next : &list->first) =
        transfer;
    *(next != NULL ? &next->previous : &list->last) = transfer;
    list->count++;
}

static void
list_remove(struct SlEntryTransferList *list, struct SlEntryTransfer *transfer)
{
    *(transfer->previous != NULL ? &transfer->previous->next : &list->first) =
        transfer->next;
    *(transfer->next != NULL ? &transfer->next->previous : &list->last) =
        transfer->previous;
    list->count--;
}

/// Queueing delay that accepted transfers cause on a link of this rate.
static uint64_t
explained_delay_us(uint64_t link_bytes_per_s)
{
    uint64_t window_us =
        (uint64_t)WINDOW_BYTES * US_PER_S / (link_bytes_per_s + 1);

    return window_us > TOLERATED_DELAY_US ? window_us : TOLERATED_DELAY_US;
}

void
SlEntryTransfers_Init(struct SlEntryTransfers *transfers,
                      uint64_t link_bytes_per_s)
{
    *transfers = (struct SlEntryTransfers){
        .link = {.set_bytes_per_s = link_bytes_per_s,
                 .rate_bytes_per_s = link_bytes_per_s,
                 .delay_limit_us = EXCESS_PERCENT *
                                   explained_delay_us(link_bytes_per_s) / 100},
        .gate = {.window_bytes = WINDOW_BYTES, .delay_us = TOLERATED_DELAY_US},
    };
}

void
SlEntryTransfers_SetPlan(struct SlEntryTransfers *transfers,
                         const struct SlPlan *plan)
{
    transfers->enabled = false;
    for (uint32_t i = 0; plan != NULL && i < SlPlan_RouteCount(plan); i++) {
        if (SlPlan_RouteAt(plan, i)->kind == SL_TRAFFIC_UPLOAD) {
            transfers->enabled = transfers->link.set_bytes_per_s != 0;
        }
    }
}

void
SlEntryTransfers_CountReceived(struct SlEntryTransfers *transfers,
                               uint32_t segment_bytes)
{
    if (transfers->enabled) {
        SlLinkEstimate_AddBytes(&transfers->link,
                                segment_bytes + DATAGRAM_HEADER_BYTES, 0);
    }
}

void
SlEntryTransfers_AddAnswer(struct SlEntryTransfers *transfers,
                           uint64_t took_us)
{
    if (transfers->enabled) {
        SlLinkEstimate_AddAnswer(&transfers->link, took_us);
    }
}

void
SlEntryTransfers_CountSent(struct SlEntryTransfers *transfers,
                           uint32_t segment_bytes)
{
    if (transfers->enabled) {
        SlLinkEstimate_AddBytes(&transfers->link, 0,
                                segment_bytes + FRAME_HEADER_BYTES +
                                    DATAGRAM_HEADER_BYTES);
    }
}

static void
log_transfer(struct SlRelayEntry *entry, struct SlRelaySink *sink,
             uint64_t now_us, enum SlEventNumber number,
             const struct SlEntryTransfer *transfer, const char *reason,
             uint64_t value, uint64_t limit)
{
    SlRelayEntry_LogEvent(entry, sink, now_us,
                          (struct SlEvent){.number = number,
                                           .flow = &transfer->flow->item.key,
                                           .reason = reason,
                                           .value = (int64_t)value,
                                           .limit = (int64_t)limit});
}

static struct SlEntryTransfer *
create_transfer(struct SlEntryFlow *flow, uint64_t now_us)
{
    struct SlEntryTransfer *transfer = calloc(1, sizeof(*transfer));

    if (transfer != NULL) {
        transfer->flow = flow;
        transfer->began_us = now_us;
        transfer->last_us = now_us;
        transfer->state = SL_ENTRY_TRANSFER_DONE;
        flow->transfer = transfer;
    }
    return transfer;
}

/// Takes a transfer off the list that its state requires.
static void
detach(struct SlEntryTransfers *transfers, struct SlEntryTransfer *transfer)
{
    switch (transfer->state) {
    case SL_ENTRY_TRANSFER_WAITING:
        list_remove(&transfers->waiting, transfer);
        break;
    case SL_ENTRY_TRANSFER_ACTIVE:
        transfers->gate.active--;
        /* fallthrough */
    case SL_ENTRY_TRANSFER_PAUSED:
        list_remove(&transfers->running, transfer);
        break;
    case SL_ENTRY_TRANSFER_DONE:
        break;
    }
    transfer->state = SL_ENTRY_TRANSFER_DONE;
}

/// Makes a transfer active. It may exceed the limit: a transfer that has begun
/// is never held back.
static void
activate(struct SlEntryTransfers *transfers, uint64_t now_us,
         struct SlEntryTransfer *transfer)
{
    if (transfer->state == SL_ENTRY_TRANSFER_ACTIVE) {
        return;
    }
    detach(transfers, transfer);
    transfer->state = SL_ENTRY_TRANSFER_ACTIVE;
    transfer->active_since_us = now_us;
    transfers->gate.active++;
    list_insert_before(&transfers->running, NULL, transfer);
}

/// Leaves the link to other transfers. The time since the last segment does
/// not count as occupied.
static void
pause_transfer(struct SlEntryTransfers *transfers,
               struct SlEntryTransfer *transfer)
{
    transfer->occupied_us += transfer->last_us - transfer->active_since_us;
    transfer->state = SL_ENTRY_TRANSFER_PAUSED;
    transfers->gate.active--;
}

static void
begin_transfer(struct SlRelayEntry *entry, uint64_t now_us,
               struct SlEntryTransfer *transfer)
{
    transfer->whole = true;
    transfer->began_us = now_us;
    transfer->last_us = now_us;
    activate(&entry->transfers, now_us, transfer);
    entry->counters.transfers_started++;
}

static void
end_transfer(struct SlRelayEntry *entry, struct SlRelaySink *sink,
             uint64_t now_us, struct SlEntryTransfer *transfer,
             const char *reason, bool complete)
{
    struct SlEntryTransfers *transfers = &entry->transfers;
    uint64_t took_us = transfer->last_us - transfer->began_us;

    if (transfer->state == SL_ENTRY_TRANSFER_ACTIVE) {
        pause_transfer(transfers, transfer);
    }
    detach(transfers, transfer);
    SlTransferGate_RecordEnd(&transfers->gate, transfer->last_us,
                             transfer->whole && complete ? transfer->bytes : 0,
                             transfer->occupied_us);
    transfer->occupied_us = 0;
    entry->counters.transfers_ended++;
    entry->counters.transfers_cut_short += !complete;
    log_transfer(entry, sink, now_us, SL_EVENT_TRANSFER_ENDED, transfer,
                 reason, transfer->bytes, took_us);
}

static bool
comes_before(const struct SlEntryTransfer *a, const struct SlEntryTransfer *b)
{
    return a->priority != b->priority ? a->priority < b->priority
                                      : a->due_us < b->due_us;
}

/// Returns the waiting transfer before which a new one is inserted, and counts
/// those ahead of it.
static struct SlEntryTransfer *
find_place(const struct SlEntryTransferList *waiting,
           const struct SlEntryTransfer *transfer, uint32_t *ahead)
{
    struct SlEntryTransfer *place = waiting->last;

    *ahead = waiting->count;
    while (place != NULL && comes_before(transfer, place)) {
        place = place->previous;
        (*ahead)--;
    }
    return place != NULL ? place->next : waiting->first;
}

/// Time within which a new transfer has to start. A flow that is refused then
/// has time for a further try, by another entry, within the route's objective.
static uint64_t
patience_us(const struct SlEntryTransfers *transfers, uint64_t age_us,
            const struct SlPlanRoute *route)
{
    uint64_t objective_us = (uint64_t)route->objective_ms * US_PER_MS;
    uint64_t limit_us = OPENING_TIMEOUT_US - OPENING_MARGIN_US;
    uint64_t spent_us =
        age_us + SlTransferGate_ExpectedTimeUs(
                     &transfers->gate, transfers->link.rate_bytes_per_s);

    if (objective_us != 0 && objective_us < limit_us) {
        limit_us = objective_us;
    }
    limit_us /= TRIES_IN_TIME;
    return limit_us > spent_us ? limit_us - spent_us : 0;
}

/// Notes when the caller's next copy of its opening segment is due. Callers
/// double the interval between copies.
static void
record_copy(struct SlEntryTransfer *transfer, uint64_t now_us,
            const struct SlSegment *segment)
{
    uint64_t age_us = (uint64_t)segment->age_ms * US_PER_MS;

    transfer->copy_due_us =
        now_us + (age_us == 0 ? RETRANSMISSION_US : 2 * age_us);
}

/// True when all copies of the opening segment that the caller has sent so far
/// came through this entry, so that no other entry can have offered the flow.
static bool
has_all_copies(const struct SlEntryTransfer *transfer, uint64_t now_us)
{
    return transfer->has_first_copy && now_us < transfer->copy_due_us;
}

/// Removes a flow that does not get its turn. Its caller is reset unless
/// another entry may have offered the flow.
static void
refuse_transfer(struct SlRelayEntry *entry, struct SlRelaySink *sink,
                uint64_t now_us, struct SlEntryTransfer *transfer,
                const char *reason, uint64_t expected_us, uint64_t left_us)
{
    if (has_all_copies(transfer, now_us)) {
        log_transfer(entry, sink, now_us, SL_EVENT_TRANSFER_REFUSED, transfer,
                     reason, expected_us, left_us);
        SlRelayEntry_SendReset(entry, sink, &transfer->flow->item.key, 0);
    }
    else {
        entry->counters.transfers_left++;
    }
    SlEntryFlow_Remove(entry, transfer->flow);
}

static void
wait_in_line(struct SlRelayEntry *entry, struct SlEntryTransfer *transfer,
             struct SlEntryTransfer *place)
{
    transfer->state = SL_ENTRY_TRANSFER_WAITING;
    list_insert_before(&entry->transfers.waiting, place, transfer);
    entry->counters.transfers_held++;
}

bool
SlEntryTransfers_StartFlow(struct SlRelayEntry *entry,
                           struct SlRelaySink *sink, uint64_t now_us,
                           struct SlEntryFlow *flow,
                           const struct SlPlanRoute *route,
                           const struct SlSegment *segment)
{
    struct SlEntryTransfers *transfers = &entry->transfers;
    uint64_t rate = transfers->link.rate_bytes_per_s;
    uint64_t age_us = (uint64_t)segment->age_ms * US_PER_MS;
    struct SlEntryTransfer *transfer;
    struct SlEntryTransfer *place;
    uint64_t expected_us;
    uint64_t left_us;
    uint32_t ahead;

    if (!transfers->enabled || route->kind != SL_TRAFFIC_UPLOAD ||
        flow->opening_bytes == 0) {
        return true;
    }
    transfer = create_transfer(flow, now_us);
    if (transfer == NULL) {
        return true;
    }
    transfer->began_us = now_us - age_us;
    transfer->has_first_copy = age_us == 0;
    record_copy(transfer, now_us, segment);
    transfer->priority = route->priority;
    transfer->due_us =
        transfer->began_us + (uint64_t)route->objective_ms * US_PER_MS;
    place = find_place(&transfers->waiting, transfer, &ahead);
    left_us = patience_us(transfers, age_us, route);
    expected_us =
        SlTransferGate_ExpectedWaitUs(&transfers->gate, now_us, rate, ahead);
    if (transfers->waiting.count >= WAITING_MAX) {
        left_us = 0;
    }
    switch (SlTransferGate_Decide(&transfers->gate, now_us, rate, ahead,
                                  left_us)) {
    case SL_TRANSFER_START:
        begin_transfer(entry, now_us, transfer);
        return true;
    case SL_TRANSFER_WAIT:
        log_transfer(entry, sink, now_us, SL_EVENT_TRANSFER_HELD, transfer,
                     "link_busy", ahead, expected_us);
        wait_in_line(entry, transfer, place);
        return false;
    case SL_TRANSFER_REFUSE:
        break;
    }
    entry->counters.transfers_refused_full++;
    refuse_transfer(entry, sink, now_us, transfer, "link_full", expected_us,
                    left_us);
    return false;
}

static bool
is_waiting(const struct SlEntryFlow *flow)
{
    return flow->transfer != NULL &&
           flow->transfer->state == SL_ENTRY_TRANSFER_WAITING;
}

bool
SlEntryTransfers_KeepCopy(struct SlEntryFlow *flow, uint64_t now_us,
                          const struct SlSegment *segment)
{
    if (!is_waiting(flow)) {
        return false;
    }
    record_copy(flow->transfer, now_us, segment);
    if (segment->length_bytes <= sizeof(flow->opening)) {
        memcpy(flow->opening, segment->bytes, segment->length_bytes);
        flow->opening_bytes = segment->length_bytes;
    }
    return true;
}

/// Whether the flow belongs to a route for uploads.
static bool
carries_uploads(struct SlRelayEntry *entry, struct SlEntryFlow *flow)
{
    const struct SlPlanRoute *route;

    if (flow->traffic == SL_ENTRY_TRAFFIC_UNKNOWN) {
        route = SlPlan_FindRoute(entry->plan, &flow->item.key.service);
        flow->traffic = route != NULL && route->kind == SL_TRAFFIC_UPLOAD
                            ? SL_ENTRY_TRAFFIC_UPLOAD
                            : SL_ENTRY_TRAFFIC_OTHER;
    }
    return flow->traffic == SL_ENTRY_TRAFFIC_UPLOAD;
}

/// Records a segment of the body. A segment that is shorter than the largest
/// one of the flow ends the body.
static void
record_data(struct SlRelayEntry *entry, struct SlRelaySink *sink,
            uint64_t now_us, struct SlEntryTransfer *transfer,
            const struct SlSegment *segment)
{
    uint32_t end_seq = segment->seq + segment->payload_bytes;
    bool is_new =
        !transfer->has_data || (int32_t)(end_seq - transfer->end_seq) > 0;

    if (transfer->state == SL_ENTRY_TRANSFER_DONE) {
        if (!is_new) {
            return;
        }
        /* The body of a further request, or one whose start went through
           another entry. */
        transfer->whole = false;
        transfer->began_us = now_us;
        transfer->bytes = 0;
        entry->counters.transfers_taken_over++;
    }
    activate(&entry->transfers, now_us, transfer);
    transfer->last_us = now_us;
    if (is_new) {
        transfer->has_data = true;
        transfer->end_seq = end_seq;
        transfer->bytes += segment->payload_bytes;
    }
    if (segment->payload_bytes < transfer->largest_bytes) {
        end_transfer(entry, sink, now_us, transfer, "body_end", true);
    }
    else {
        transfer->largest_bytes = segment->payload_bytes;
    }
}

static void
start_next(struct SlRelayEntry *entry, struct SlRelaySink *sink,
           uint64_t now_us)
{
    struct SlEntryTransfers *transfers = &entry->transfers;

    while (transfers->waiting.first != NULL &&
           SlTransferGate_HasRoom(&transfers->gate, now_us,
                                  transfers->link.rate_bytes_per_s)) {
        struct SlEntryTransfer *transfer = transfers->waiting.first;

        if (now_us > transfer->copy_due_us + COPY_MARGIN_US) {
            /* The caller has left, or its copies come through another entry,
               which then decides about the flow. */
            entry->counters.transfers_left++;
            SlEntryFlow_Remove(entry, transfer->flow);
            continue;
        }
        begin_transfer(entry, now_us, transfer);
        SlRelayEntry_OfferKeptSegment(entry, sink, now_us, transfer->flow);
    }
}

void
SlEntryTransfers_LeaveLine(struct SlRelayEntry *entry,
                           struct SlEntryFlow *flow)
{
    if (is_waiting(flow)) {
        entry->counters.transfers_left++;
        detach(&entry->transfers, flow->transfer);
    }
}

bool
SlEntryTransfers_RecordSegment(struct SlRelayEntry *entry,
                               struct SlRelaySink *sink, uint64_t now_us,
                               struct SlEntryFlow *flow,
                               const struct SlSegment *segment)
{
    struct SlEntryTransfer *transfer = flow->transfer;
    bool ends = segment->flags & (SL_SEGMENT_CLOSE | SL_SEGMENT_RESET);

    if (transfer == NULL &&
        (!entry->transfers.enabled || !carries_uploads(entry, flow))) {
        return true;
    }
    if (is_waiting(flow) && ends) {
        entry->counters.transfers_left++;
        SlEntryFlow_Remove(entry, flow);
        return false;
    }
    /* The flow was opened through another entry. */
    SlEntryTransfers_LeaveLine(entry, flow);
    if (segment->payload_bytes > 0) {
        if (transfer == NULL) {
            transfer = create_transfer(flow, now_us);
        }
        if (transfer != NULL) {
            record_data(entry, sink, now_us, transfer, segment);
        }
    }
    if (ends && transfer != NULL &&
        transfer->state != SL_ENTRY_TRANSFER_DONE) {
        end_transfer(entry, sink, now_us, transfer,
                     segment->flags & SL_SEGMENT_RESET ? "reset" : "closed",
                     !(segment->flags & SL_SEGMENT_RESET));
    }
    start_next(entry, sink, now_us);
    return true;
}

void
SlEntryTransfers_ReleaseFlow(struct SlRelayEntry *entry,
                             struct SlEntryFlow *flow)
{
    struct SlEntryTransfer *transfer = flow->transfer;

    if (transfer != NULL) {
        entry->counters.transfers_ended +=
            transfer->state == SL_ENTRY_TRANSFER_ACTIVE ||
            transfer->state == SL_ENTRY_TRANSFER_PAUSED;
        detach(&entry->transfers, transfer);
        free(transfer);
        flow->transfer = NULL;
    }
}

/// Pauses or ends transfers of which nothing passes.
static void
check_running(struct SlRelayEntry *entry, struct SlRelaySink *sink,
              uint64_t now_us)
{
    struct SlEntryTransfers *transfers = &entry->transfers;
    struct SlEntryTransfer *next;

    for (struct SlEntryTransfer *transfer = transfers->running.first;
         transfer != NULL; transfer = next) {
        uint64_t silent_us = now_us - transfer->last_us;

        next = transfer->next;
        if (silent_us > SILENCE_US) {
            end_transfer(entry, sink, now_us, transfer, "silent", false);
        }
        else if (silent_us > PAUSE_US &&
                 transfer->state == SL_ENTRY_TRANSFER_ACTIVE) {
            pause_transfer(transfers, transfer);
            entry->counters.transfers_paused++;
        }
    }
}

/// Refuses waiting transfers whose turn would come after the caller has given
/// up its opening segment.
static void
refuse_late(struct SlRelayEntry *entry, struct SlRelaySink *sink,
            uint64_t now_us)
{
    struct SlEntryTransfers *transfers = &entry->transfers;
    struct SlEntryTransfer *next;
    uint32_t ahead = 0;

    for (struct SlEntryTransfer *transfer = transfers->waiting.first;
         transfer != NULL; transfer = next) {
        uint64_t waited_us = now_us - transfer->began_us;
        uint64_t limit_us = OPENING_TIMEOUT_US - OPENING_MARGIN_US;
        uint64_t expected_us = SlTransferGate_ExpectedWaitUs(
            &transfers->gate, now_us, transfers->link.rate_bytes_per_s, ahead);

        next = transfer->next;
        if (waited_us + expected_us <= limit_us) {
            ahead++;
            continue;
        }
        entry->counters.transfers_refused_late++;
        refuse_transfer(entry, sink, now_us, transfer, "turn_too_late",
                        expected_us,
                        limit_us > waited_us ? limit_us - waited_us : 0);
    }
}

/// Logs when transfers begin to wait, and when none has waited for some time.
static void
log_link(struct SlRelayEntry *entry, struct SlRelaySink *sink, uint64_t now_us)
{
    struct SlEntryTransfers *transfers = &entry->transfers;
    const struct SlLinkEstimate *link = &transfers->link;
    bool full = transfers->waiting.count > 0;

    if (full) {
        transfers->last_wait_us = now_us;
    }
    if (full != transfers->logged_full &&
        (full || now_us - transfers->last_wait_us > FREE_AFTER_US)) {
        transfers->logged_full = full;
        SlRelayEntry_LogEvent(
            entry, sink, now_us,
            (struct SlEvent){.number = SL_EVENT_LINK_FULL,
                             .reason = full ? "full" : "free",
                             .value = (int64_t)link->used_bytes_per_s,
                             .limit = (int64_t)link->delay_us});
    }
}

void
SlEntryTransfers_Tick(struct SlRelayEntry *entry, struct SlRelaySink *sink,
                      uint64_t now_us)
{
    struct SlEntryTransfers *transfers = &entry->transfers;

    if (entry->plan == NULL ||
        (!transfers->enabled && transfers->waiting.count == 0 &&
         transfers->running.count == 0)) {
        return;
    }
    if (SlLinkEstimate_Tick(&transfers->link, now_us)) {
        SlRelayEntry_LogEvent(
            entry, sink, now_us,
            (struct SlEvent){.number = SL_EVENT_LINK_RATE,
                             .reason = "measured_delay",
                             .value =
                                 (int64_t)transfers->link.rate_bytes_per_s,
                             .limit = (int64_t)transfers->link.delay_us});
    }
    check_running(entry, sink, now_us);
    start_next(entry, sink, now_us);
    refuse_late(entry, sink, now_us);
    log_link(entry, sink, now_us);
}

void
SlEntryTransfers_Counters(const struct SlEntryTransfers *transfers,
                          struct SlRelayEntryCounters *counters)
{
    counters->transfers_active = transfers->gate.active;
    counters->transfers_waiting = transfers->waiting.count;
    counters->transfer_limit =
        transfers->enabled
            ? SlTransferGate_Limit(&transfers->gate,
                                   transfers->link.rate_bytes_per_s)
            : 0;
    counters->transfer_mean_us = transfers->gate.mean_us;
    counters->transfer_mean_bytes = transfers->gate.mean_bytes;
    counters->link_rate_bytes_per_s = transfers->link.rate_bytes_per_s;
    counters->link_used_bytes_per_s = transfers->link.used_bytes_per_s;
    counters->link_delay_us = transfers->link.delay_us;
}
