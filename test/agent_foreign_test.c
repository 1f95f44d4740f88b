/* A packet for one service never reaches an upstream of another: stale
   tables, stale caches, agents reassigned, addresses reused. */

#include "agent_fixture.h"

enum {
    PACKETS = 200000,
    PORTS = 400,
    TABLES = 12,
};

struct world {
    struct fixture fx;
    /// Every table so far, and the one that each agent holds.
    struct SlRouting *tables[TABLES];
    uint32_t table_count;
    uint32_t held[FX_AGENTS];
    uint64_t crossed;
};

static struct world *the_world;

/// Which service a caller means by an address, by a table.
static const struct SlRouteService *
meant(const struct SlRouting *routing, const struct SlPacket *packet)
{
    return SlRouting_FindService(routing, &packet->destination,
                                 packet->protocol);
}

/* The upstream may get the packet if its agent's own table gives the address
   to a service of this upstream, or the flow began under such a table. */
static void
check_delivery(struct SlSink *sink, const uint8_t *bytes, uint32_t length)
{
    struct fx_agent *agent = (struct fx_agent *)sink;
    struct world *world = the_world;
    uint32_t place = (uint32_t)(agent - world->fx.agents);
    const struct SlRouteService *now;
    struct SlPacket packet;
    bool allowed = false;

    CU_ASSERT_EQUAL_FATAL(SlPacket_Parse(bytes, length, &packet), SL_OK);
    now = meant(world->tables[world->held[place]], &packet);
    for (uint32_t i = 0; i <= world->held[place] && now != NULL; i++) {
        const struct SlRouteService *then = meant(world->tables[i], &packet);

        allowed |=
            then != NULL && then->service_id == now->service_id &&
            SlRouteService_MemberIndex(then, agent->node_id) != SL_NO_MEMBER;
    }
    agent->delivered++;
    world->crossed += !allowed && !(packet.tcp_flags & SL_TCP_RST);
    if (packet.kind == SL_PACKET_TCP &&
        (packet.tcp_flags & (SL_TCP_SYN | SL_TCP_RST)) == SL_TCP_SYN) {
        fx_upstream_tcp(agent, &packet);
    }
}

static void
add_table(struct world *world)
{
    world->fx.site.now_us = world->fx.now_us;
    site_build_routing(&world->fx.site);
    world->tables[world->table_count++] =
        SlRouting_Ref(world->fx.site.routing);
}

/// The service's address goes to a new service of the other group.
static void
reuse_address(struct world *world, const char *old, const char *name,
              const char *group)
{
    struct SlChange drop =
        site_make_change(SL_VERB_DELETE, SL_KIND_SERVICE, old);
    struct SlChange make =
        site_make_change(SL_VERB_CREATE, SL_KIND_SERVICE, name);

    site_apply_change(&world->fx.site, &drop);
    snprintf(make.object.selector, SL_SELECTOR_BYTES, "name=%s", group);
    SlAddress_Parse("198.51.100.1:80", &make.object.service.address);
    make.object.service.protocol = IPPROTO_TCP;
    site_apply_change(&world->fx.site, &make);
    add_table(world);
}

static void
relabel(struct world *world, const char *node, const char *app)
{
    struct SlChange change =
        site_make_change(SL_VERB_LABEL, SL_KIND_NODE, node);

    SlLabels_Set(&change.object.labels, "app", app);
    site_apply_change(&world->fx.site, &change);
    add_table(world);
}

static void
make_tables(struct world *world)
{
    world->tables[world->table_count++] =
        SlRouting_Ref(world->fx.site.routing);
    relabel(world, "workroom-2", "catalogue");
    relabel(world, "catalogue-1", "workroom");
    reuse_address(world, "workroom", "swatches", "catalogue");
    relabel(world, "workroom-2", "workroom");
    relabel(world, "workroom-4", "catalogue");
    reuse_address(world, "swatches", "orders", "workroom");
    relabel(world, "catalogue-1", "catalogue");
}

/// One TCP packet of a random kind, from an entry with a random table, to a
/// random agent.
static void
send_random(struct world *world)
{
    static const uint8_t FLAGS[] = {SL_TCP_SYN, SL_TCP_ACK,
                                    SL_TCP_ACK | SL_TCP_PSH,
                                    SL_TCP_FIN | SL_TCP_ACK};
    struct fixture *fx = &world->fx;
    uint32_t place = fx_random(fx) % FX_AGENTS;
    const struct SlRouting *routing =
        world->tables[fx_random(fx) % world->table_count];
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
    fx_forward(fx, fx_random(fx) % FX_ENTRIES, routing,
               fx->agents[place].node_id,
               fx_random(fx) % 2 ? SL_TUNNEL_CACHED : 0, out, length);
}

static void
advance_agent(struct world *world)
{
    struct fixture *fx = &world->fx;
    uint32_t place = fx_random(fx) % FX_AGENTS;

    if (world->held[place] + 1 < world->table_count) {
        world->held[place]++;
        SlAgent_SetRouting(fx->agents[place].agent, &fx->agents[place].sink,
                           fx->now_us, world->tables[world->held[place]]);
    }
}

static void
test_no_packet_crosses_services(void)
{
    static struct world world;
    struct SlSinkType type = FX_SINK;

    the_world = &world;
    type.send_to_upstream = check_delivery;
    fx_open(&world.fx, "workroom");
    world.fx.random = 99;
    make_tables(&world);
    for (uint32_t i = 0; i < FX_AGENTS; i++) {
        world.fx.agents[i].sink.type = &type;
    }
    for (uint32_t i = 0; i < PACKETS; i++) {
        send_random(&world);
        if (i % 2000 == 0) {
            advance_agent(&world);
        }
        fx_run(&world.fx, 200);
    }
    printf("%u random packets: %lu crossed services, %lu delivered, "
           "%lu foreign\n",
           PACKETS, (unsigned long)world.crossed,
           (unsigned long)FX_TOTAL(&world.fx, delivered),
           (unsigned long)FX_TOTAL(&world.fx, foreign));
    CU_ASSERT_EQUAL(world.crossed, 0);
    CU_ASSERT(FX_TOTAL(&world.fx, delivered) > 1000);
    CU_ASSERT(FX_TOTAL(&world.fx, foreign) > 1000);
    fx_close(&world.fx);
    for (uint32_t i = 0; i < world.table_count; i++) {
        SlRouting_Unref(world.tables[i]);
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
