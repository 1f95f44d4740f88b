#include "relay_members.h"

#include <stdlib.h>
#include <string.h>

enum {
    /// Limits of what a load report may say, within which placement computes
    /// without overflow.
    REPORTED_WORK_MAX_US = 16 * 1000 * 1000,
    REPORTED_VARIATION_MAX_PERCENT = 1000,
    REPORTED_REMAINING_MAX_US = 600 * 1000 * 1000,
    REPORTED_DEMAND_MAX_PERMILLE = 1000 * 1000,
    /// Up to this many silent members may have failed independently of each
    /// other.
    UNRELATED_FAILURES_MAX = 2,
    FLOW_HASH_SEED = 0,
    /// Interval at which a suspect agent is offered one flow to see whether it
    /// answers again.
    SUSPECT_RETRY_US = 500 * 1000,
    /// Interval at which a slow agent is offered one flow to probe whether it
    /// still is slow. Its average answer time changes after a few such flows
    /// from all entries.
    SLOW_PROBE_INTERVAL_US = 500 * 1000,
};

bool
SlRelayMember_AcceptsFlows(const struct SlConfig *config,
                           const struct SlObject *node)
{
    return !node->node.leaving && node->holds.count == 0 &&
           !SlConfig_IsZoneOutOfService(config, node->node.zone);
}

/// Zones in the order in which they first occur among the members. The names
/// are borrowed.
struct zone_names {
    uint32_t count;
    const char *names[SL_HOMES_ZONES];
};

/// Returns the index of the service that an agent announces;
/// SL_PLAN_NO_SERVICE for other nodes.
static uint32_t
announced_service(const struct SlPlan *plan, const struct SlObject *node)
{
    const char *service = SlLabels_Get(&node->node.announced, "service");

    if (!(node->node.roles & SL_ROLE_AGENT) || service == NULL) {
        return SL_PLAN_NO_SERVICE;
    }
    return SlPlan_FindService(plan, service);
}

/// Returns the number of a zone: its index in zones, to which a new zone is
/// added. When there are more than SL_HOMES_ZONES zones, the further ones get
/// the hash of their name.
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
    uint32_t index = SlRelayMembers_Find(former, node->node.node_id);

    *candidate = (struct SlCandidate){.node_id = node->node.node_id};
    *member = (struct SlRelayMember){.service = service};
    if (index != SL_RELAY_NO_MEMBER &&
        former->members[index].boot == node->node.boot) {
        *candidate = former->candidates[index];
        *member = former->members[index];
        member->service = service;
    }
    candidate->zone = zone_number(zones, node->node.zone);
    candidate->in_local_zone = strcmp(node->node.zone, zone) == 0;
    candidate->accepts_flows = SlRelayMember_AcceptsFlows(config, node);
    candidate->slots = node->node.slots;
    /* Control may be wrong about an unreachable member, so it is kept as the
       last resort. */
    if (node->node.unreachable) {
        candidate->suspect = true;
        member->unreachable_since_us = member->unreachable_since_us != 0
                                           ? member->unreachable_since_us
                                           : now_us;
    }
    else {
        member->unreachable_since_us = 0;
    }
    memcpy(member->name, node->name, sizeof(member->name));
    member->address = node->node.tunnel;
    member->boot = node->node.boot;
}

static int
compare_lookup(const void *a, const void *b)
{
    const struct SlRelayMemberLookup *x = a;
    const struct SlRelayMemberLookup *y = b;

    return (x->node_id > y->node_id) - (x->node_id < y->node_id);
}

/// Counts the members of each service and sets the index of the first one in
/// members->first_index. services: filled with the service of each node.
static void
count_members(struct SlRelayMembers *members, const struct SlConfig *config,
              const struct SlPlan *plan, uint32_t *services)
{
    uint32_t nodes = SlConfig_ObjectCount(config, SL_KIND_NODE);

    for (uint32_t i = 0; i < nodes; i++) {
        services[i] = announced_service(
            plan, SlConfig_ObjectAt(config, SL_KIND_NODE, i));
        if (services[i] != SL_PLAN_NO_SERVICE) {
            members->first_index[services[i] + 1]++;
            members->count++;
        }
    }
    for (uint32_t i = 0; i < members->service_count; i++) {
        members->first_index[i + 1] += members->first_index[i];
    }
}

/// Fills in the members. next: scratch array with the index of the next member
/// of each service.
static void
fill_members(struct SlRelayMembers *members, uint64_t now_us,
             const struct SlRelayMembers *former,
             const struct SlConfig *config, const char *zone,
             const uint32_t *services, uint32_t *next)
{
    uint32_t nodes = SlConfig_ObjectCount(config, SL_KIND_NODE);
    struct zone_names zones = {.count = 0};
    uint32_t filled = 0;

    memcpy(next, members->first_index, members->service_count * sizeof(*next));
    for (uint32_t i = 0; i < nodes; i++) {
        const struct SlObject *node =
            SlConfig_ObjectAt(config, SL_KIND_NODE, i);
        uint32_t index;

        if (services[i] == SL_PLAN_NO_SERVICE) {
            continue;
        }
        members->leaving_count += node->node.leaving;
        index = next[services[i]]++;
        fill_member(now_us, config, node, services[i], zone, &zones, former,
                    &members->candidates[index], &members->members[index]);
        members->lookup[filled++] = (struct SlRelayMemberLookup){
            .node_id = node->node.node_id, .index = index};
    }
    qsort(members->lookup, filled, sizeof(*members->lookup), compare_lookup);
}

/// Sets all_home for each service, and marks its members as homes. That is
/// done once here, since it is the same for every flow where all members are
/// homes.
static void
mark_all_home(struct SlRelayMembers *members)
{
    for (uint32_t service = 0; service < members->service_count; service++) {
        uint32_t in_zone[SL_HOMES_ZONES] = {0};

        members->all_home[service] = true;
        for (uint32_t index = members->first_index[service];
             index < members->first_index[service + 1]; index++) {
            struct SlCandidate *candidate = &members->candidates[index];

            candidate->is_home = true;
            if (++in_zone[candidate->zone % SL_HOMES_ZONES] >
                SL_HOMES_PER_ZONE) {
                members->all_home[service] = false;
            }
        }
    }
}

/// Keeps what is known of the cost of services whose members were known
/// before.
static void
keep_costs(struct SlRelayMembers *members, const struct SlRelayMembers *former)
{
    for (uint32_t i = 0; i < members->count; i++) {
        uint32_t index =
            SlRelayMembers_Find(former, members->candidates[i].node_id);

        if (index != SL_RELAY_NO_MEMBER) {
            members->costs[members->members[i].service] =
                former->costs[former->members[index].service];
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
    members->first_index = calloc(services + 1, sizeof(*members->first_index));
    members->lookup = calloc(nodes + 1, sizeof(*members->lookup));
    members->all_home = calloc(services + 1, sizeof(*members->all_home));
    members->costs = calloc(services + 1, sizeof(*members->costs));
    if (service_of_node != NULL && next != NULL &&
        members->candidates != NULL && members->members != NULL &&
        members->first_index != NULL && members->lookup != NULL &&
        members->all_home != NULL && members->costs != NULL) {
        count_members(members, config, plan, service_of_node);
        fill_members(members, now_us, former, config, zone, service_of_node,
                     next);
        mark_all_home(members);
        keep_costs(members, former);
        SlRelayMembers_UpdateCosts(members);
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
    free(members->first_index);
    free(members->lookup);
    free(members->all_home);
    free(members->costs);
    *members = (struct SlRelayMembers){.count = 0};
}

uint32_t
SlRelayMembers_Find(const struct SlRelayMembers *members, uint64_t node_id)
{
    uint32_t low = 0;
    uint32_t high = members->count;

    while (low < high) {
        uint32_t middle = low + (high - low) / 2;

        if (members->lookup[middle].node_id == node_id) {
            return members->lookup[middle].index;
        }
        if (members->lookup[middle].node_id < node_id) {
            low = middle + 1;
        }
        else {
            high = middle;
        }
    }
    return SL_RELAY_NO_MEMBER;
}

void
SlRelayMembers_RecordOffer(struct SlRelayMembers *members, uint32_t index,
                           uint64_t now_us)
{
    members->candidates[index].offered_flows++;
    if (members->members[index].probe_pending) {
        members->members[index].probe_pending = false;
        members->candidates[index].is_probe = false;
        members->members[index].probe_due_us = now_us + SLOW_PROBE_INTERVAL_US;
        members->candidates[index].slow = true;
    }
    if (members->members[index].oldest_unanswered_us == 0) {
        members->members[index].oldest_unanswered_us = now_us;
    }
}

static uint32_t
at_most(uint64_t value, uint32_t max)
{
    return value < max ? (uint32_t)value : max;
}

/// Takes over a load. One without the work of requests leaves what was known
/// of it; what remains to be done is then assumed to be typical work.
static void
record_work(struct SlCandidate *candidate, const struct SlRelayLoad *load)
{
    struct SlRelayLoad former = candidate->load;

    candidate->load = *load;
    candidate->load.work_us = at_most(load->work_us, REPORTED_WORK_MAX_US);
    candidate->load.variation_percent =
        at_most(load->variation_percent, REPORTED_VARIATION_MAX_PERCENT);
    candidate->load.remaining_us =
        at_most(load->remaining_us, REPORTED_REMAINING_MAX_US);
    candidate->load.demand_permille =
        at_most(load->demand_permille, REPORTED_DEMAND_MAX_PERMILLE);
    candidate->load.flow_demand_permille =
        at_most(load->flow_demand_permille, REPORTED_DEMAND_MAX_PERMILLE);
    if (load->work_us == 0) {
        candidate->load.work_us = former.work_us;
        candidate->load.variation_percent = former.variation_percent;
        candidate->load.demand_permille = former.demand_permille;
        candidate->load.remaining_us =
            at_most((uint64_t)load->in_progress * former.work_us,
                    REPORTED_REMAINING_MAX_US);
    }
}

bool
SlRelayMembers_RecordLoad(struct SlRelayMembers *members, uint32_t index,
                          uint64_t now_us, const struct SlRelayLoad *load,
                          uint32_t answers)
{
    struct SlCandidate *candidate = &members->candidates[index];
    bool was_suspect = candidate->suspect;

    record_work(candidate, load);
    candidate->reported_us = now_us;
    candidate->suspect = false;
    candidate->offered_flows = candidate->offered_flows > answers
                                   ? candidate->offered_flows - answers
                                   : 0;
    members->members[index].oldest_unanswered_us = 0;
    members->members[index].last_frame_us = now_us;
    members->members[index].unreachable_since_us = 0;
    return was_suspect;
}

static void
schedule_probe(struct SlRelayMember *member, struct SlCandidate *candidate,
               uint64_t now_us)
{
    /* As long as answers of existing flows change the average, no probe is
       needed. A long-lived flow used as a probe would stay on the slow
       upstream. */
    if (candidate->slow && (!member->detected_slow ||
                            member->answer_us != candidate->load.answer_us)) {
        member->probe_due_us = now_us + SLOW_PROBE_INTERVAL_US;
    }
    member->answer_us = candidate->load.answer_us;
    member->detected_slow = candidate->slow;
    member->probe_pending = candidate->slow && now_us >= member->probe_due_us;
    candidate->slow = candidate->slow && !member->probe_pending;
    candidate->is_probe = member->probe_pending;
}

void
SlRelayMembers_DetectSlow(struct SlRelayMembers *members, uint64_t now_us)
{
    for (uint32_t i = 0; i < members->count; i++) {
        members->candidates[i].slow = members->members[i].detected_slow;
    }
    for (uint32_t i = 0; i < members->service_count; i++) {
        uint32_t first = members->first_index[i];

        SlOutlier_MarkSlow(&members->candidates[first],
                           members->first_index[i + 1] - first);
    }
    for (uint32_t i = 0; i < members->count; i++) {
        schedule_probe(&members->members[i], &members->candidates[i], now_us);
    }
}

uint32_t
SlRelayMembers_NextSlowChange(struct SlRelayMembers *members, uint32_t index)
{
    for (; index < members->count; index++) {
        struct SlRelayMember *member = &members->members[index];

        if (member->detected_slow != member->reported_slow) {
            member->reported_slow = member->detected_slow;
            return index;
        }
    }
    return SL_RELAY_NO_MEMBER;
}

void
SlRelayMembers_UpdateCosts(struct SlRelayMembers *members)
{
    for (uint32_t i = 0; i < members->service_count; i++) {
        uint32_t first = members->first_index[i];

        SlServiceCost_Update(&members->costs[i], &members->candidates[first],
                             members->first_index[i + 1] - first);
    }
}

uint32_t
SlRelayMembers_NextCostChange(struct SlRelayMembers *members, uint32_t index)
{
    for (; index < members->service_count; index++) {
        struct SlServiceCost *cost = &members->costs[index];

        if (cost->in_use != cost->reported) {
            cost->reported = cost->in_use;
            return index;
        }
    }
    return SL_RELAY_NO_MEMBER;
}

bool
SlRelayMembers_IsAskedAtHome(const struct SlRelayMembers *members,
                             uint32_t index, uint64_t now_us)
{
    uint64_t unreachable_since_us =
        members->members[index].unreachable_since_us;

    return unreachable_since_us == 0 ||
           now_us - unreachable_since_us < SL_RELAY_UNREACHABLE_US;
}

bool
SlRelayMembers_AreMostSilent(const struct SlRelayMembers *members,
                             uint64_t now_us, uint64_t silent_us)
{
    uint32_t silent = 0;
    uint32_t responsive = 0;

    for (uint32_t i = 0; i < members->count; i++) {
        const struct SlRelayMember *member = &members->members[i];

        if (member->oldest_unanswered_us != 0 &&
            now_us - member->oldest_unanswered_us > silent_us) {
            silent++;
        }
        else if (member->last_frame_us != 0 &&
                 now_us - member->last_frame_us < silent_us) {
            responsive++;
        }
    }
    return silent > UNRELATED_FAILURES_MAX && silent > responsive;
}

void
SlRelayMembers_ClearOffers(struct SlRelayMembers *members)
{
    for (uint32_t i = 0; i < members->count; i++) {
        members->members[i].oldest_unanswered_us = 0;
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
    uint32_t first = members->first_index[service];

    if (members->all_home[service]) {
        return;
    }
    SlHomes_Mark(&members->candidates[first],
                 members->first_index[service + 1] - first,
                 SlRelayMembers_FlowHash(flow));
}

uint64_t
SlRelayMembers_Distance(const struct SlRelayMembers *members, uint32_t index,
                        uint64_t flow_hash)
{
    const struct SlCandidate *candidate = &members->candidates[index];
    uint64_t weight = SlHomes_Weight(candidate->node_id, flow_hash);

    return (UINT64_MAX - weight) >> (candidate->in_local_zone ? 2 : 1);
}

uint32_t
SlRelayMembers_NextSilentMember(struct SlRelayMembers *members, uint32_t index,
                                uint64_t now_us, uint64_t silent_us)
{
    for (; index < members->count; index++) {
        struct SlRelayMember *member = &members->members[index];
        struct SlCandidate *candidate = &members->candidates[index];

        if (candidate->suspect) {
            if (member->retry_due_us != 0 && now_us >= member->retry_due_us) {
                candidate->suspect = false;
                member->oldest_unanswered_us = 0;
                candidate->offered_flows = 0;
                member->retry_due_us = 0;
            }
            continue;
        }
        if (member->oldest_unanswered_us != 0 &&
            now_us - member->oldest_unanswered_us > silent_us) {
            candidate->suspect = true;
            member->retry_due_us = now_us + SUSPECT_RETRY_US;
            return index;
        }
    }
    return SL_RELAY_NO_MEMBER;
}
