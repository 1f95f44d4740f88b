#ifndef SAVORYLEDGE_TEST_CONTROL_FIXTURE_H
#define SAVORYLEDGE_TEST_CONTROL_FIXTURE_H

/// Test fixture: simulated control instances with operators and agents that
/// are linked to them.

#include "control_simulation.h"
#include "test.h"

enum {
    CLIENTS_MAX = 8,
    AGENTS_MAX = 20,
    UNREACHABLE_US = 600 * 1000,
    /// Steps after which the leader has certainly decided whether a silent
    /// process is unreachable.
    REACHABILITY_STEPS = 4 * UNREACHABLE_US / SIMULATION_STEP_US,
};

/// An agent process, linked to one control instance.
struct agent {
    char name[SL_NAME_BYTES];
    uint32_t control_index;
    uint64_t link;
    bool is_silent;
};

/// The simulation, and the messages that operators, agents and subscribers
/// received from it.
struct control_fixture {
    struct control_simulation simulation;
    uint64_t operator_link[SIMULATION_NODES_MAX];
    /// Per client: the last result, the request that it answers, and the
    /// number of results received.
    struct SlResult results[CLIENTS_MAX];
    uint64_t result_request[CLIENTS_MAX];
    uint32_t result_count[CLIENTS_MAX];
    uint32_t agent_count;
    struct agent agents[AGENTS_MAX];
    /// Numbers of messages, and of objects and parts of configurations, that
    /// agents and subscribers received.
    uint32_t fresh_heartbeats;
    uint32_t stale_heartbeats;
    uint32_t config_parts;
    uint32_t whole_parts;
    uint32_t config_objects;
    uint32_t removed_objects;
    uint32_t documents;
    uint64_t document_version;
    struct SlVersion config_version;
    bool version_decreased;
    uint32_t objects;
    enum SlStatus text_status;
};

static inline void
record_config_part(struct control_fixture *fixture,
                   const struct SlConfigPart *part)
{
    fixture->config_parts++;
    fixture->whole_parts += part->full;
    fixture->config_objects += part->object_count;
    fixture->removed_objects += part->removed_count;
    fixture->version_decreased =
        fixture->version_decreased ||
        SlVersion_Compare(part->to, fixture->config_version) < 0;
    fixture->config_version = part->to;
    if (part->document.version != 0) {
        fixture->documents++;
        fixture->document_version = part->document.version;
    }
}

static inline void
handle_outside_message(struct control_simulation *simulation, uint32_t from,
                       uint64_t link, const struct SlMessage *message)
{
    struct control_fixture *fixture = simulation->context;

    (void)from;
    (void)link;
    switch (message->kind) {
    case SL_MESSAGE_RESULT:
        fixture->results[message->result.client] = message->result.result;
        fixture->result_request[message->result.client] =
            message->result.request;
        fixture->result_count[message->result.client]++;
        break;
    case SL_MESSAGE_HEARTBEAT:
        fixture->fresh_heartbeats += message->heartbeat.fresh;
        fixture->stale_heartbeats += !message->heartbeat.fresh;
        break;
    case SL_MESSAGE_CONFIG:
        record_config_part(fixture, &message->config);
        break;
    case SL_MESSAGE_OBJECT:
        fixture->objects += !message->object.end;
        break;
    case SL_MESSAGE_TEXT:
        fixture->text_status = message->text.status;
        break;
    default:
        break;
    }
}

static inline void
fixture_start_node(struct control_fixture *fixture, uint32_t index)
{
    CU_ASSERT_EQUAL_FATAL(simulation_start_node(&fixture->simulation, index),
                          SL_OK);
    fixture->operator_link[index] =
        simulation_connect(&fixture->simulation, index, "operator", 0);
}

static inline struct control_fixture *
create_control_fixture(uint32_t nodes, uint64_t seed)
{
    struct control_fixture *fixture = calloc(1, sizeof(*fixture));

    simulation_create(&fixture->simulation, nodes, seed);
    fixture->simulation.on_outside_message = handle_outside_message;
    fixture->simulation.context = fixture;
    fixture->simulation.unreachable_us = UNREACHABLE_US;
    for (uint32_t i = 0; i < nodes; i++) {
        fixture_start_node(fixture, i);
    }
    CU_ASSERT_NOT_EQUAL_FATAL(
        simulation_await_leader(&fixture->simulation, 200), nodes);
    simulation_run(&fixture->simulation, 30);
    return fixture;
}

static inline void
destroy_control_fixture(struct control_fixture *fixture)
{
    simulation_destroy(&fixture->simulation);
    free(fixture);
}

/// Runs one step, with a heartbeat from every agent that is not silent.
static inline void
fixture_step(struct control_fixture *fixture)
{
    for (uint32_t i = 0; i < fixture->agent_count; i++) {
        struct SlMessage beat = {.kind = SL_MESSAGE_HEARTBEAT};

        if (!fixture->agents[i].is_silent &&
            !fixture->simulation.nodes[fixture->agents[i].control_index]
                 .is_partitioned) {
            simulation_send_message(&fixture->simulation,
                                    fixture->agents[i].control_index,
                                    fixture->agents[i].link, &beat);
        }
    }
    simulation_step(&fixture->simulation);
}

static inline void
fixture_run(struct control_fixture *fixture, uint32_t steps)
{
    for (uint32_t i = 0; i < steps; i++) {
        fixture_step(fixture);
    }
}

/// Raises the delay between nodes in steps, so that the leader stays.
static inline void
fixture_slow_down(struct control_fixture *fixture, uint64_t extra_delay_us)
{
    enum {
        DELAY_STEP_US = 10 * 1000,
        STEPS = 10
    };

    while (fixture->simulation.extra_delay_us < extra_delay_us) {
        fixture->simulation.extra_delay_us += DELAY_STEP_US;
        fixture_run(fixture, STEPS);
    }
}

static inline uint32_t
find_leader(struct control_fixture *fixture)
{
    uint32_t leader = simulation_await_leader(&fixture->simulation, 300);

    CU_ASSERT_NOT_EQUAL_FATAL(leader, fixture->simulation.count);
    return leader;
}

static inline const struct SlConfig *
config_at_node(const struct control_fixture *fixture, uint32_t index)
{
    return SlControl_Config(fixture->simulation.nodes[index].control);
}

static inline void
send_change(struct control_fixture *fixture, uint32_t index,
            const struct SlChange *change)
{
    struct SlMessage message = {.kind = SL_MESSAGE_CHANGE, .change = *change};

    simulation_send_message(&fixture->simulation, index,
                            fixture->operator_link[index], &message);
}

/// True when a result of the change arrived after the client had received
/// `before` results.
static inline bool
is_answered(const struct control_fixture *fixture,
            const struct SlChange *change, uint32_t before)
{
    return fixture->result_count[change->client] != before &&
           fixture->result_request[change->client] == change->request;
}

/// Sends a change to the leader until there is a result other than
/// SL_NOT_LEADER, at most 100 times.
static inline const struct SlResult *
request_change(struct control_fixture *fixture, const struct SlChange *change)
{
    struct SlResult *result = &fixture->results[change->client];

    for (uint32_t i = 0; i < 100; i++) {
        uint32_t before = fixture->result_count[change->client];

        send_change(fixture, find_leader(fixture), change);
        for (uint32_t j = 0; j < 40 && !is_answered(fixture, change, before);
             j++) {
            fixture_step(fixture);
        }
        if (is_answered(fixture, change, before) &&
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
connect_agent(struct control_fixture *fixture, uint32_t i)
{
    struct agent *agent = &fixture->agents[i];
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
    agent->link =
        simulation_connect(&fixture->simulation, agent->control_index,
                           agent->name, SL_ROLE_AGENT);
    simulation_send_message(&fixture->simulation, agent->control_index,
                            agent->link, &message);
}

/// Connects agents, evenly distributed over all control instances.
static inline void
connect_agents(struct control_fixture *fixture, uint32_t count)
{
    fixture->agent_count = count;
    for (uint32_t i = 0; i < count; i++) {
        snprintf(fixture->agents[i].name, SL_NAME_BYTES, "workroom-%u", i);
        fixture->agents[i].control_index = i % fixture->simulation.count;
        connect_agent(fixture, i);
    }
    fixture_run(fixture, 30);
}

static inline uint32_t
count_reachable(struct control_fixture *fixture)
{
    const struct SlConfig *config =
        config_at_node(fixture, find_leader(fixture));
    uint32_t count = 0;

    for (uint32_t i = 0; i < SlConfig_ObjectCount(config, SL_KIND_NODE); i++) {
        count += !SlConfig_ObjectAt(config, SL_KIND_NODE, i)->node.unreachable;
    }
    return count;
}

#endif
