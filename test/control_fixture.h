#ifndef SAVORYLEDGE_TEST_CONTROL_FIXTURE_H
#define SAVORYLEDGE_TEST_CONTROL_FIXTURE_H

/// A world of control cores with operators and agents around it.

#include "control_simulation.h"
#include "test.h"

enum {
    CLIENTS_MAX = 8,
    AGENTS_MAX = 20,
    UNREACHABLE_US = 600 * 1000,
    /// Steps after which a silent process is certainly judged.
    JUDGED_STEPS = 4 * UNREACHABLE_US / SIMULATION_STEP_US,
};

/// An agent's process, linked to one control instance.
struct agent {
    char name[SL_NAME_BYTES];
    uint32_t at;
    uint64_t link;
    bool silent;
};

/// What came back to the outside.
struct control_fixture {
    struct control_simulation simulation;
    uint64_t operator_link[WORLD_NODES_MAX];
    /// Per client: the last result, the request that it answers, and how
    /// many came.
    struct SlResult results[CLIENTS_MAX];
    uint64_t result_request[CLIENTS_MAX];
    uint32_t result_count[CLIENTS_MAX];
    uint32_t agent_count;
    struct agent agents[AGENTS_MAX];
    /// Messages to agents and subscribers.
    uint32_t fresh_beats;
    uint32_t stale_beats;
    uint32_t config_parts;
    uint32_t whole_parts;
    uint32_t config_objects;
    uint32_t removed_objects;
    uint32_t documents;
    uint64_t document_version;
    struct SlVersion config_version;
    bool version_went_back;
    uint32_t objects;
    enum SlStatus text_status;
};

static inline void
note_config(struct control_fixture *lab, const struct SlConfigPart *part)
{
    lab->config_parts++;
    lab->whole_parts += part->full;
    lab->config_objects += part->object_count;
    lab->removed_objects += part->removed_count;
    lab->version_went_back =
        lab->version_went_back ||
        SlVersion_Compare(part->to, lab->config_version) < 0;
    lab->config_version = part->to;
    if (part->document.version != 0) {
        lab->documents++;
        lab->document_version = part->document.version;
    }
}

static inline void
on_outside(struct control_simulation *world, uint32_t from, uint64_t link,
           const struct SlMessage *message)
{
    struct control_fixture *lab = world->context;

    (void)from;
    (void)link;
    switch (message->kind) {
    case SL_MESSAGE_RESULT:
        lab->results[message->result.client] = message->result.result;
        lab->result_request[message->result.client] = message->result.request;
        lab->result_count[message->result.client]++;
        break;
    case SL_MESSAGE_HEARTBEAT:
        lab->fresh_beats += message->heartbeat.fresh;
        lab->stale_beats += !message->heartbeat.fresh;
        break;
    case SL_MESSAGE_CONFIG:
        note_config(lab, &message->config);
        break;
    case SL_MESSAGE_OBJECT:
        lab->objects += !message->object.end;
        break;
    case SL_MESSAGE_TEXT:
        lab->text_status = message->text.status;
        break;
    default:
        break;
    }
}

static inline void
fixture_start_node(struct control_fixture *lab, uint32_t at)
{
    CU_ASSERT_EQUAL_FATAL(simulation_start_node(&lab->simulation, at), SL_OK);
    lab->operator_link[at] =
        simulation_connect(&lab->simulation, at, "operator", 0);
}

static inline struct control_fixture *
create_control_fixture(uint32_t nodes, uint64_t seed)
{
    struct control_fixture *lab = calloc(1, sizeof(*lab));

    simulation_create(&lab->simulation, nodes, seed);
    lab->simulation.outside = on_outside;
    lab->simulation.context = lab;
    lab->simulation.unreachable_us = UNREACHABLE_US;
    for (uint32_t i = 0; i < nodes; i++) {
        fixture_start_node(lab, i);
    }
    CU_ASSERT_NOT_EQUAL_FATAL(simulation_await_leader(&lab->simulation, 200),
                              nodes);
    simulation_run(&lab->simulation, 30);
    return lab;
}

static inline void
destroy_control_fixture(struct control_fixture *lab)
{
    simulation_destroy(&lab->simulation);
    free(lab);
}

/// One step, with a heartbeat from every agent that is not silent.
static inline void
lab_step(struct control_fixture *lab)
{
    for (uint32_t i = 0; i < lab->agent_count; i++) {
        struct SlMessage beat = {.kind = SL_MESSAGE_HEARTBEAT};

        if (!lab->agents[i].silent &&
            !lab->simulation.nodes[lab->agents[i].at].cut) {
            simulation_send_message(&lab->simulation, lab->agents[i].at,
                                    lab->agents[i].link, &beat);
        }
    }
    simulation_step(&lab->simulation);
}

static inline void
fixture_run(struct control_fixture *lab, uint32_t steps)
{
    for (uint32_t i = 0; i < steps; i++) {
        lab_step(lab);
    }
}

static inline uint32_t
find_leader(struct control_fixture *lab)
{
    uint32_t leader = simulation_await_leader(&lab->simulation, 300);

    CU_ASSERT_NOT_EQUAL_FATAL(leader, lab->simulation.count);
    return leader;
}

static inline const struct SlConfig *
config_at_node(const struct control_fixture *lab, uint32_t at)
{
    return SlControl_Config(lab->simulation.nodes[at].control);
}

static inline void
send_change(struct control_fixture *lab, uint32_t at,
            const struct SlChange *change)
{
    struct SlMessage message = {.kind = SL_MESSAGE_CHANGE, .change = *change};

    simulation_send_message(&lab->simulation, at, lab->operator_link[at],
                            &message);
}

/// True when an answer to the change came after the first before ones.
static inline bool
is_answered(const struct control_fixture *lab, const struct SlChange *change,
            uint32_t before)
{
    return lab->result_count[change->client] != before &&
           lab->result_request[change->client] == change->request;
}

/// Asks until there is an answer other than "not the leader".
static inline const struct SlResult *
request_change(struct control_fixture *lab, const struct SlChange *change)
{
    struct SlResult *result = &lab->results[change->client];

    for (uint32_t i = 0; i < 100; i++) {
        uint32_t before = lab->result_count[change->client];

        send_change(lab, find_leader(lab), change);
        for (uint32_t j = 0; j < 40 && !is_answered(lab, change, before);
             j++) {
            lab_step(lab);
        }
        if (is_answered(lab, change, before) &&
            result->status != SL_NOT_LEADER) {
            break;
        }
    }
    return result;
}

static inline struct SlChange
make_change(uint64_t client, uint64_t request, enum SlVerb verb,
            const char *zone)
{
    struct SlChange change = {.client = client,
                              .request = request,
                              .base = {.term = 1, .index = 1},
                              .verb = verb,
                              .object = {.kind = SL_KIND_ZONE}};

    snprintf(change.object.name, sizeof(change.object.name), "%s", zone);
    return change;
}

static inline void
connect_agent(struct control_fixture *lab, uint32_t i)
{
    struct agent *agent = &lab->agents[i];
    struct SlMessage message = {
        .kind = SL_MESSAGE_ANNOUNCE,
        .announce = {.kind = SL_KIND_NODE,
                     .node = {.node_id = SlNode_Id(agent->name),
                              .roles = SL_ROLE_AGENT,
                              .zone = "ulaan-a",
                              .boot = 3,
                              .slots = 3,
                              .capacity_flows = 2000}}};

    memcpy(message.announce.name, agent->name, sizeof(agent->name));
    agent->link = simulation_connect(&lab->simulation, agent->at, agent->name,
                                     SL_ROLE_AGENT);
    simulation_send_message(&lab->simulation, agent->at, agent->link,
                            &message);
}

/// Agents spread over all control instances.
static inline void
connect_agents(struct control_fixture *lab, uint32_t count)
{
    lab->agent_count = count;
    for (uint32_t i = 0; i < count; i++) {
        snprintf(lab->agents[i].name, SL_NAME_BYTES, "workroom-%u", i);
        lab->agents[i].at = i % lab->simulation.count;
        connect_agent(lab, i);
    }
    fixture_run(lab, 30);
}

static inline uint32_t
count_reachable(struct control_fixture *lab)
{
    const struct SlConfig *config = config_at_node(lab, find_leader(lab));
    uint32_t count = 0;

    for (uint32_t i = 0; i < SlConfig_ObjectCount(config, SL_KIND_NODE); i++) {
        count += !SlConfig_ObjectAt(config, SL_KIND_NODE, i)->node.unreachable;
    }
    return count;
}

#endif
