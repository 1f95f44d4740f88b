/// The sentences: a template for each event, and words for each reason.

#include <inttypes.h>
#include <string.h>
#include <time.h>

#include "explain.h"

enum {
    US_PER_S = 1000 * 1000,
    /// Times before this are a process's own clock.
    WALL_FROM_S = 1000000000,
    CLOCK_BYTES = 32,
};

struct phrase {
    const char *word;
    const char *text;
};

static const struct phrase REASONS[] = {
    {"first_choice", "it is the home of the flow's bucket"},
    {"second_choice", "the bucket's home is silent, so the second choice"},
    {"room", "it had room"},
    {"balance", "that one carries clearly less"},
    {"full", "its own upstream may take no more now"},
    {"full_not_run", "no upstream of the service may take it now; nothing of "
                     "it was delivered"},
    {"copy_not_run", "a copy of it was refused already; nothing of it was "
                     "delivered"},
    {"old_sequence_not_run", "its first number is older than the end of the "
                             "flow before it; nothing was delivered"},
    {"draining", "its own upstream drains"},
    {"stopping", "it is about to stop"},
    {"zone_out", "its availability zone is out"},
    {"claim", "it may be known elsewhere, and must not start twice"},
    {"unknown_flow", "nothing is known of it here"},
    {"nobody", "nobody has it"},
    {"found", "it was found"},
    {"unanswered", "not all of them answered"},
    {"restarted", "its agent restarted and the upstream still has it"},
    {"closed", "both sides closed it"},
    {"caller_reset", "the caller reset it"},
    {"upstream_reset", "the upstream reset it"},
    {"idle", "neither side said anything for long"},
    {"silent", "data stayed without an answer past the bound"},
    {"handshake", "its handshake never ended"},
    {"answers", "by the answers that its upstream gave"},
    {"implausible", "its numbers do not fit the flow"},
    {"no_service", "no service has that address"},
    {"from_control", "from control"},
    {"from_peer", "from a peer, since control did not bring it"},
    {"peer_is_newer", "a peer's datagram named a newer one"},
    {"control_silent", "control was silent for too long"},
    {"control_fresh", "control is heard again"},
    {"out", "it is out"},
    {"in", "it is in again"},
    {"began", "an operator or the process itself asked for it"},
    {"returned", "the hold was released"},
    {"hold", "a hold was added"},
    {"release", "a hold was released"},
    {"heard", "it answered again"},
    {"least_work", "it has the least work for its slots"},
    {"next", "the one before declined"},
    {"busy", "all slots are taken"},
    {"cold", "its upstream is cold, and this second's share is used up"},
    {"cold_share", "its upstream is cold, and this second's share is not used "
                   "up"},
    {"leaving", "it takes no new flows"},
    {"given_back", "its upstream gave the segment back"},
    {"expired", "it waited for a slot and could not be answered in time any "
                "more"},
    {"slow", "far slower than its peers, and passed by"},
    {"well", "it answers as its peers do again"},
    {"more_urgent", "a new flow that is more urgent waits for a slot"},
    {"caller_left", "its caller left"},
    {"waits", "no slot is free; it waits for one"},
    {"waited", "a slot became free"},
    {"holder_unknown", "it does not know who holds the flow"},
    {"held_by_nobody", "all agents that could hold it said no"},
    {"no_certain_answer", "not every agent that may hold it could say"},
    {"no_route", "no service has that address"},
    {NULL, NULL},
};

struct sentence {
    uint32_t number;
    const char *text;
};

/// {key} stands for a field, {who} for the process, {why} for the reason.
static const struct sentence SENTENCES[] = {
    {SL_EVENT_ROUTE, "the entry sent a packet of {flow} to {node}, because "
                     "{why}"},
    {SL_EVENT_ROUTE_FAILED, "the entry could not route {flow}: {why}"},
    {SL_EVENT_CACHE_DROPPED,
     "the entry forgot that {node} held {flow}: {why}"},
    {SL_EVENT_UPSTREAM_SUSPECT, "the entry takes {node} for silent"},
    {SL_EVENT_UPSTREAM_CLEARED, "the entry trusts {node} again: {why}"},
    {SL_EVENT_ROUTING_CHANGED, "took a new routing table; {moved_buckets} "
                               "buckets moved"},
    {SL_EVENT_ADMIT, "admitted {flow}: {why}; {open_flows} flows open, at "
                     "most {limit_flows} allowed"},
    {SL_EVENT_PASS_ON, "passed {flow} on to {node}: {why}; {open_flows} flows "
                       "open here"},
    {SL_EVENT_REFUSE, "refused {flow}: {why}; {open_flows} flows open, at "
                      "most {limit_flows} allowed"},
    {SL_EVENT_LOCATE, "asked {asked} agents who has {flow}: {why}"},
    {SL_EVENT_LOCATED, "ended the search for {flow} after {took_us} us: "
                       "{why}"},
    {SL_EVENT_ADOPT, "took {flow} back for its upstream: {why}"},
    {SL_EVENT_RESET, "reset {flow}: {why}"},
    {SL_EVENT_FLOW_END, "{flow} ended after {lasted_us} us: {why}"},
    {SL_EVENT_SILENT, "{flow} is silent for {silent_us} us, bound "
                      "{limit_us} us"},
    {SL_EVENT_LIMIT, "its upstream may now hold {limit_flows} flows and work "
                     "on {limit_exchanges} requests, {why}"},
    {SL_EVENT_COLD, "took its upstream for cold: a first answer took "
                    "{first_answer_us} us, usual are {usual_us} us"},
    {SL_EVENT_FOREIGN, "got a packet of {flow}, whose service its upstream "
                       "does not serve: {why}"},
    {SL_EVENT_ZONE_LEFT, "noticed that its availability zone changed: {why}; "
                         "{open_flows} flows were open"},
    {SL_EVENT_DRAINED, "noticed a change of its drain: {why}; {open_flows} "
                       "flows were open"},
    {SL_EVENT_DROP, "dropped a packet of {flow}: {why}"},
    {SL_EVENT_RELAY_OFFER, "the entry offered {flow} to {node}: {why}; "
                           "{in_progress} of {slots} slots in use"},
    {SL_EVENT_UPSTREAM_SLOW, "judged {node} by its answers, which take "
                             "{answer_us} us: {why}; {in_progress} requests "
                             "are in progress there"},
    {SL_EVENT_RELAY_DECLINED, "heard that {node} declined {flow}: {why}"},
    {SL_EVENT_RELAY_REFUSED,
     "reset {flow} after {declined_by} agents declined it, {spent_us} us "
     "after it came; it has not run. The last one's reason: {why}"},
    {SL_EVENT_RELAY_SEARCH, "asked {asked} agents who holds {flow}: {why}"},
    {SL_EVENT_RELAY_SEARCH_ENDED,
     "ended the search for the holder of {flow} after {took_us} us: {why}; "
     "{unanswered} agents were silent"},
    {SL_EVENT_RELAY_BROADCAST, "wants {asked} agents asked who holds {flows} "
                               "flows: {why}"},
    {SL_EVENT_RELAY_BROADCAST_ENDED,
     "told an entry what all agents said: {why}; "
     "{claims} claims, {unheard} not heard"},
    {SL_EVENT_RELAY_ANSWERS_LATE,
     "heard hardly any agent: {why}; it took the fault "
     "for its own and waits {patience_us} us"},
    {SL_EVENT_RELAY_CONFIG, "took configuration {plan_version} into use, with "
                            "{upstreams} upstreams"},
    {SL_EVENT_RELAY_ADMIT, "let {flow} in: {why}; {in_progress} of {slots} "
                           "slots in use"},
    {SL_EVENT_RELAY_DECLINE, "declined {flow}: {why}; {in_progress} of "
                             "{slots} slots in use; it has not run here"},
    {SL_EVENT_RELAY_ABSENT, "does not hold {flow}: {why}"},
    {SL_EVENT_RELAY_UNANSWERED,
     "delivered a request of {flow} that its upstream had not answered after "
     "{waited_us} us, when the caller left; usual are {usual_us} us"},
    {SL_EVENT_RELAY_DEFERRED_REQUEST,
     "decided about a request of {flow}, which has "
     "waited {waited_us} us: {why}; {in_progress} "
     "requests are in progress"},
    {SL_EVENT_UPSTREAM_STATUS,
     "heard that its upstream {node} is {reason}; cold "
     "for {cold_ms} ms more"},
    {SL_EVENT_COMMITTED, "accepted the change \"{reason}\" of {node}, request "
                         "{request} of client {client}"},
    {SL_EVENT_REJECTED, "turned down a change of {node}: {why}"},
    {SL_EVENT_UNREACHABLE, "takes {node} for unreachable after {silent_us} us "
                           "of silence"},
    {SL_EVENT_REACHABLE, "hears {node} again"},
    {SL_EVENT_VERSION, "took version {version} into use, {why}"},
    {SL_EVENT_BEHIND, "learned that it is behind {peer}: {why}"},
    {SL_EVENT_CUT_OFF, "is cut off: {why}; goes on with version {version}"},
    {SL_EVENT_JOINED, "is in touch again: {why}"},
    {0, NULL},
};

static const char *
words_of(const char *reason)
{
    for (const struct phrase *row = REASONS; row->word != NULL; row++) {
        if (strcmp(row->word, reason) == 0) {
            return row->text;
        }
    }
    return reason;
}

static const char *
field_text(const struct SlTaleLine *line, const char *key)
{
    const char *reason = SlTaleLine_Get(line, "reason");
    const char *value;

    if (strcmp(key, "who") == 0) {
        return line->process;
    }
    if (strcmp(key, "why") == 0) {
        return reason != NULL ? words_of(reason) : "no reason given";
    }
    value = SlTaleLine_Get(line, key);
    return value != NULL ? value : "?";
}

static void
put_template(FILE *out, const struct SlTaleLine *line, const char *text)
{
    char key[SL_NAME_BYTES];

    while (*text != '\0') {
        size_t plain = strcspn(text, "{");
        size_t length;

        fwrite(text, 1, plain, out);
        text += plain;
        if (*text == '\0') {
            return;
        }
        length = strcspn(text, "}");
        snprintf(key, sizeof(key), "%.*s", (int)length - 1, text + 1);
        fputs(field_text(line, key), out);
        text += length + 1;
    }
}

static void
put_time(FILE *out, uint64_t time_us)
{
    time_t seconds = (time_t)(time_us / US_PER_S);
    char clock[CLOCK_BYTES] = "";
    struct tm parts;

    if (seconds > WALL_FROM_S && gmtime_r(&seconds, &parts) != NULL) {
        strftime(clock, sizeof(clock), "%H:%M:%S", &parts);
        fprintf(out, "%s.%06" PRIu64, clock, time_us % US_PER_S);
        return;
    }
    fprintf(out, "%" PRIu64 ".%06" PRIu64, time_us / US_PER_S,
            time_us % US_PER_S);
}

void
SlTaleLine_Tell(FILE *out, const struct SlTaleLine *line)
{
    const struct sentence *sentence = SENTENCES;
    const struct SlEventRow *row =
        SlEvent_Row((enum SlEventNumber)line->number);
    const char *version = SlTaleLine_Get(line, "version");

    while (sentence->text != NULL && sentence->number != line->number) {
        sentence++;
    }
    put_time(out, line->time_us);
    fprintf(out, " %s ", line->process);
    if (sentence->text != NULL) {
        put_template(out, line, sentence->text);
    }
    else {
        fputs(row != NULL ? row->meaning : "an unknown event", out);
    }
    fprintf(out, " (SL%u, version %s)\n", line->number,
            version != NULL ? version : "none");
}
