#include "relay_members.h"

#include <stdlib.h>
#include <string.h>

enum {
    /// So many silent members may be as many accidents.
    ACCIDENTS = 2,
    FLOW_HASH_SEED = 0,
    /// One flow in so long tries whether a suspect answers again.
    RETRY_US = 500 * 1000,
    /// One flow in so long tries whether a slow one is still slow: its average
    /// answer follows after some such flows of all entries.
    SLOW_TRIAL_US = 500 * 1000,
};

bool
SlRelayMember_IsOpen(const struct SlConfig *config,
                     const struct SlObject *node)
{
    return !node->node.leaving && node->holds.count == 0 &&
           !SlConfig_IsZoneOut(config, node->node.zone);
}

/// Zones in the order in which the members name them; borrowed names.
struct zone_names {
    uint32_t count;
    const char *names[SL_HOMES_ZONES];
};

/// The service that an agent announces; SL_PLAN_NO_SERVICE for others.
static uint32_t
service_of(const struct SlPlan *plan, const struct SlObject *node)
{
    const char *service = SlLabels_Get(&node->node.announced, "service");

    if (!(node->node.roles & SL_ROLE_AGENT) || service == NULL) {
        return SL_PLAN_NO_SERVICE;
    }
    return SlPlan_FindService(plan, service);
}

/// The number of a zone: its place among the configuration's nodes' zones.
static uint32_t
zone_number(struct zone_names *zones, const char *name)
{
    for (uint32_t i = 0; i < zones->count; i++) {
        if (strcmp(zones->names[i], name) == 0) {
            return i;
        }
    }
    if (zones->count == SL_HOMES_ZONES) {
        return (uint32_t)(SlNode_Id(name) % SL_HOMES_ZONES);
    }
    zones->names[zones->count] = name;
    return zones->count++;
}

static void
fill_member(uint64_t now_us, const struct SlConfig *config,
            const struct SlObject *node, uint32_t service, const char *zone,
            struct zone_names *zones, const struct SlRelayMembers *former,
            struct SlCandidate *candidate, struct SlRelayMember *member)
{
    uint32_t at = SlRelayMembers_Find(former, node->node.node_id);

    *candidate = (struct SlCandidate){.node_id = node->node.node_id};
    *member = (struct SlRelayMember){.service = service};
    if (at != SL_RELAY_NO_MEMBER &&
        former->members[at].boot == node->node.boot) {
        *candidate = former->candidates[at];
        *member = former->members[at];
        member->service = service;
    }
    candidate->zone = zone_number(zones, node->node.zone);
    candidate->in_local_zone = strcmp(node->node.zone, zone) == 0;
    candidate->accepts_flows = SlRelayMember_IsOpen(config, node);
    candidate->slots = node->node.slots;
    /* Control may be wrong: a member that it lost is the last resort. */
    if (node->node.unreachable) {
        candidate->suspect = true;
        member->lost_us = member->lost_us != 0 ? member->lost_us : now_us;
    }
    else {
        member->lost_us = 0;
    }
    memcpy(member->name, node->name, sizeof(member->name));
    member->address = node->node.tunnel;
    member->boot = node->node.boot;
}

static int
compare_places(const void *a, const void *b)
{
    const struct SlRelayMemberPlace *x = a;
    const struct SlRelayMemberPlace *y = b;

    return (x->node_id > y->node_id) - (x->node_id < y->node_id);
}

/// Counts the members of each service, and leaves in first where those of
/// each begin. services: room for the service of each node.
static void
count(struct SlRelayMembers *members, const struct SlConfig *config,
      const struct SlPlan *plan, uint32_t *services)
{
    uint32_t nodes = SlConfig_ObjectCount(config, SL_KIND_NODE);

    for (uint32_t i = 0; i < nodes; i++) {
        services[i] =
            service_of(plan, SlConfig_ObjectAt(config, SL_KIND_NODE, i));
        if (services[i] != SL_PLAN_NO_SERVICE) {
            members->first[services[i] + 1]++;
            members->count++;
        }
    }
    for (uint32_t i = 0; i < members->service_count; i++) {
        members->first[i + 1] += members->first[i];
    }
}

/// next: where the next member of each service goes.
static void
fill(struct SlRelayMembers *members, uint64_t now_us,
     const struct SlRelayMembers *former, const struct SlConfig *config,
     const char *zone, const uint32_t *services, uint32_t *next)
{
    uint32_t nodes = SlConfig_ObjectCount(config, SL_KIND_NODE);
    struct zone_names zones = {.count = 0};
    uint32_t filled = 0;

    memcpy(next, members->first, members->service_count * sizeof(*next));
    for (uint32_t i = 0; i < nodes; i++) {
        const struct SlObject *node =
            SlConfig_ObjectAt(config, SL_KIND_NODE, i);
        uint32_t at;

        if (services[i] == SL_PLAN_NO_SERVICE) {
            continue;
        }
        at = next[services[i]]++;
        fill_member(now_us, config, node, services[i], zone, &zones, former,
                    &members->candidates[at], &members->members[at]);
        members->places[filled++] = (struct SlRelayMemberPlace){
            .node_id = node->node.node_id, .at = at};
    }
    qsort(members->places, filled, sizeof(*members->places), compare_places);
}

/// Marks the members of services that are homes as a whole, once for all
/// flows.
static void
mark_all_home(struct SlRelayMembers *members)
{
    for (uint32_t service = 0; service < members->service_count; service++) {
        uint32_t in_zone[SL_HOMES_ZONES] = {0};

        members->all_home[service] = true;
        for (uint32_t at = members->first[service];
             at < members->first[service + 1]; at++) {
            struct SlCandidate *candidate = &members->candidates[at];

            candidate->is_home = true;
            if (++in_zone[candidate->zone % SL_HOMES_ZONES] >
                SL_HOMES_PER_ZONE) {
                members->all_home[service] = false;
            }
        }
    }
}

enum SlStatus
SlRelayMembers_Build(struct SlRelayMembers *members, uint64_t now_us,
                     const struct SlRelayMembers *former,
                     const struct SlConfig *config, const struct SlPlan *plan,
                     const char *zone)
{
    uint32_t nodes = SlConfig_ObjectCount(config, SL_KIND_NODE);
    uint32_t services = SlPlan_ServiceCount(plan);
    uint32_t *service_of_node = calloc(nodes + 1, sizeof(*service_of_node));
    uint32_t *next = calloc(services + 1, sizeof(*next));
    enum SlStatus status = SL_NO_MEMORY;

    *members = (struct SlRelayMembers){.service_count = services};
    members->candidates = calloc(nodes + 1, sizeof(*members->candidates));
    members->members = calloc(nodes + 1, sizeof(*members->members));
    members->first = calloc(services + 1, sizeof(*members->first));
    members->places = calloc(nodes + 1, sizeof(*members->places));
    members->all_home = calloc(services + 1, sizeof(*members->all_home));
    if (service_of_node != NULL && next != NULL &&
        members->candidates != NULL && members->members != NULL &&
        members->first != NULL && members->places != NULL &&
        members->all_home != NULL) {
        count(members, config, plan, service_of_node);
        fill(members, now_us, former, config, zone, service_of_node, next);
        mark_all_home(members);
        status = SL_OK;
    }
    else {
        SlRelayMembers_Release(members);
    }
    free(service_of_node);
    free(next);
    return status;
}

void
SlRelayMembers_Release(struct SlRelayMembers *members)
{
    free(members->candidates);
    free(members->members);
    free(members->first);
    free(members->places);
    free(members->all_home);
    *members = (struct SlRelayMembers){.count = 0};
}

uint32_t
SlRelayMembers_Find(const struct SlRelayMembers *members, uint64_t node_id)
{
    uint32_t low = 0;
    uint32_t high = members->count;

    while (low < high) {
        uint32_t middle = low + (high - low) / 2;

        if (members->places[middle].node_id == node_id) {
            return members->places[middle].at;
        }
        if (members->places[middle].node_id < node_id) {
            low = middle + 1;
        }
        else {
            high = middle;
        }
    }
    return SL_RELAY_NO_MEMBER;
}

void
SlRelayMembers_Offered(struct SlRelayMembers *members, uint32_t at,
                       uint64_t now_us)
{
    members->candidates[at].offered_flows++;
    if (members->members[at].awaits_trial) {
        members->members[at].awaits_trial = false;
        members->members[at].trial_us = now_us + SLOW_TRIAL_US;
        members->candidates[at].slow = true;
    }
    if (members->members[at].unanswered_us == 0) {
        members->members[at].unanswered_us = now_us;
    }
}

bool
SlRelayMembers_Heard(struct SlRelayMembers *members, uint32_t at,
                     uint64_t now_us, const struct SlRelayLoad *load,
                     uint32_t answers)
{
    struct SlCandidate *candidate = &members->candidates[at];
    bool was_suspect = candidate->suspect;

    candidate->load = *load;
    candidate->suspect = false;
    candidate->offered_flows = candidate->offered_flows > answers
                                   ? candidate->offered_flows - answers
                                   : 0;
    members->members[at].unanswered_us = 0;
    members->members[at].heard_us = now_us;
    members->members[at].lost_us = 0;
    return was_suspect;
}

static void
plan_trial(struct SlRelayMember *member, struct SlCandidate *candidate,
           uint64_t now_us)
{
    /* Answers of flows that it still has tell as much, and a flow that lasts
       would stay there. */
    if (candidate->slow && (!member->judged_slow ||
                            member->answer_us != candidate->load.answer_us)) {
        member->trial_us = now_us + SLOW_TRIAL_US;
    }
    member->answer_us = candidate->load.answer_us;
    member->judged_slow = candidate->slow;
    member->awaits_trial = candidate->slow && now_us >= member->trial_us;
    candidate->slow = candidate->slow && !member->awaits_trial;
}

void
SlRelayMembers_JudgeSlow(struct SlRelayMembers *members, uint64_t now_us)
{
    for (uint32_t i = 0; i < members->count; i++) {
        members->candidates[i].slow = members->members[i].judged_slow;
    }
    for (uint32_t i = 0; i < members->service_count; i++) {
        uint32_t first = members->first[i];

        SlOutlier_MarkSlow(&members->candidates[first],
                           members->first[i + 1] - first);
    }
    for (uint32_t i = 0; i < members->count; i++) {
        plan_trial(&members->members[i], &members->candidates[i], now_us);
    }
}

uint32_t
SlRelayMembers_NextJudged(struct SlRelayMembers *members, uint32_t at)
{
    for (; at < members->count; at++) {
        struct SlRelayMember *member = &members->members[at];

        if (member->judged_slow != member->told_slow) {
            member->told_slow = member->judged_slow;
            return at;
        }
    }
    return SL_RELAY_NO_MEMBER;
}

bool
SlRelayMembers_MayHold(const struct SlRelayMembers *members, uint32_t at,
                       uint64_t now_us)
{
    uint64_t lost_us = members->members[at].lost_us;

    return lost_us == 0 || now_us - lost_us < SL_RELAY_LOST_US;
}

bool
SlRelayMembers_AreMostSilent(const struct SlRelayMembers *members,
                             uint64_t now_us, uint64_t silent_us)
{
    uint32_t silent = 0;
    uint32_t heard = 0;

    for (uint32_t i = 0; i < members->count; i++) {
        const struct SlRelayMember *member = &members->members[i];

        if (member->unanswered_us != 0 &&
            now_us - member->unanswered_us > silent_us) {
            silent++;
        }
        else if (member->heard_us != 0 &&
                 now_us - member->heard_us < silent_us) {
            heard++;
        }
    }
    return silent > ACCIDENTS && silent > heard;
}

void
SlRelayMembers_ForgetOffers(struct SlRelayMembers *members)
{
    for (uint32_t i = 0; i < members->count; i++) {
        members->members[i].unanswered_us = 0;
        members->candidates[i].offered_flows = 0;
    }
}

uint64_t
SlRelayMembers_FlowHash(const struct SlFlowKey *flow)
{
    return SlFlowKey_Hash(flow, FLOW_HASH_SEED);
}

void
SlRelayMembers_MarkHomes(struct SlRelayMembers *members, uint32_t service,
                         const struct SlFlowKey *flow)
{
    uint32_t first = members->first[service];

    if (members->all_home[service]) {
        return;
    }
    SlHomes_Mark(&members->candidates[first],
                 members->first[service + 1] - first,
                 SlRelayMembers_FlowHash(flow));
}

uint32_t
SlRelayMembers_NextSilent(struct SlRelayMembers *members, uint32_t at,
                          uint64_t now_us, uint64_t silent_us)
{
    for (; at < members->count; at++) {
        struct SlRelayMember *member = &members->members[at];
        struct SlCandidate *candidate = &members->candidates[at];

        if (candidate->suspect) {
            if (member->retry_us != 0 && now_us >= member->retry_us) {
                candidate->suspect = false;
                member->unanswered_us = 0;
                candidate->offered_flows = 0;
                member->retry_us = 0;
            }
            continue;
        }
        if (member->unanswered_us != 0 &&
            now_us - member->unanswered_us > silent_us) {
            candidate->suspect = true;
            member->retry_us = now_us + RETRY_US;
            return at;
        }
    }
    return SL_RELAY_NO_MEMBER;
}
