/* Answers of an upstream that come in fragments: all of a known flow's go to
   the caller as they are, no others do. */

#include "capture_sink.h"
#include "fragments.h"
#include "savoryledge/coordination/agent.h"
#include "site.h"

enum {
    ANSWER_BYTES = 3000,
    PIECE_BYTES = 1208,
    SECOND_US = 1000 * 1000,
};

struct bench {
    struct site site;
    struct SlAgent *agent;
    struct capture out;
    uint64_t now_us;
    struct SlAddress caller;
    struct SlAddress service;
};

static void
give(struct bench *bench, struct SlInput input)
{
    input.now_us = bench->now_us;
    SlAgent_Handle(bench->agent, &bench->out.sink, &input);
}

/* One agent serves alone, so that nobody has to be asked. */
static void
open_bench(struct bench *bench)
{
    struct SlAgentOptions options = {
        .core = {.name = "solo-0", .zone = "a", .roles = SL_ROLE_AGENT},
        .slots = 3,
        .capacity_flows = 100};
    struct SlChange entry = site_make_announcement("entry-1", "a", "none", 0);

    memset(bench, 0, sizeof(*bench));
    site_create(&bench->site);
    site_add_service(&bench->site, "solo", "198.51.100.9:53", IPPROTO_UDP);
    site_announce_agent(&bench->site, "solo-0", "a", "solo", 100);
    entry.object.node.roles = SL_ROLE_ENTRY;
    site_apply_change(&bench->site, &entry);
    site_build_routing(&bench->site);
    capture_open(&bench->out);
    bench->now_us = 100 * (uint64_t)SECOND_US;
    bench->agent = SlAgent_Create(&options, bench->now_us);
    CU_ASSERT_PTR_NOT_NULL_FATAL(bench->agent);
    SlAgent_SetRouting(bench->agent, &bench->out.sink, bench->now_us,
                       bench->site.routing);
    SlAddress_Parse("192.0.2.9:4000", &bench->caller);
    SlAddress_Parse("198.51.100.9:53", &bench->service);
}

static void
close_bench(struct bench *bench)
{
    SlAgent_Destroy(bench->agent);
    site_destroy(&bench->site);
}

static void
ask(struct bench *bench)
{
    uint8_t bytes[256];
    struct SlTunnel forward = {.kind = SL_TUNNEL_FORWARD,
                               .sender = SlNode_Id("entry-1"),
                               .version =
                                   SlRouting_Version(bench->site.routing),
                               .service_id = SlService_Id("solo"),
                               .origin_entry = SlNode_Id("entry-1"),
                               .packet = bytes};

    forward.packet_bytes =
        SlPacket_BuildUdp(&bench->caller, &bench->service,
                          (const uint8_t *)"hello", 5, bytes, sizeof(bytes));
    give(bench, (struct SlInput){.kind = SL_INPUT_TUNNEL, .tunnel = &forward});
}

static uint32_t
cut_answer(struct bench *bench, uint32_t id,
           struct fragment pieces[FRAGMENTS_MAX])
{
    static const uint8_t ANSWER[ANSWER_BYTES];
    uint8_t packet[SL_PACKET_MTU_BYTES];
    uint32_t length =
        SlPacket_BuildUdp(&bench->service, &bench->caller, ANSWER,
                          sizeof(ANSWER), packet, sizeof(packet));

    return fragment_packet(packet, length, PIECE_BYTES, id, pieces);
}

static void
give_piece(struct bench *bench, const struct fragment *piece)
{
    struct SlInput input = {.kind = SL_INPUT_UPSTREAM_PACKET};

    input.packet.bytes = piece->bytes;
    input.packet.length_bytes = piece->length_bytes;
    give(bench, input);
}

static void
test_fragments_follow_their_first(void)
{
    struct bench bench;
    struct fragment pieces[FRAGMENTS_MAX];

    open_bench(&bench);
    ask(&bench);
    CU_ASSERT_EQUAL_FATAL(cut_answer(&bench, 7, pieces), 3);
    for (uint32_t i = 0; i < 3; i++) {
        uint32_t before = bench.out.tunnels;

        give_piece(&bench, &pieces[i]);
        CU_ASSERT_EQUAL(bench.out.tunnels, before + 1);
        CU_ASSERT_EQUAL(bench.out.tunnel.kind, SL_TUNNEL_RETURN);
        CU_ASSERT_EQUAL(bench.out.tunnel_to, SlNode_Id("entry-1"));
        CU_ASSERT_EQUAL(bench.out.tunnel.packet_bytes, pieces[i].length_bytes);
        CU_ASSERT_EQUAL(memcmp(bench.out.tunnel_packet, pieces[i].bytes,
                               pieces[i].length_bytes),
                        0);
    }
    close_bench(&bench);
}

/* Without a first fragment, with another datagram's, or too late: dropped. */
static void
test_others_are_dropped(void)
{
    struct bench bench;
    struct fragment pieces[FRAGMENTS_MAX];
    struct fragment others[FRAGMENTS_MAX];
    uint32_t before;

    open_bench(&bench);
    ask(&bench);
    cut_answer(&bench, 7, pieces);
    cut_answer(&bench, 8, others);
    before = bench.out.tunnels;
    give_piece(&bench, &pieces[1]);
    CU_ASSERT_EQUAL(bench.out.tunnels, before);
    give_piece(&bench, &pieces[0]);
    before = bench.out.tunnels;
    give_piece(&bench, &others[1]);
    CU_ASSERT_EQUAL(bench.out.tunnels, before);
    bench.now_us += 2 * (uint64_t)SECOND_US;
    give_piece(&bench, &pieces[2]);
    CU_ASSERT_EQUAL(bench.out.tunnels, before);
    close_bench(&bench);
}

int
main(void)
{
    static const struct test_case CASES[] = {
        {"fragments follow their first", test_fragments_follow_their_first},
        {"others are dropped", test_others_are_dropped},
    };

    return RUN_SUITE("agent fragments", CASES);
}
