/// Prints events as sentences: a template for each event number, and a phrase
/// for each reason.

#include <inttypes.h>
#include <string.h>
#include <time.h>

#include "explain.h"

enum {
    US_PER_S = 1000 * 1000,
    /// Times below this are on the monotonic clock of a process.
    WALL_CLOCK_MIN_S = 1000000000,
    TIME_TEXT_BYTES = 32,
};

struct reason_phrase {
    const char *reason;
    const char *text;
};

static const struct reason_phrase REASON_PHRASES[] = {
    {"first_choice", "it is the home of the flow's bucket"},
    {"second_choice", "the bucket's home is silent, so the second choice "
                      "was used"},
    {"room", "it had free capacity"},
    {"balance", "that agent has a clearly lower load"},
    {"full", "its own upstream is at its limit"},
    {"full_not_run", "no upstream of the service can accept it now; none of "
                     "its data was delivered"},
    {"copy_not_run", "a copy of it was refused already; none of its data was "
                     "delivered"},
    {"old_sequence_not_run", "its first sequence number is older than the end "
                             "of the previous flow; none of its data was "
                             "delivered"},
    {"draining", "its own upstream is draining"},
    {"stopping", "it is about to stop"},
    {"zone_out", "its availability zone is out"},
    {"claim", "another agent may hold it, and it must not start twice"},
    {"unknown_flow", "it is not known here"},
    {"nobody", "no agent holds it"},
    {"found", "its holder was found"},
    {"unanswered", "not all agents answered"},
    {"restarted", "its agent restarted and the upstream still holds it"},
    {"closed", "both sides closed it"},
    {"caller_reset", "the caller reset it"},
    {"upstream_reset", "the upstream reset it"},
    {"idle", "neither side sent data within the idle timeout"},
    {"silent", "data was not answered within the silence limit"},
    {"handshake", "its handshake was not completed"},
    {"answers", "based on the answers of its upstream"},
    {"implausible", "its sequence numbers do not fit the flow"},
    {"no_service", "no service has that address"},
    {"from_control", "received from control"},
    {"from_peer", "received from a peer, since control did not send it"},
    {"peer_is_newer", "a datagram of a peer named a newer version"},
    {"control_silent", "control was silent for too long"},
    {"control_fresh", "messages from control arrive again"},
    {"out", "it is out"},
    {"in", "it is in again"},
    {"began", "an operator or the process itself asked for it"},
    {"returned", "the hold was released"},
    {"hold", "a hold was added"},
    {"release", "a hold was released"},
    {"heard", "it answered again"},
    {"least_work", "it has the lowest load for its slots"},
    {"next", "the previous agent declined it"},
    {"busy", "all slots are in use"},
    {"cold",
     "its upstream is cold, and its slow-start rate for this second is "
     "used up"},
    {"cold_share", "its upstream is cold, and its slow-start rate for this "
                   "second is not used up"},
    {"leaving", "it accepts no new flows"},
    {"given_back", "its upstream returned the segment"},
    {"expired", "it waited for a slot and can no longer be answered in time"},
    {"slow", "it is far slower than its peers and is ejected"},
    {"well", "it answers as fast as its peers again"},
    {"more_urgent", "a more urgent new flow is waiting for a slot"},
    {"caller_left", "the caller left"},
    {"waits", "no slot is free, so it waits for one"},
    {"waited", "a slot became free"},
    {"holder_unknown", "the holder of the flow is not known here"},
    {"held_by_nobody",
     "all agents that could hold it answered that they do not"},
    {"no_certain_answer",
     "not every agent that may hold it gave a certain answer"},
    {"no_route", "no service has that address"},
    {NULL, NULL},
};

struct sentence {
    uint32_t event_number;
    const char *template;
};

/// The predicate of each event's sentence, printed after the process name.
/// {key} is replaced by the value of that field, {who} by the process name and
/// {why} by the phrase of the reason.
static const struct sentence SENTENCES[] = {
    {SL_EVENT_ROUTE, "sent a packet of {flow} to {node}, because {why}"},
    {SL_EVENT_ROUTE_FAILED, "could not route {flow}: {why}"},
    {SL_EVENT_CACHE_DROPPED,
     "dropped the cache entry that named {node} as the holder of {flow}: "
     "{why}"},
    {SL_EVENT_UPSTREAM_SUSPECT, "suspects {node}: new flows sent to it got no "
                                "answer"},
    {SL_EVENT_UPSTREAM_CLEARED, "no longer suspects {node}: {why}"},
    {SL_EVENT_ROUTING_CHANGED, "installed a new routing table; "
                               "{moved_buckets} buckets moved"},
    {SL_EVENT_ADMIT, "admitted {flow}: {why}; {open_flows} flows open, at "
                     "most {limit_flows} allowed"},
    {SL_EVENT_PASS_ON, "passed {flow} on to {node}: {why}; {open_flows} flows "
                       "open here"},
    {SL_EVENT_REFUSE, "refused {flow}: {why}; {open_flows} flows open, at "
                      "most {limit_flows} allowed"},
    {SL_EVENT_LOCATE, "asked {asked} agents whether they hold {flow}: {why}"},
    {SL_EVENT_LOCATED, "ended its query about {flow} after {took_us} us: "
                       "{why}"},
    {SL_EVENT_ADOPT, "adopted {flow} for its upstream: {why}"},
    {SL_EVENT_RESET, "reset {flow}: {why}"},
    {SL_EVENT_FLOW_END, "{flow} ended after {lasted_us} us: {why}"},
    {SL_EVENT_SILENT, "found {flow} silent for {silent_us} us; the limit is "
                      "{limit_us} us"},
    {SL_EVENT_LIMIT, "set the limits of its upstream to {limit_flows} flows "
                     "and {limit_exchanges} requests in progress, {why}"},
    {SL_EVENT_COLD, "considers its upstream cold: a first answer took "
                    "{first_answer_us} us, an answer usually takes {usual_us} "
                    "us"},
    {SL_EVENT_FOREIGN, "received a packet of {flow}, whose service its "
                       "upstream does not serve: {why}"},
    {SL_EVENT_ZONE_LEFT, "detected that its availability zone changed: {why}; "
                         "{open_flows} flows were open"},
    {SL_EVENT_DRAINED, "detected a change of its drain state: {why}; "
                       "{open_flows} flows were open"},
    {SL_EVENT_DROP, "dropped a packet of {flow}: {why}"},
    {SL_EVENT_RELAY_OFFER, "offered {flow} to {node}: {why}; {in_progress} of "
                           "{slots} slots in use"},
    {SL_EVENT_UPSTREAM_SLOW, "rated {node} by its answers, which take "
                             "{answer_us} us: {why}; {in_progress} requests "
                             "are in progress there"},
    {SL_EVENT_RELAY_DECLINED, "was notified that {node} declined {flow}: "
                              "{why}"},
    {SL_EVENT_RELAY_REFUSED,
     "reset {flow} after {declined_by} agents declined it, {spent_us} us "
     "after it arrived; it has not run. Reason of the last agent: {why}"},
    {SL_EVENT_RELAY_SEARCH, "started a search for the holder of {flow} among "
                            "{asked} agents: {why}"},
    {SL_EVENT_RELAY_SEARCH_ENDED,
     "ended the search for the holder of {flow} after {took_us} us: {why}; "
     "{unanswered} agents did not answer"},
    {SL_EVENT_RELAY_BROADCAST,
     "requested a broadcast query to {asked} agents for "
     "the holders of {flows} flows: {why}"},
    {SL_EVENT_RELAY_BROADCAST_ENDED,
     "reported the result of a broadcast query to an entry: {why}; {claims} "
     "claims, {unheard} agents did not answer"},
    {SL_EVENT_RELAY_ANSWERS_LATE,
     "received answers from hardly any agent: {why}; it "
     "assumes a fault of its own and extends its answer "
     "timeout to {patience_us} us"},
    {SL_EVENT_RELAY_CONFIG, "installed configuration {plan_version} with "
                            "{upstreams} upstreams"},
    {SL_EVENT_RELAY_ADMIT, "admitted {flow}: {why}; {in_progress} of {slots} "
                           "slots in use"},
    {SL_EVENT_RELAY_DECLINE, "declined {flow}: {why}; {in_progress} of "
                             "{slots} slots in use; it has not run here"},
    {SL_EVENT_RELAY_ABSENT, "received a segment of {flow}, which its upstream "
                            "does not hold: {why}"},
    {SL_EVENT_RELAY_UNANSWERED,
     "delivered a request of {flow} that its upstream had not answered after "
     "{waited_us} us, when the caller left; an answer usually takes "
     "{usual_us} us"},
    {SL_EVENT_RELAY_DEFERRED_REQUEST,
     "decided about a deferred request of {flow}, which "
     "has waited {waited_us} us: {why}; {in_progress} "
     "requests are in progress"},
    {SL_EVENT_UPSTREAM_STATUS,
     "was notified that its upstream {node} is {reason}; it stays cold for "
     "another {cold_ms} ms"},
    {SL_EVENT_COMMITTED, "accepted the change \"{reason}\" of {node}, request "
                         "{request} of client {client}"},
    {SL_EVENT_REJECTED, "rejected a change of {node}: {why}"},
    {SL_EVENT_UNREACHABLE, "considers {node} unreachable after {silent_us} us "
                           "of silence"},
    {SL_EVENT_REACHABLE, "receives messages from {node} again"},
    {SL_EVENT_VERSION, "took version {version} into use, {why}"},
    {SL_EVENT_BEHIND, "learned that its version is older than that of {peer}: "
                      "{why}"},
    {SL_EVENT_CUT_OFF, "lost contact with control: {why}; it continues with "
                       "version {version}"},
    {SL_EVENT_JOINED, "is in contact with control again: {why}"},
    {0, NULL},
};

/// Returns the phrase of a reason, or the reason itself when it has no phrase.
static const char *
find_reason_phrase(const char *reason)
{
    for (const struct reason_phrase *row = REASON_PHRASES; row->reason != NULL;
         row++) {
        if (strcmp(row->reason, reason) == 0) {
            return row->text;
        }
    }
    return reason;
}

/// Returns the text that replaces {key} in a template.
static const char *
template_value(const struct SlTimelineEvent *event, const char *key)
{
    const char *reason = SlTimelineEvent_FindField(event, "reason");
    const char *value;

    if (strcmp(key, "who") == 0) {
        return event->process;
    }
    if (strcmp(key, "why") == 0) {
        return reason != NULL ? find_reason_phrase(reason) : "no reason given";
    }
    value = SlTimelineEvent_FindField(event, key);
    return value != NULL ? value : "?";
}

static void
print_template(FILE *out, const struct SlTimelineEvent *event,
               const char *template)
{
    char key[SL_NAME_BYTES];

    while (*template != '\0') {
        size_t literal_length = strcspn(template, "{");
        size_t length;

        fwrite(template, 1, literal_length, out);
        template += literal_length;
        if (*template == '\0') {
            return;
        }
        length = strcspn(template, "}");
        snprintf(key, sizeof(key), "%.*s", (int)length - 1, template + 1);
        fputs(template_value(event, key), out);
        template += length + 1;
    }
}

/// Prints wall-clock time as HH:MM:SS in UTC, other times as seconds, with
/// microseconds.
static void
print_time(FILE *out, uint64_t time_us)
{
    time_t seconds = (time_t)(time_us / US_PER_S);
    char time_text[TIME_TEXT_BYTES] = "";
    struct tm utc;

    if (seconds > WALL_CLOCK_MIN_S && gmtime_r(&seconds, &utc) != NULL) {
        strftime(time_text, sizeof(time_text), "%H:%M:%S", &utc);
        fprintf(out, "%s.%06" PRIu64, time_text, time_us % US_PER_S);
        return;
    }
    fprintf(out, "%" PRIu64 ".%06" PRIu64, time_us / US_PER_S,
            time_us % US_PER_S);
}

void
SlTimelineEvent_Print(FILE *out, const struct SlTimelineEvent *event)
{
    const struct sentence *sentence = SENTENCES;
    const struct SlEventRow *row =
        SlEvent_Row((enum SlEventNumber)event->event_number);
    const char *version = SlTimelineEvent_FindField(event, "version");

    while (sentence->template != NULL &&
           sentence->event_number != event->event_number) {
        sentence++;
    }
    print_time(out, event->time_us);
    fprintf(out, " %s ", event->process);
    if (sentence->template != NULL) {
        print_template(out, event, sentence->template);
    }
    else {
        fputs(row != NULL ? row->meaning : "an unknown event", out);
    }
    fprintf(out, " (SL%u, version %s)\n", event->event_number,
            version != NULL ? version : "none");
}
