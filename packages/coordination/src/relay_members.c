#include "relay_members.h"

#include <stdlib.h>
#include <string.h>

enum {
    /// An agent answers an offer within a few milliseconds; a machine that is
    /// only short of processor within a tenth of a second.
    SILENT_US = 150 * 1000,
    /// One flow in so long tries whether a suspect answers again.
    RETRY_US = 500 * 1000,
    /// No segment reaches an agent that neither control nor this entry hears.
    /// After this long, which is more than a caller waits for an answer, its
    /// flows are over for their callers whether its upstream still runs or
    /// not.
    LOST_US = 10 * 1000 * 1000,
};

bool
SlRelayMember_IsOpen(const struct SlConfig *config,
                     const struct SlObject *node)
{
    return !node->node.leaving && node->holds.count == 0 &&
           !SlConfig_ZoneOut(config, node->node.zone);
}

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

static void
fill_member(uint64_t now_us, const struct SlConfig *config,
            const struct SlObject *node, uint32_t service, const char *zone,
            const struct SlRelayMembers *former, struct SlCandidate *candidate,
            struct SlRelayMember *member)
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
    candidate->near = strcmp(node->node.zone, zone) == 0;
    candidate->open = SlRelayMember_IsOpen(config, node);
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

static void
fill(struct SlRelayMembers *members, uint64_t now_us,
     const struct SlRelayMembers *former, const struct SlConfig *config,
     const struct SlPlan *plan, const char *zone)
{
    uint32_t nodes = SlConfig_Count(config, SL_KIND_NODE);

    for (uint32_t service = 0; service < members->service_count; service++) {
        members->first[service] = members->count;
        for (uint32_t i = 0; i < nodes; i++) {
            const struct SlObject *node = SlConfig_At(config, SL_KIND_NODE, i);

            if (service_of(plan, node) == service) {
                fill_member(now_us, config, node, service, zone, former,
                            &members->candidates[members->count],
                            &members->members[members->count]);
                members->count++;
            }
        }
    }
    members->first[members->service_count] = members->count;
}

enum SlStatus
SlRelayMembers_Build(struct SlRelayMembers *members, uint64_t now_us,
                     const struct SlRelayMembers *former,
                     const struct SlConfig *config, const struct SlPlan *plan,
                     const char *zone)
{
    uint32_t nodes = SlConfig_Count(config, SL_KIND_NODE);

    *members = (struct SlRelayMembers){
        .service_count = SlPlan_ServiceCount(plan),
    };
    members->candidates = calloc(nodes + 1, sizeof(*members->candidates));
    members->members = calloc(nodes + 1, sizeof(*members->members));
    members->first =
        calloc(members->service_count + 1, sizeof(*members->first));
    if (members->candidates == NULL || members->members == NULL ||
        members->first == NULL) {
        SlRelayMembers_Release(members);
        return SL_NO_MEMORY;
    }
    fill(members, now_us, former, config, plan, zone);
    return SL_OK;
}

void
SlRelayMembers_Release(struct SlRelayMembers *members)
{
    free(members->candidates);
    free(members->members);
    free(members->first);
    *members = (struct SlRelayMembers){.count = 0};
}

uint32_t
SlRelayMembers_Find(const struct SlRelayMembers *members, uint64_t node_id)
{
    for (uint32_t i = 0; i < members->count; i++) {
        if (members->candidates[i].node_id == node_id) {
            return i;
        }
    }
    return SL_RELAY_NO_MEMBER;
}

void
SlRelayMembers_Offered(struct SlRelayMembers *members, uint32_t at,
                       uint64_t now_us)
{
    members->candidates[at].offered++;
    if (members->members[at].unanswered_us == 0) {
        members->members[at].unanswered_us = now_us;
    }
}

bool
SlRelayMembers_Heard(struct SlRelayMembers *members, uint32_t at,
                     const struct SlRelayLoad *load, uint32_t answers)
{
    struct SlCandidate *candidate = &members->candidates[at];
    bool was_suspect = candidate->suspect;

    candidate->load = *load;
    candidate->suspect = false;
    candidate->offered =
        candidate->offered > answers ? candidate->offered - answers : 0;
    members->members[at].unanswered_us = 0;
    members->members[at].lost_us = 0;
    return was_suspect;
}

bool
SlRelayMembers_MayHold(const struct SlRelayMembers *members, uint32_t at,
                       uint64_t now_us)
{
    uint64_t lost_us = members->members[at].lost_us;

    return lost_us == 0 || now_us - lost_us < LOST_US;
}

uint32_t
SlRelayMembers_NextSilent(struct SlRelayMembers *members, uint32_t at,
                          uint64_t now_us)
{
    for (; at < members->count; at++) {
        struct SlRelayMember *member = &members->members[at];
        struct SlCandidate *candidate = &members->candidates[at];

        if (candidate->suspect) {
            if (member->retry_us != 0 && now_us >= member->retry_us) {
                candidate->suspect = false;
                member->unanswered_us = 0;
                candidate->offered = 0;
                member->retry_us = 0;
            }
            continue;
        }
        if (member->unanswered_us != 0 &&
            now_us - member->unanswered_us > SILENT_US) {
            candidate->suspect = true;
            member->retry_us = now_us + RETRY_US;
            return at;
        }
    }
    return SL_RELAY_NO_MEMBER;
}
