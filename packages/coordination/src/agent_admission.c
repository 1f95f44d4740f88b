/// Admission control: limits the flows and exchanges of the upstream by what
/// the agent observes: completed handshakes, the time to the first answer,
/// failures, exchanges in progress compared with the upstream's slots, and
/// open flows.
///
/// A cold upstream starts with one exchange and few flows. Each answer in the
/// usual time raises the limit of flows by one; the limit of exchanges is
/// raised at fixed time steps. Late answers that arrive although the upstream
/// had free slots, and failures, reset the limits to cold. Where late answers
/// are common, because callers use long polling, only a streak of late answers
/// that is too long to be random does so, and a late exchange no longer counts
/// as in progress.

#include "agent_admission.h"
#include "agent_core.h"

#include <netinet/in.h>

enum {
    COLD_EXCHANGES = 1,
    COLD_FLOWS = 20,
    /// Exchanges that a warm upstream may have in progress, per slot.
    WARM_EXCHANGES_PER_SLOT = 16,
    COLD_STEP_US = 500 * 1000,
    /// Time between raises once the limit has reached the number of slots.
    WARM_STEP_US = 1000 * 1000,
    HALVE_INTERVAL_US = 200 * 1000,
    /// Number of answer times that must be measured before an answer can count
    /// as late.
    ANSWER_SAMPLES_MIN = 8,
    ANSWER_MEAN_SAMPLES = 16,
    /// Longer answer times are cut to this value: such an answer waited for an
    /// event (long polling), not for the upstream's work.
    ANSWER_SAMPLE_MAX_US = 1000 * 1000,
    LATE_MARGIN_US = 20 * 1000,
    BAD_STREAK_MIN = 2,
    /// The share of late answers is a moving average over about this many
    /// answers. At LATE_COMMON_PERMILLE late answers are common; at
    /// LATE_MAJORITY_PERMILLE most answers are late.
    LATE_MEAN_ANSWERS = 64,
    PERMILLE = 1000,
    LATE_COMMON_PERMILLE = 100,
    LATE_MAJORITY_PERMILLE = 500,
    SLOWER_FACTOR = 4,
    /// A streak of late answers counts only when its probability, given the
    /// usual share of late answers, is at most this, in parts per million.
    LATE_STREAK_CHANCE_PPM = 1000,
    LATE_STREAK_MAX = 64,
    /// An upstream becomes cold when, within the window, it closes or resets
    /// at least LOST_MIN connections, and at least one in LOST_DIVISOR of
    /// those that were open.
    LOST_MIN = 3,
    LOST_DIVISOR = 4,
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
    admission->raised_us = now_us;
    return pthread_mutex_init(&admission->lock, NULL) == 0;
}

/// Returns the number of exchanges in progress. While the limit is not above
/// the number of slots, a flow in its handshake counts too, because its first
/// request is expected at once.
static uint32_t
expected_exchanges(const struct agent_admission *admission)
{
    uint32_t expected = 0;

    if (admission->limit_exchanges <= admission->slots) {
        expected = admission->handshakes;
    }
    return admission->exchanges + expected;
}

static uint32_t
admissible_flows(const struct agent_admission *admission)
{
    uint32_t flows = 0;
    uint32_t exchanges = 0;
    uint32_t in_progress = expected_exchanges(admission);

    if (admission->open_flows < admission->limit_flows) {
        flows = admission->limit_flows - admission->open_flows;
    }
    if (in_progress < admission->limit_exchanges) {
        exchanges = admission->limit_exchanges - in_progress;
    }
    return flows < exchanges ? flows : exchanges;
}

static void
count_service_flow(struct agent_admission *admission, uint64_t service_id,
                   int change)
{
    struct agent_service_flows *service_flows = admission->service_flows;
    uint32_t i = 0;

    while (i < admission->service_count &&
           service_flows[i].service_id != service_id) {
        i++;
    }
    if (i == admission->service_count) {
        if (change < 0 || i == AGENT_SERVICES_MAX) {
            return;
        }
        service_flows[i] =
            (struct agent_service_flows){.service_id = service_id};
        admission->service_count++;
    }
    service_flows[i].flows += (uint32_t)change;
    if (service_flows[i].flows == 0) {
        service_flows[i] = service_flows[--admission->service_count];
    }
}

static void
count_new_flow(struct agent_admission *admission, uint64_t service_id,
               bool handshake)
{
    admission->open_flows++;
    admission->handshakes += handshake ? 1 : 0;
    count_service_flow(admission, service_id, 1);
}

bool
agent_admission_add_flow(const struct agent_call *call, uint64_t service_id,
                         bool handshake, bool adopted)
{
    struct agent_admission *admission = &call->agent->admission;
    bool allowed;

    pthread_mutex_lock(&admission->lock);
    allowed = adopted || admissible_flows(admission) > 0;
    if (allowed) {
        count_new_flow(admission, service_id, handshake);
    }
    if (adopted && admission->limit_flows < admission->capacity_flows) {
        admission->limit_flows++;
    }
    pthread_mutex_unlock(&admission->lock);
    return allowed;
}

bool
agent_admission_add_last_flow(const struct agent_call *call,
                              uint64_t service_id, bool handshake)
{
    struct agent_admission *admission = &call->agent->admission;
    bool allowed;

    pthread_mutex_lock(&admission->lock);
    allowed = admission->open_flows < admission->limit_flows &&
              expected_exchanges(admission) < admission->slots;
    if (allowed) {
        count_new_flow(admission, service_id, handshake);
    }
    pthread_mutex_unlock(&admission->lock);
    return allowed;
}

void
agent_admission_remove_flow(const struct agent_call *call,
                            const struct SlFlow *flow)
{
    struct agent_admission *admission = &call->agent->admission;
    bool handshake =
        (flow->flags & SL_FLOW_HANDSHAKE) && flow->key.protocol == IPPROTO_TCP;

    pthread_mutex_lock(&admission->lock);
    admission->open_flows--;
    admission->handshakes -= handshake ? 1 : 0;
    admission->exchanges -= flow->flags & SL_FLOW_IN_EXCHANGE ? 1 : 0;
    admission->awaiting_answer -=
        flow->flags & SL_FLOW_REQUEST_DELIVERED ? 1 : 0;
    count_service_flow(admission, flow->service_id, -1);
    pthread_mutex_unlock(&admission->lock);
}

void
agent_admission_end_handshake(const struct agent_call *call)
{
    struct agent_admission *admission = &call->agent->admission;

    pthread_mutex_lock(&admission->lock);
    admission->handshakes--;
    pthread_mutex_unlock(&admission->lock);
}

uint32_t
agent_admission_begin_exchange(const struct agent_call *call)
{
    struct agent_admission *admission = &call->agent->admission;
    uint32_t before;

    pthread_mutex_lock(&admission->lock);
    before = admission->exchanges++;
    pthread_mutex_unlock(&admission->lock);
    return before;
}

void
agent_admission_count_awaiting_answer(const struct agent_call *call,
                                      bool is_waiting)
{
    struct agent_admission *admission = &call->agent->admission;

    pthread_mutex_lock(&admission->lock);
    admission->awaiting_answer += is_waiting ? 1 : (uint32_t)-1;
    pthread_mutex_unlock(&admission->lock);
}

void
agent_admission_cancel_exchange(const struct agent_call *call)
{
    struct agent_admission *admission = &call->agent->admission;

    pthread_mutex_lock(&admission->lock);
    admission->exchanges--;
    pthread_mutex_unlock(&admission->lock);
}

static void
log_limit_event(const struct agent_call *call, enum SlEventNumber number,
                const char *reason, int64_t value, int64_t limit)
{
    struct SlEvent event = {.number = number,
                            .node = call->agent->options.core.name,
                            .reason = reason,
                            .value = value,
                            .limit = limit};

    agent_log_event(call, &event);
}

static uint32_t
clamp_max(uint64_t value, uint32_t limit)
{
    return value < limit ? (uint32_t)value : limit;
}

/// Raises the limits by one step if enough good answers arrived since the last
/// step and its time has passed. Returns true if a limit changed.
static bool
raise_limits(struct agent_admission *admission, uint64_t now_us)
{
    uint32_t slots = admission->slots;
    uint32_t exchanges = admission->limit_exchanges;
    uint32_t flows = admission->limit_flows;
    bool cold = exchanges < slots;
    uint32_t min_good_answers = cold ? exchanges * 2 : exchanges;
    uint64_t raised_flows = cold ? flows : (uint64_t)flows * 2;

    if (admission->good_answers < min_good_answers ||
        agent_elapsed_us(now_us, admission->raised_us) <
            (cold ? COLD_STEP_US : WARM_STEP_US)) {
        return false;
    }
    admission->good_answers = 0;
    admission->raised_us = now_us;
    admission->limit_exchanges =
        cold ? exchanges + 1
             : clamp_max((uint64_t)exchanges * 2,
                         slots * WARM_EXCHANGES_PER_SLOT);
    admission->limit_flows =
        clamp_max(raised_flows, admission->capacity_flows);
    return admission->limit_exchanges != exchanges ||
           admission->limit_flows != flows;
}

static void
reset_cold_limits(struct agent_admission *admission, uint64_t now_us)
{
    admission->limit_exchanges = COLD_EXCHANGES;
    admission->limit_flows =
        clamp_max((uint64_t)admission->open_flows + COLD_FLOWS,
                  admission->capacity_flows);
    admission->good_answers = 0;
    admission->bad_answers = 0;
    admission->raised_us = now_us;
    admission->reduced_us = now_us;
}

/// Halves the limit of exchanges, but not below min_limit, at most once per
/// HALVE_INTERVAL_US. Returns true if the limit changed.
static bool
halve_exchange_limit(struct agent_admission *admission, uint64_t now_us,
                     uint32_t min_limit)
{
    uint32_t before = admission->limit_exchanges;
    uint32_t half = before / 2 < min_limit ? min_limit : before / 2;

    if (agent_elapsed_us(now_us, admission->reduced_us) < HALVE_INTERVAL_US) {
        return false;
    }
    admission->reduced_us = now_us;
    admission->raised_us = now_us;
    admission->good_answers = 0;
    admission->limit_exchanges = half < before ? half : before;
    return half < before;
}

/// Returns the answer time above which an answer is late; UINT64_MAX while
/// there are fewer than ANSWER_SAMPLES_MIN samples.
static uint64_t
late_after_us(const struct agent_admission *admission)
{
    uint64_t mean_us = admission->mean_answer_us;
    uint64_t margin_us = 4 * admission->answer_deviation_us + LATE_MARGIN_US;

    if (admission->answer_samples < ANSWER_SAMPLES_MIN) {
        return UINT64_MAX;
    }
    return mean_us + (margin_us > mean_us ? margin_us : mean_us);
}

/// Updates the moving mean and mean deviation of the answer time with
/// Jacobson's algorithm (RFC 6298).
static void
add_answer_sample(struct agent_admission *admission, uint64_t took_us)
{
    uint64_t mean_us = admission->mean_answer_us;
    uint64_t deviation_us;

    took_us = took_us < ANSWER_SAMPLE_MAX_US ? took_us : ANSWER_SAMPLE_MAX_US;
    deviation_us = took_us > mean_us ? took_us - mean_us : mean_us - took_us;

    if (admission->answer_samples++ == 0) {
        admission->mean_answer_us = took_us;
        admission->answer_deviation_us = took_us / 2;
        return;
    }
    admission->mean_answer_us =
        (mean_us * (ANSWER_MEAN_SAMPLES - 1) + took_us) / ANSWER_MEAN_SAMPLES;
    admission->answer_deviation_us =
        (admission->answer_deviation_us * (ANSWER_MEAN_SAMPLES - 1) +
         deviation_us) /
        ANSWER_MEAN_SAMPLES;
}

enum limit_change {
    LIMITS_UNCHANGED,
    LIMITS_CHANGED,
    LIMITS_COLD,
};

/// Returns the length from which a streak of late answers is not random, given
/// the usual share of late answers.
static uint32_t
late_streak_limit(const struct agent_admission *admission)
{
    uint64_t share = admission->late_permille;
    uint64_t chance = share * share;
    uint32_t streak_limit = BAD_STREAK_MIN;

    while (chance > LATE_STREAK_CHANCE_PPM && streak_limit < LATE_STREAK_MAX) {
        chance = chance * share / PERMILLE;
        streak_limit++;
    }
    return streak_limit;
}

/// Returns true when late answers are common, for example because callers use
/// long polling.
static bool
are_late_answers_common(const struct agent_admission *admission)
{
    return admission->late_permille >= LATE_COMMON_PERMILLE;
}

/// Records one late answer or failure. had_free_slot: the upstream had a free
/// slot, so that queueing in the upstream does not explain the delay.
static enum limit_change
record_bad_answer(struct agent_admission *admission, uint64_t now_us,
                  bool had_free_slot, uint32_t streak_limit)
{
    uint32_t min_limit = had_free_slot ? COLD_EXCHANGES : admission->slots;

    admission->bad_answers++;
    if (admission->bad_answers < streak_limit &&
        are_late_answers_common(admission)) {
        return LIMITS_UNCHANGED;
    }
    if (admission->bad_answers >= streak_limit && had_free_slot &&
        admission->limit_exchanges > COLD_EXCHANGES) {
        reset_cold_limits(admission, now_us);
        return LIMITS_COLD;
    }
    return halve_exchange_limit(admission, now_us, min_limit)
               ? LIMITS_CHANGED
               : LIMITS_UNCHANGED;
}

static enum limit_change
record_late_answer(struct agent_admission *admission, uint64_t now_us,
                   bool had_free_slot)
{
    uint32_t streak_limit = late_streak_limit(admission);
    enum limit_change change =
        record_bad_answer(admission, now_us, had_free_slot, streak_limit);

    admission->late_permille +=
        (PERMILLE - admission->late_permille) / LATE_MEAN_ANSWERS;
    return change;
}

/// Raises the limit of flows by one, because one flow less waits for its first
/// answer.
static void
raise_flow_limit(struct agent_admission *admission)
{
    if (admission->limit_flows < admission->capacity_flows) {
        admission->limit_flows++;
    }
}

/// Records an answer that was not late.
static enum limit_change
record_good_answer(struct agent_admission *admission, uint64_t now_us)
{
    admission->late_permille -= admission->late_permille / LATE_MEAN_ANSWERS;
    admission->bad_answers = 0;
    admission->good_answers++;
    raise_flow_limit(admission);
    return raise_limits(admission, now_us) ? LIMITS_CHANGED : LIMITS_UNCHANGED;
}

/// Returns true when a late answer shows that the service has become slower,
/// and not that the caller uses long polling.
static bool
is_service_slower(const struct agent_admission *admission, uint64_t took_us)
{
    return admission->late_permille >= LATE_MAJORITY_PERMILLE &&
           took_us / SLOWER_FACTOR < late_after_us(admission);
}

static enum limit_change
record_answer(struct agent_admission *admission, const struct agent_call *call,
              const struct SlFlow *flow)
{
    uint64_t took_us =
        (uint64_t)agent_elapsed_ms(call->now_ms, flow->exchange_start_ms) *
        1000;
    bool has_request = flow->flags & SL_FLOW_REQUEST_DELIVERED;
    bool late = flow->flags & SL_FLOW_EXCHANGE_LATE;

    admission->exchanges -= flow->flags & SL_FLOW_IN_EXCHANGE ? 1 : 0;
    admission->last_answer_us = call->now_us;
    if (has_request && !late && took_us > late_after_us(admission)) {
        return record_late_answer(admission, call->now_us,
                                  flow->exchanges_at_start < admission->slots);
    }
    if (has_request && (!late || is_service_slower(admission, took_us))) {
        add_answer_sample(admission, took_us);
    }
    return late ? LIMITS_UNCHANGED
                : record_good_answer(admission, call->now_us);
}

static void
report_change(const struct agent_call *call, enum limit_change change,
              const char *reason, int64_t took_us)
{
    struct agent_admission *admission = &call->agent->admission;
    int64_t flows = admission->limit_flows;

    if (change == LIMITS_COLD) {
        log_limit_event(call, SL_EVENT_COLD, reason, took_us,
                        (int64_t)admission->mean_answer_us);
    }
    if (change != LIMITS_UNCHANGED) {
        log_limit_event(call, SL_EVENT_LIMIT, reason, flows,
                        admission->limit_exchanges);
    }
}

void
agent_admission_end_exchange(const struct agent_call *call,
                             const struct SlFlow *flow)
{
    struct agent_admission *admission = &call->agent->admission;
    int64_t took_us =
        (int64_t)agent_elapsed_ms(call->now_ms, flow->exchange_start_ms) *
        1000;
    enum limit_change change;

    pthread_mutex_lock(&admission->lock);
    change = record_answer(admission, call, flow);
    report_change(call, change, "answers", took_us);
    pthread_mutex_unlock(&admission->lock);
}

/// Records an exchange that takes long while there are too few samples to call
/// it late. It counts as a failure only if the upstream has not answered any
/// caller since the exchange began.
static enum limit_change
record_stalled_exchange(struct agent_admission *admission,
                        const struct agent_call *call, uint64_t took_us)
{
    if (agent_elapsed_us(call->now_us, admission->last_answer_us) < took_us) {
        return LIMITS_UNCHANGED;
    }
    return record_bad_answer(admission, call->now_us, true, BAD_STREAK_MIN);
}

bool
agent_admission_record_late_exchange(const struct agent_call *call,
                                     const struct SlFlow *flow)
{
    struct agent_admission *admission = &call->agent->admission;
    uint64_t took_us =
        (uint64_t)agent_elapsed_ms(call->now_ms, flow->exchange_start_ms) *
        1000;
    enum limit_change change;
    bool uncounted = true;

    pthread_mutex_lock(&admission->lock);
    if (late_after_us(admission) == UINT64_MAX) {
        change = record_stalled_exchange(admission, call, took_us);
    }
    else {
        change =
            record_late_answer(admission, call->now_us,
                               flow->exchanges_at_start < admission->slots);
        uncounted = are_late_answers_common(admission);
    }
    if (uncounted) {
        admission->exchanges--;
        raise_flow_limit(admission);
    }
    if (admission->late_permille >= LATE_MAJORITY_PERMILLE) {
        admission->good_answers++;
    }
    report_change(call, change, "late", (int64_t)took_us);
    pthread_mutex_unlock(&admission->lock);
    return uncounted;
}

uint32_t
agent_admission_late_after_ms(const struct agent_call *call)
{
    struct agent_admission *admission = &call->agent->admission;
    uint64_t late_us;

    pthread_mutex_lock(&admission->lock);
    late_us = late_after_us(admission);
    pthread_mutex_unlock(&admission->lock);
    if (late_us == UINT64_MAX) {
        return AGENT_STALLED_EXCHANGE_MS;
    }
    return (uint32_t)(late_us / 1000) + 1;
}

void
agent_admission_record_failure(const struct agent_call *call,
                               const char *reason)
{
    struct agent_admission *admission = &call->agent->admission;
    enum limit_change change;

    pthread_mutex_lock(&admission->lock);
    change = record_bad_answer(admission, call->now_us, true, BAD_STREAK_MIN);
    report_change(call, change, reason, 0);
    pthread_mutex_unlock(&admission->lock);
}

void
agent_admission_record_lost_connection(const struct agent_call *call)
{
    struct agent_admission *admission = &call->agent->admission;
    enum limit_change change = LIMITS_UNCHANGED;
    uint32_t before;

    pthread_mutex_lock(&admission->lock);
    if (agent_elapsed_us(call->now_us, admission->lost_window_us) >=
        LOST_WINDOW_US) {
        admission->lost_window_us = call->now_us;
        admission->lost_connections = 0;
    }
    admission->lost_connections++;
    before = admission->open_flows + admission->lost_connections - 1;
    if (admission->lost_connections >= LOST_MIN &&
        admission->lost_connections >= before / LOST_DIVISOR &&
        admission->limit_exchanges > COLD_EXCHANGES) {
        reset_cold_limits(admission, call->now_us);
        change = LIMITS_COLD;
    }
    report_change(call, change, "connections_lost", 0);
    pthread_mutex_unlock(&admission->lock);
}

void
agent_admission_tick(const struct agent_call *call)
{
    struct agent_admission *admission = &call->agent->admission;

    pthread_mutex_lock(&admission->lock);
    if (raise_limits(admission, call->now_us)) {
        report_change(call, LIMITS_CHANGED, "answers", 0);
    }
    pthread_mutex_unlock(&admission->lock);
}

void
agent_admission_reset_limits(const struct agent_call *call)
{
    struct agent_admission *admission = &call->agent->admission;

    pthread_mutex_lock(&admission->lock);
    reset_cold_limits(admission, call->now_us);
    report_change(call, LIMITS_CHANGED, "returned", 0);
    pthread_mutex_unlock(&admission->lock);
}

void
agent_admission_fill_load(struct SlAgent *agent, struct SlTunnel *tunnel)
{
    struct agent_admission *admission = &agent->admission;
    bool closed = atomic_load(&agent->stopping) ||
                  atomic_load(&agent->zone_out) ||
                  atomic_load(&agent->draining);

    pthread_mutex_lock(&admission->lock);
    tunnel->load_flows = admission->open_flows;
    tunnel->load_capacity = admission->capacity_flows;
    tunnel->load_exchanges = admission->exchanges;
    tunnel->load_free_capacity = closed ? 0 : admissible_flows(admission);
    pthread_mutex_unlock(&admission->lock);
}
