/* A packet for one service must never reach an upstream of another service,
   whatever causes it to be misrouted: stale tables, stale caches, reassigned
   agents or reused addresses. */

#include "agent_fixture.h"

enum {
    PACKETS = 200000,
    PORTS = 400,
    TABLES = 12,
};

struct simulation {
    struct fixture fx;
    /// All routing tables so far, and the index of the table that each agent
    /// has.
    struct SlRouting *tables[TABLES];
    uint32_t table_count;
    uint32_t table_index[FX_AGENTS];
    uint64_t crossed_packets;
};

static struct simulation *current_simulation;

/// Returns the service that has the packet's destination address in a routing
/// table.
static const struct SlRouteService *
find_service(const struct SlRouting *routing, const struct SlPacket *packet)
{
    return SlRouting_FindService(routing, &packet->destination,
                                 packet->protocol);
}

/* A delivery is allowed if the agent's current table maps the address to a
   service of this upstream, or mapped it to the same service, with this
   upstream, when the flow began. */
static void
check_delivery(struct SlSink *sink, const uint8_t *bytes, uint32_t length)
{
    struct fx_agent *agent = (struct fx_agent *)sink;
    struct simulation *simulation = current_simulation;
    uint32_t index = (uint32_t)(agent - simulation->fx.agents);
    const struct SlRouteService *current;
    struct SlPacket packet;
    bool allowed = false;

    CU_ASSERT_EQUAL_FATAL(SlPacket_Parse(bytes, length, &packet), SL_OK);
    current = find_service(simulation->tables[simulation->table_index[index]],
                           &packet);
    for (uint32_t i = 0;
         i <= simulation->table_index[index] && current != NULL; i++) {
        const struct SlRouteService *earlier =
            find_service(simulation->tables[i], &packet);

        allowed |= earlier != NULL &&
                   earlier->service_id == current->service_id &&
                   SlRouteService_MemberIndex(earlier, agent->node_id) !=
                       SL_NO_MEMBER;
    }
    agent->delivered++;
    simulation->crossed_packets +=
        !allowed && !(packet.tcp_flags & SL_TCP_RST);
    if (packet.kind == SL_PACKET_TCP &&
        (packet.tcp_flags & (SL_TCP_SYN | SL_TCP_RST)) == SL_TCP_SYN) {
        fx_upstream_handle_tcp(agent, &packet);
    }
}

static void
add_table(struct simulation *simulation)
{
    simulation->fx.site.now_us = simulation->fx.now_us;
    site_build_routing(&simulation->fx.site);
    simulation->tables[simulation->table_count++] =
        SlRouting_Ref(simulation->fx.site.routing);
}

/// Moves the address of the service old to a new service with the selector of
/// another group.
static void
move_address(struct simulation *simulation, const char *old, const char *name,
             const char *group)
{
    struct SlChange deletion =
        site_make_change(SL_VERB_DELETE, SL_KIND_SERVICE, old);
    struct SlChange creation =
        site_make_change(SL_VERB_CREATE, SL_KIND_SERVICE, name);

    site_apply_change(&simulation->fx.site, &deletion);
    snprintf(creation.object.selector, SL_SELECTOR_BYTES, "name=%s", group);
    SlAddress_Parse("198.51.100.1:80", &creation.object.service.address);
    creation.object.service.protocol = IPPROTO_TCP;
    site_apply_change(&simulation->fx.site, &creation);
    add_table(simulation);
}

static void
set_app_label(struct simulation *simulation, const char *node, const char *app)
{
    struct SlChange change =
        site_make_change(SL_VERB_LABEL, SL_KIND_NODE, node);

    SlLabels_Set(&change.object.labels, "app", app);
    site_apply_change(&simulation->fx.site, &change);
    add_table(simulation);
}

static void
build_tables(struct simulation *simulation)
{
    simulation->tables[simulation->table_count++] =
        SlRouting_Ref(simulation->fx.site.routing);
    set_app_label(simulation, "workroom-2", "catalogue");
    set_app_label(simulation, "catalogue-1", "workroom");
    move_address(simulation, "workroom", "swatches", "catalogue");
    set_app_label(simulation, "workroom-2", "workroom");
    set_app_label(simulation, "workroom-4", "catalogue");
    move_address(simulation, "swatches", "orders", "workroom");
    set_app_label(simulation, "catalogue-1", "catalogue");
}

/// Sends one TCP packet of a random kind, from an entry with a random table,
/// to a random agent.
static void
send_random_packet(struct simulation *simulation)
{
    static const uint8_t FLAGS[] = {SL_TCP_SYN, SL_TCP_ACK,
                                    SL_TCP_ACK | SL_TCP_PSH,
                                    SL_TCP_FIN | SL_TCP_ACK};
    struct fixture *fx = &simulation->fx;
    uint32_t index = fx_random(fx) % FX_AGENTS;
    const struct SlRouting *routing =
        simulation->tables[fx_random(fx) % simulation->table_count];
    struct SlTcpSegment segment = {.source = fx->caller,
                                   .flags = FLAGS[fx_random(fx) % 4],
                                   .seq = fx_random(fx),
                                   .ack = fx_random(fx),
                                   .payload = (const uint8_t *)"order",
                                   .payload_bytes = fx_random(fx) % 2 * 5};
    uint8_t out[SL_PACKET_ANSWER_BYTES];
    uint32_t length;

    SlAddress_Parse("198.51.100.1:80", &segment.destination);
    segment.source.port = (uint16_t)(2000 + fx_random(fx) % PORTS);
    length = SlPacket_BuildTcp(&segment, out, sizeof(out));
    fx_forward_packet(fx, fx_random(fx) % FX_ENTRIES, routing,
                      fx->agents[index].node_id,
                      fx_random(fx) % 2 ? SL_TUNNEL_CACHED : 0, out, length);
}

static void
advance_agent(struct simulation *simulation)
{
    struct fixture *fx = &simulation->fx;
    uint32_t index = fx_random(fx) % FX_AGENTS;

    if (simulation->table_index[index] + 1 < simulation->table_count) {
        simulation->table_index[index]++;
        SlAgent_SetRouting(fx->agents[index].agent, &fx->agents[index].sink,
                           fx->now_us,
                           simulation->tables[simulation->table_index[index]]);
    }
}

static void
test_no_packet_crosses_services(void)
{
    static struct simulation simulation;
    struct SlSinkType type = FX_SINK;

    current_simulation = &simulation;
    type.send_to_upstream = check_delivery;
    fx_open(&simulation.fx, "workroom");
    simulation.fx.random = 99;
    build_tables(&simulation);
    for (uint32_t i = 0; i < FX_AGENTS; i++) {
        simulation.fx.agents[i].sink.type = &type;
    }
    for (uint32_t i = 0; i < PACKETS; i++) {
        send_random_packet(&simulation);
        if (i % 2000 == 0) {
            advance_agent(&simulation);
        }
        fx_run_for(&simulation.fx, 200);
    }
    printf("%u random packets: %lu crossed services, %lu delivered, "
           "%lu foreign\n",
           PACKETS, (unsigned long)simulation.crossed_packets,
           (unsigned long)FX_TOTAL(&simulation.fx, packets_delivered),
           (unsigned long)FX_TOTAL(&simulation.fx, packets_foreign));
    CU_ASSERT_EQUAL(simulation.crossed_packets, 0);
    CU_ASSERT(FX_TOTAL(&simulation.fx, packets_delivered) > 1000);
    CU_ASSERT(FX_TOTAL(&simulation.fx, packets_foreign) > 1000);
    fx_close(&simulation.fx);
    for (uint32_t i = 0; i < simulation.table_count; i++) {
        SlRouting_Unref(simulation.tables[i]);
    }
}

int
main(void)
{
    static const struct test_case CASES[] = {
        {"no packet crosses services", test_no_packet_crosses_services},
    };

    return RUN_SUITE("agent foreign", CASES);
}
