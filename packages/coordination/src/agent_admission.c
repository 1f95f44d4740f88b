/// What the upstream may carry, judged by what is seen beside it: completed
/// handshakes, first answers and their time, failures, exchanges in progress
/// against its slots, and open flows.
///
/// A cold upstream starts with one exchange and few flows. Each answer in the
/// usual time lets it hold one flow more; the exchanges grow in steps of
/// time. Answers that come late while the upstream had free slots, or
/// failures, make it cold again; where late answers are usual, because
/// callers poll, only a row of them that is no chance does, and an exchange
/// that is late is no longer counted.

#include "agent_admission.h"
#include "agent_core.h"

#include <netinet/in.h>

enum {
    COLD_EXCHANGES = 1,
    COLD_FLOWS = 20,
    /// Exchanges that may queue at a warm upstream, for each slot.
    QUEUE_FACTOR = 16,
    STEP_US = 500 * 1000,
    /// The step once as many exchanges as slots are allowed.
    QUEUE_STEP_US = 1000 * 1000,
    CUT_INTERVAL_US = 200 * 1000,
    /// Samples before answers are called late.
    SAMPLES_MIN = 8,
    SAMPLE_SHARE = 16,
    /// What takes longer waits for news rather than for the upstream.
    SAMPLE_MAX_US = 1000 * 1000,
    LATE_SLACK_US = 20 * 1000,
    BAD_IN_A_ROW = 2,
    /// The share of late answers is a moving mean over about so many. From
    /// the first bound on they are usual, from the second on the rule.
    LATE_SHARE = 64,
    WHOLE_PERMILLE = 1000,
    USUAL_PERMILLE = 100,
    MOST_PERMILLE = 500,
    SLOWER_FACTOR = 4,
    /// How unlikely a row of late answers must be.
    CHANCE_PPM = 1000,
    LATE_IN_A_ROW_MAX = 64,
    /// So many connections given up within the window, and this share of
    /// those that were open, make an upstream cold.
    LOST_MIN = 3,
    LOST_SHARE = 4,
    LOST_WINDOW_US = 500 * 1000,
};

bool
agent_admission_init(struct agent_admission *admission,
                     const struct SlAgentOptions *options, uint64_t now_us)
{
    admission->slots = options->slots == 0 ? 1 : options->slots;
    admission->capacity_flows = options->capacity_flows;
    admission->limit_exchanges = COLD_EXCHANGES;
    admission->limit_flows = COLD_FLOWS < options->capacity_flows
                                 ? COLD_FLOWS
                                 : options->capacity_flows;
    admission->grown_us = now_us;
    return pthread_mutex_init(&admission->lock, NULL) == 0;
}

/// Exchanges in progress, and those that are about to begin while the
/// upstream is not yet known to carry more than its slots.
static uint32_t
work(const struct agent_admission *admission)
{
    uint32_t expected = 0;

    if (admission->limit_exchanges <= admission->slots) {
        expected = admission->handshakes;
    }
    return admission->exchanges + expected;
}

static uint32_t
room(const struct agent_admission *admission)
{
    uint32_t flows = 0;
    uint32_t exchanges = 0;
    uint32_t in_work = work(admission);

    if (admission->open_flows < admission->limit_flows) {
        flows = admission->limit_flows - admission->open_flows;
    }
    if (in_work < admission->limit_exchanges) {
        exchanges = admission->limit_exchanges - in_work;
    }
    return flows < exchanges ? flows : exchanges;
}

static void
hold(struct agent_admission *admission, uint64_t service_id, int change)
{
    struct agent_held *held = admission->held;
    uint32_t i = 0;

    while (i < admission->held_count && held[i].service_id != service_id) {
        i++;
    }
    if (i == admission->held_count) {
        if (change < 0 || i == AGENT_SERVICES_MAX) {
            return;
        }
        held[i] = (struct agent_held){.service_id = service_id};
        admission->held_count++;
    }
    held[i].flows += (uint32_t)change;
    if (held[i].flows == 0) {
        held[i] = held[--admission->held_count];
    }
}

bool
agent_admission_open(const struct agent_call *call, uint64_t service_id,
                     bool handshake, bool adopted)
{
    struct agent_admission *admission = &call->agent->admission;
    bool allowed;

    pthread_mutex_lock(&admission->lock);
    allowed = adopted || room(admission) > 0;
    if (allowed) {
        admission->open_flows++;
        admission->handshakes += handshake ? 1 : 0;
        hold(admission, service_id, 1);
    }
    if (adopted && admission->limit_flows < admission->capacity_flows) {
        admission->limit_flows++;
    }
    pthread_mutex_unlock(&admission->lock);
    return allowed;
}

void
agent_admission_close(const struct agent_call *call, const struct SlFlow *flow)
{
    struct agent_admission *admission = &call->agent->admission;
    bool handshake =
        (flow->flags & SL_FLOW_HANDSHAKE) && flow->key.protocol == IPPROTO_TCP;

    pthread_mutex_lock(&admission->lock);
    admission->open_flows--;
    admission->handshakes -= handshake ? 1 : 0;
    admission->exchanges -= flow->flags & SL_FLOW_IN_EXCHANGE ? 1 : 0;
    admission->asked -= flow->flags & SL_FLOW_REQUEST_DELIVERED ? 1 : 0;
    hold(admission, flow->service_id, -1);
    pthread_mutex_unlock(&admission->lock);
}

void
agent_admission_handshake_done(const struct agent_call *call)
{
    struct agent_admission *admission = &call->agent->admission;

    pthread_mutex_lock(&admission->lock);
    admission->handshakes--;
    pthread_mutex_unlock(&admission->lock);
}

uint32_t
agent_admission_begin(const struct agent_call *call)
{
    struct agent_admission *admission = &call->agent->admission;
    uint32_t before;

    pthread_mutex_lock(&admission->lock);
    before = admission->exchanges++;
    pthread_mutex_unlock(&admission->lock);
    return before;
}

void
agent_admission_asked(const struct agent_call *call, bool waits)
{
    struct agent_admission *admission = &call->agent->admission;

    pthread_mutex_lock(&admission->lock);
    admission->asked += waits ? 1 : (uint32_t)-1;
    pthread_mutex_unlock(&admission->lock);
}

void
agent_admission_cancel(const struct agent_call *call)
{
    struct agent_admission *admission = &call->agent->admission;

    pthread_mutex_lock(&admission->lock);
    admission->exchanges--;
    pthread_mutex_unlock(&admission->lock);
}

static void
event_limit(const struct agent_call *call, enum SlEventNumber number,
            const char *reason, int64_t value, int64_t limit)
{
    struct SlEvent event = {.number = number,
                            .node = call->agent->options.core.name,
                            .reason = reason,
                            .value = value,
                            .limit = limit};

    agent_event(call, &event);
}

static uint32_t
at_most(uint64_t value, uint32_t limit)
{
    return value < limit ? (uint32_t)value : limit;
}

/// Raises the limits by a step when enough answers came in time since the
/// last one. Returns true when they changed.
static bool
grow(struct agent_admission *admission, uint64_t now_us)
{
    uint32_t slots = admission->slots;
    uint32_t exchanges = admission->limit_exchanges;
    uint32_t flows = admission->limit_flows;
    bool cold = exchanges < slots;
    uint32_t needed = cold ? exchanges * 2 : exchanges;
    uint64_t raised = cold ? flows : (uint64_t)flows * 2;

    if (admission->good_answers < needed ||
        agent_elapsed_us(now_us, admission->grown_us) <
            (cold ? STEP_US : QUEUE_STEP_US)) {
        return false;
    }
    admission->good_answers = 0;
    admission->grown_us = now_us;
    admission->limit_exchanges =
        cold ? exchanges + 1
             : at_most((uint64_t)exchanges * 2, slots * QUEUE_FACTOR);
    admission->limit_flows = at_most(raised, admission->capacity_flows);
    return admission->limit_exchanges != exchanges ||
           admission->limit_flows != flows;
}

static void
turn_cold(struct agent_admission *admission, uint64_t now_us)
{
    admission->limit_exchanges = COLD_EXCHANGES;
    admission->limit_flows =
        at_most((uint64_t)admission->open_flows + COLD_FLOWS,
                admission->capacity_flows);
    admission->good_answers = 0;
    admission->bad_answers = 0;
    admission->grown_us = now_us;
    admission->cut_us = now_us;
}

/// Halves what may be in progress, at most once in a while. True when that
/// changed it.
static bool
cut(struct agent_admission *admission, uint64_t now_us, uint32_t least)
{
    uint32_t before = admission->limit_exchanges;
    uint32_t half = before / 2 < least ? least : before / 2;

    if (agent_elapsed_us(now_us, admission->cut_us) < CUT_INTERVAL_US) {
        return false;
    }
    admission->cut_us = now_us;
    admission->grown_us = now_us;
    admission->good_answers = 0;
    admission->limit_exchanges = half < before ? half : before;
    return half < before;
}

/// An answer that takes longer is late; UINT64_MAX while too few were seen.
static uint64_t
late_after_us(const struct agent_admission *admission)
{
    uint64_t usual_us = admission->usual_us;
    uint64_t spread_us = 4 * admission->spread_us + LATE_SLACK_US;

    if (admission->usual_samples < SAMPLES_MIN) {
        return UINT64_MAX;
    }
    return usual_us + (spread_us > usual_us ? spread_us : usual_us);
}

/// Jacobson's estimate of mean and mean deviation (RFC 6298).
static void
learn(struct agent_admission *admission, uint64_t took_us)
{
    uint64_t usual = admission->usual_us;
    uint64_t off;

    took_us = took_us < SAMPLE_MAX_US ? took_us : SAMPLE_MAX_US;
    off = took_us > usual ? took_us - usual : usual - took_us;

    if (admission->usual_samples++ == 0) {
        admission->usual_us = took_us;
        admission->spread_us = took_us / 2;
        return;
    }
    admission->usual_us =
        (usual * (SAMPLE_SHARE - 1) + took_us) / SAMPLE_SHARE;
    admission->spread_us =
        (admission->spread_us * (SAMPLE_SHARE - 1) + off) / SAMPLE_SHARE;
}

enum verdict {
    VERDICT_NONE,
    VERDICT_LIMIT,
    VERDICT_COLD,
};

/// So many late answers in a row are no chance, given the usual share of late
/// ones.
static uint32_t
late_in_a_row(const struct agent_admission *admission)
{
    uint64_t share = admission->late_permille;
    uint64_t chance = share * share;
    uint32_t needed = BAD_IN_A_ROW;

    while (chance > CHANCE_PPM && needed < LATE_IN_A_ROW_MAX) {
        chance = chance * share / WHOLE_PERMILLE;
        needed++;
    }
    return needed;
}

/// Late answers are nothing unusual: callers poll, or wait for news.
static bool
is_late_usual(const struct agent_admission *admission)
{
    return admission->late_permille >= USUAL_PERMILLE;
}

/// One bad answer or failure. alone: the upstream had a free slot, so that
/// a queue does not explain it.
static enum verdict
judge_bad(struct agent_admission *admission, uint64_t now_us, bool alone,
          uint32_t needed)
{
    uint32_t least = alone ? COLD_EXCHANGES : admission->slots;

    admission->bad_answers++;
    if (admission->bad_answers < needed && is_late_usual(admission)) {
        return VERDICT_NONE;
    }
    if (admission->bad_answers >= needed && alone &&
        admission->limit_exchanges > COLD_EXCHANGES) {
        turn_cold(admission, now_us);
        return VERDICT_COLD;
    }
    return cut(admission, now_us, least) ? VERDICT_LIMIT : VERDICT_NONE;
}

static enum verdict
judge_late(struct agent_admission *admission, uint64_t now_us, bool alone)
{
    uint32_t needed = late_in_a_row(admission);
    enum verdict verdict = judge_bad(admission, now_us, alone, needed);

    admission->late_permille +=
        (WHOLE_PERMILLE - admission->late_permille) / LATE_SHARE;
    return verdict;
}

/// One flow is no longer among those that wait for their first answer.
static void
allow_one_more(struct agent_admission *admission)
{
    if (admission->limit_flows < admission->capacity_flows) {
        admission->limit_flows++;
    }
}

/// An answer in usual time.
static enum verdict
judge_good(struct agent_admission *admission, uint64_t now_us)
{
    admission->late_permille -= admission->late_permille / LATE_SHARE;
    admission->bad_answers = 0;
    admission->good_answers++;
    allow_one_more(admission);
    return grow(admission, now_us) ? VERDICT_LIMIT : VERDICT_NONE;
}

/// A late answer that shows a service that became slower, rather than a
/// caller that waits for news.
static bool
is_slower(const struct agent_admission *admission, uint64_t took_us)
{
    return admission->late_permille >= MOST_PERMILLE &&
           took_us / SLOWER_FACTOR < late_after_us(admission);
}

static enum verdict
judge_answer(struct agent_admission *admission, const struct agent_call *call,
             const struct SlFlow *flow)
{
    uint64_t took_us =
        (uint64_t)agent_elapsed_ms(call->now_ms, flow->exchange_start_ms) *
        1000;
    bool measured = flow->flags & SL_FLOW_REQUEST_DELIVERED;
    bool late = flow->flags & SL_FLOW_EXCHANGE_LATE;

    admission->exchanges -= flow->flags & SL_FLOW_IN_EXCHANGE ? 1 : 0;
    admission->answered_us = call->now_us;
    if (measured && !late && took_us > late_after_us(admission)) {
        return judge_late(admission, call->now_us,
                          flow->exchanges_at_start < admission->slots);
    }
    if (measured && (!late || is_slower(admission, took_us))) {
        learn(admission, took_us);
    }
    return late ? VERDICT_NONE : judge_good(admission, call->now_us);
}

static void
tell(const struct agent_call *call, enum verdict verdict, const char *reason,
     int64_t took_us)
{
    struct agent_admission *admission = &call->agent->admission;
    int64_t flows = admission->limit_flows;

    if (verdict == VERDICT_COLD) {
        event_limit(call, SL_EVENT_COLD, reason, took_us,
                    (int64_t)admission->usual_us);
    }
    if (verdict != VERDICT_NONE) {
        event_limit(call, SL_EVENT_LIMIT, reason, flows,
                    admission->limit_exchanges);
    }
}

void
agent_admission_answered(const struct agent_call *call,
                         const struct SlFlow *flow)
{
    struct agent_admission *admission = &call->agent->admission;
    int64_t took_us =
        (int64_t)agent_elapsed_ms(call->now_ms, flow->exchange_start_ms) *
        1000;
    enum verdict verdict;

    pthread_mutex_lock(&admission->lock);
    verdict = judge_answer(admission, call, flow);
    tell(call, verdict, "answers", took_us);
    pthread_mutex_unlock(&admission->lock);
}

/// Too few answers were seen to call one late: it counts when the upstream
/// has answered nobody since.
static enum verdict
judge_stalled(struct agent_admission *admission, const struct agent_call *call,
              uint64_t took_us)
{
    if (agent_elapsed_us(call->now_us, admission->answered_us) < took_us) {
        return VERDICT_NONE;
    }
    return judge_bad(admission, call->now_us, true, BAD_IN_A_ROW);
}

bool
agent_admission_late(const struct agent_call *call, const struct SlFlow *flow)
{
    struct agent_admission *admission = &call->agent->admission;
    uint64_t took_us =
        (uint64_t)agent_elapsed_ms(call->now_ms, flow->exchange_start_ms) *
        1000;
    enum verdict verdict;
    bool parked = true;

    pthread_mutex_lock(&admission->lock);
    if (late_after_us(admission) == UINT64_MAX) {
        verdict = judge_stalled(admission, call, took_us);
    }
    else {
        verdict = judge_late(admission, call->now_us,
                             flow->exchanges_at_start < admission->slots);
        parked = is_late_usual(admission);
    }
    if (parked) {
        admission->exchanges--;
        allow_one_more(admission);
    }
    if (admission->late_permille >= MOST_PERMILLE) {
        admission->good_answers++;
    }
    tell(call, verdict, "late", (int64_t)took_us);
    pthread_mutex_unlock(&admission->lock);
    return parked;
}

uint32_t
agent_admission_late_ms(const struct agent_call *call)
{
    struct agent_admission *admission = &call->agent->admission;
    uint64_t late_us;

    pthread_mutex_lock(&admission->lock);
    late_us = late_after_us(admission);
    pthread_mutex_unlock(&admission->lock);
    if (late_us == UINT64_MAX) {
        return AGENT_STALL_MS;
    }
    return (uint32_t)(late_us / 1000) + 1;
}

void
agent_admission_failed(const struct agent_call *call, const char *reason)
{
    struct agent_admission *admission = &call->agent->admission;
    enum verdict verdict;

    pthread_mutex_lock(&admission->lock);
    verdict = judge_bad(admission, call->now_us, true, BAD_IN_A_ROW);
    tell(call, verdict, reason, 0);
    pthread_mutex_unlock(&admission->lock);
}

void
agent_admission_lost(const struct agent_call *call)
{
    struct agent_admission *admission = &call->agent->admission;
    enum verdict verdict = VERDICT_NONE;
    uint32_t before;

    pthread_mutex_lock(&admission->lock);
    if (agent_elapsed_us(call->now_us, admission->lost_us) >= LOST_WINDOW_US) {
        admission->lost_us = call->now_us;
        admission->lost = 0;
    }
    admission->lost++;
    before = admission->open_flows + admission->lost - 1;
    if (admission->lost >= LOST_MIN &&
        admission->lost >= before / LOST_SHARE &&
        admission->limit_exchanges > COLD_EXCHANGES) {
        turn_cold(admission, call->now_us);
        verdict = VERDICT_COLD;
    }
    tell(call, verdict, "connections_lost", 0);
    pthread_mutex_unlock(&admission->lock);
}

void
agent_admission_tick(const struct agent_call *call)
{
    struct agent_admission *admission = &call->agent->admission;

    pthread_mutex_lock(&admission->lock);
    if (grow(admission, call->now_us)) {
        tell(call, VERDICT_LIMIT, "answers", 0);
    }
    pthread_mutex_unlock(&admission->lock);
}

void
agent_admission_restart(const struct agent_call *call)
{
    struct agent_admission *admission = &call->agent->admission;

    pthread_mutex_lock(&admission->lock);
    turn_cold(admission, call->now_us);
    tell(call, VERDICT_LIMIT, "returned", 0);
    pthread_mutex_unlock(&admission->lock);
}

void
agent_admission_load(struct SlAgent *agent, struct SlTunnel *tunnel)
{
    struct agent_admission *admission = &agent->admission;
    bool closed = atomic_load(&agent->stopping) ||
                  atomic_load(&agent->zone_out) ||
                  atomic_load(&agent->draining);

    pthread_mutex_lock(&admission->lock);
    tunnel->load_flows = admission->open_flows;
    tunnel->load_capacity = admission->capacity_flows;
    tunnel->load_exchanges = admission->exchanges;
    tunnel->load_free_capacity = closed ? 0 : room(admission);
    pthread_mutex_unlock(&admission->lock);
}
