/* A process with the entry role: it routes by the configuration from control,
   and its datagrams carry a flag when control has become silent. */

#include <urcu.h>

#include "capture_sink.h"
#include "savoryledge/coordination/node.h"
#include "site.h"

enum {
    LINK = 7,
    OBJECTS_MAX = 32,
    SECOND_US = 1000 * 1000,
};

static uint64_t now_us = SECOND_US;

static void
handle_input(struct SlNode *node, struct capture *out, struct SlInput input)
{
    struct SlInput end = {.kind = SL_INPUT_BATCH_END, .now_us = now_us};

    input.now_us = now_us;
    SlNode_HandleInput(node, &out->sink, &input);
    SlNode_HandleInput(node, &out->sink, &end);
}

static void
run_ticks(struct SlNode *node, struct capture *out, uint64_t duration_us)
{
    for (uint64_t end_us = now_us + duration_us; now_us < end_us;
         now_us += SL_TICK_US) {
        handle_input(node, out, (struct SlInput){.kind = SL_INPUT_TICK});
    }
}

/// Sends the whole configuration as control does.
static void
send_config(struct SlNode *node, struct capture *out, const struct site *site)
{
    static struct SlObject objects[OBJECTS_MAX];
    struct SlMessage message = {.kind = SL_MESSAGE_CONFIG};

    message.config =
        (struct SlConfigPart){.to = SlConfig_Version(site->config),
                              .full = true,
                              .first = true,
                              .last = true,
                              .fresh = true,
                              .objects = objects};
    for (int kind = SL_KIND_ZONE; kind < SL_KIND_COUNT; kind++) {
        for (uint32_t i = 0;
             i < SlConfig_ObjectCount(site->config, (enum SlKind)kind); i++) {
            CU_ASSERT_FATAL(message.config.object_count < OBJECTS_MAX);
            objects[message.config.object_count++] =
                *SlConfig_ObjectAt(site->config, (enum SlKind)kind, i);
        }
    }
    handle_input(node, out,
                 (struct SlInput){.kind = SL_INPUT_MESSAGE,
                                  .link = LINK,
                                  .message = &message});
}

static void
send_syn(struct SlNode *node, struct capture *out)
{
    struct SlTcpSegment segment = {.flags = SL_TCP_SYN};
    uint8_t bytes[128];
    struct SlInput input = {.kind = SL_INPUT_CALLER_PACKET};

    SlAddress_Parse("192.0.2.9:4000", &segment.source);
    SlAddress_Parse("198.51.100.1:80", &segment.destination);
    input.packet.bytes = bytes;
    input.packet.length_bytes =
        SlPacket_BuildTcp(&segment, bytes, sizeof(bytes));
    handle_input(node, out, input);
}

static struct SlNode *
create_entry(void)
{
    struct SlNodeOptions options = {
        .core = {.name = "entry-1", .zone = "a", .roles = SL_ROLE_ENTRY},
        .replica = {.control_count = 1,
                    .control_ids = {SlNode_Id("control-1")},
                    .announce = {.kind = SL_KIND_NODE, .name = "entry-1"}}};
    struct SlNode *node = NULL;

    options.replica.announce.node.node_id = SlNode_Id("entry-1");
    options.replica.announce.node.roles = SL_ROLE_ENTRY;
    CU_ASSERT_EQUAL_FATAL(SlNode_Create(&options, now_us, &node, NULL), SL_OK);
    return node;
}

static void
test_datagrams_report_lost_control(void)
{
    struct site site;
    struct capture out;
    struct SlPeer control = {.node_id = SlNode_Id("control-1"),
                             .name = "control-1",
                             .roles = SL_ROLE_CONTROL};
    struct SlNode *node = create_entry();

    site_create(&site);
    capture_open(&out);
    run_ticks(node, &out, 100 * 1000);
    handle_input(node, &out,
                 (struct SlInput){.kind = SL_INPUT_LINK_UP,
                                  .link = LINK,
                                  .peer = &control});
    send_config(node, &out, &site);
    run_ticks(node, &out, 100 * 1000);
    send_syn(node, &out);
    CU_ASSERT_EQUAL(out.tunnels, 1);
    CU_ASSERT_EQUAL(out.tunnel.flags, 0);
    CU_ASSERT_EQUAL(
        SlVersion_Compare(out.tunnel.version, SlConfig_Version(site.config)),
        0);
    run_ticks(node, &out, UINT64_C(2) * SECOND_US);
    send_syn(node, &out);
    CU_ASSERT_EQUAL(out.tunnels, 2);
    CU_ASSERT_EQUAL(out.tunnel.flags & SL_TUNNEL_CUT_OFF, SL_TUNNEL_CUT_OFF);
    SlNode_Destroy(node);
    site_destroy(&site);
}

int
main(void)
{
    static const struct test_case CASES[] = {
        {"datagrams carry a flag after control becomes silent",
         test_datagrams_report_lost_control},
    };
    int result;

    rcu_register_thread();
    result = RUN_SUITE("node with an entry", CASES);
    rcu_unregister_thread();
    return result;
}
