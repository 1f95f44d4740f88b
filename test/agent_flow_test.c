/* Life cycle of a flow at the agents: it is opened, found from any agent, and
   ended. */

#include "agent_fixture.h"

static void
test_flow_opens_and_answers(void)
{
    struct fixture fx;
    uint32_t first = 0;

    fx_open(&fx, "workroom");
    fx.callers[4000].sends_request = true;
    fx_send_syn(&fx, 0, 4000);
    fx_run_for(&fx, 100000);
    CU_ASSERT_EQUAL(fx.callers[4000].answers, 1);
    CU_ASSERT_EQUAL(fx_count_receivers(&fx, 4000, &first), 1);
    CU_ASSERT_EQUAL(FX_TOTAL(&fx, open_flows), 1);
    fx_send_tcp(&fx, 1, 4000, SL_TCP_FIN | SL_TCP_ACK, 0);
    fx_run_for(&fx, 100000);
    CU_ASSERT_EQUAL(FX_TOTAL(&fx, open_flows), 0);
    CU_ASSERT_EQUAL(FX_TOTAL(&fx, exchanges), 0);
    fx_close(&fx);
}

/* An entry with an empty cache sends packets of a flow to each of the agents:
   they reach the holder. */
static void
test_packet_finds_holder_from_any_agent(void)
{
    struct fixture fx;
    uint32_t first = 0;

    fx_open(&fx, "workroom");
    fx_open_flows(&fx, 4000, 1, 10);
    for (uint32_t i = 0; i < 7; i++) {
        uint8_t out[SL_PACKET_ANSWER_BYTES];
        struct SlTcpSegment segment = {.source = fx.caller,
                                       .destination = fx.service,
                                       .flags = SL_TCP_ACK | SL_TCP_PSH,
                                       .seq = fx.callers[4000].sent,
                                       .ack = fx.callers[4000].received,
                                       .payload = out,
                                       .payload_bytes = 50};
        uint32_t length;

        segment.source.port = 4000;
        memset(out, 0, 50);
        length = SlPacket_BuildTcp(&segment, out + 64, sizeof(out) - 64);
        fx.callers[4000].sent += 50;
        fx_forward_packet(&fx, 1, fx.site.routing, fx.agents[i].node_id, 0,
                          out + 64, length);
        fx_run_for(&fx, 400000);
    }
    CU_ASSERT_EQUAL(fx.callers[4000].answers, 8);
    CU_ASSERT_EQUAL(fx_count_receivers(&fx, 4000, &first), 1);
    CU_ASSERT_EQUAL(fx.last_holder, fx.agents[first].node_id);
    CU_ASSERT_EQUAL(FX_TOTAL(&fx, flows_reset), 0);
    fx_close(&fx);
}

int
main(void)
{
    static const struct test_case CASES[] = {
        {"flow opens and answers", test_flow_opens_and_answers},
        {"packet reaches the holder from any agent",
         test_packet_finds_holder_from_any_agent},
    };

    return RUN_SUITE("agent flow", CASES);
}
