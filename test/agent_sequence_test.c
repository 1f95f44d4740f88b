/* Sequence numbers: which packets belong to a flow, and which flows have
   become silent. */

#include "agent_fixture.h"

enum {
    PORT = 4000,
};

/// Sends a TCP segment with the given sequence numbers to a node (0: the
/// bucket's home).
static void
send_segment(struct fixture *fx, uint64_t node_id, uint32_t tunnel_flags,
             uint8_t flags, uint32_t seq, uint32_t ack, uint32_t payload_bytes)
{
    static const uint8_t PAYLOAD[100];
    struct SlTcpSegment segment = {.source = fx->caller,
                                   .destination = fx->service,
                                   .flags = flags,
                                   .seq = seq,
                                   .ack = ack,
                                   .payload = PAYLOAD,
                                   .payload_bytes = payload_bytes};
    uint8_t out[SL_PACKET_ANSWER_BYTES];
    uint32_t length;

    segment.source.port = PORT;
    length = SlPacket_BuildTcp(&segment, out, sizeof(out));
    fx_forward_packet(fx, 2, fx->site.routing, node_id, tunnel_flags, out,
                      length);
    fx_run_for(fx, 300000);
}

static void
open_and_close(struct fixture *fx)
{
    fx_open_flows(fx, PORT, 1, 10);
    CU_ASSERT_EQUAL(fx->callers[PORT].answers, 1);
    fx_send_tcp(fx, 0, PORT, SL_TCP_FIN | SL_TCP_ACK, 0);
    fx_run_for(fx, 100000);
    CU_ASSERT_EQUAL(FX_TOTAL(fx, open_flows), 0);
    for (uint32_t i = 0; i < fx->agent_count; i++) {
        fx->agents[i].connections[PORT].open = false;
    }
}

/* A new flow with the addresses and ports of an ended one opens, and a late
   packet of the ended flow is not delivered to it. */
static void
test_late_packet_is_not_delivered_to_new_flow(void)
{
    struct fixture fx;
    struct fx_agent *holder;
    uint32_t old_seq;
    uint32_t old_ack;
    uint64_t delivered;

    fx_open(&fx, "workroom");
    open_and_close(&fx);
    old_seq = fx.callers[PORT].isn + 1;
    old_ack = fx.callers[PORT].received;
    fx.callers[PORT].isn += 500000;
    fx.callers[PORT].open = false;
    fx.callers[PORT].answers = 0;
    fx_open_flows(&fx, PORT, 1, 10);
    CU_ASSERT_EQUAL(fx.callers[PORT].answers, 1);
    holder = fx_find_holder(&fx, PORT);
    CU_ASSERT_PTR_NOT_NULL_FATAL(holder);
    delivered = holder->delivered;
    send_segment(&fx, 0, 0, SL_TCP_ACK | SL_TCP_PSH, old_seq, old_ack, 50);
    send_segment(&fx, 0, 0, SL_TCP_RST, old_seq, 0, 0);
    CU_ASSERT_EQUAL(holder->delivered, delivered);
    fx_send_request(&fx, 1, PORT);
    fx_run_for(&fx, 100000);
    CU_ASSERT_EQUAL(fx.callers[PORT].answers, 2);
    fx_close(&fx);
}

/* A SYN whose sequence number lies before the end of the earlier flow cannot
   be told apart from a late copy: it is refused while the earlier flow is
   remembered. */
static void
test_new_flow_with_overlapping_sequence_is_refused(void)
{
    struct fixture fx;
    uint32_t isn;

    fx_open(&fx, "workroom");
    open_and_close(&fx);
    isn = fx.callers[PORT].isn;
    fx.callers[PORT] = (struct fx_caller){.isn = isn - 1000};
    fx_send_syn(&fx, 0, PORT);
    fx_run_for(&fx, 300000);
    CU_ASSERT(fx.callers[PORT].refused);
    CU_ASSERT_PTR_NULL(fx_find_holder(&fx, PORT));
    fx_run_for(&fx, 65 * FX_SECOND_US);
    fx.callers[PORT] = (struct fx_caller){.isn = isn - 1000};
    fx_open_flows(&fx, PORT, 1, 10);
    CU_ASSERT_EQUAL(fx.callers[PORT].answers, 1);
    fx_close(&fx);
}

/* The new flow is admitted by another agent than the one that held the earlier
   flow; the earlier flow's last sequence number is passed on with it. */
static void
test_new_flow_at_another_agent(void)
{
    struct fixture fx;
    struct fx_agent *holder;
    struct fx_agent *next;
    uint64_t delivered;
    uint32_t old_seq;

    fx_open(&fx, "workroom");
    open_and_close(&fx);
    old_seq = fx.callers[PORT].isn + 1;
    holder = NULL;
    for (uint32_t i = 0; i < 7; i++) {
        struct SlAgentCounters counters;

        SlAgent_Counters(fx.agents[i].agent, &counters);
        holder = counters.flows_admitted != 0 ? &fx.agents[i] : holder;
    }
    CU_ASSERT_PTR_NOT_NULL_FATAL(holder);
    site_change_hold(&fx.site, SL_VERB_HOLD, SL_KIND_NODE, holder->name);
    fx_publish_routing(&fx, NULL);
    fx.callers[PORT].isn += 500000;
    fx.callers[PORT].open = false;
    fx_open_flows(&fx, PORT, 1, 10);
    next = fx_find_holder(&fx, PORT);
    CU_ASSERT_PTR_NOT_NULL_FATAL(next);
    CU_ASSERT_PTR_NOT_EQUAL(next, holder);
    delivered = next->delivered;
    send_segment(&fx, 0, 0, SL_TCP_ACK | SL_TCP_PSH, old_seq,
                 fx.callers[PORT].received, 50);
    CU_ASSERT_EQUAL(next->delivered, delivered);
    fx_send_request(&fx, 1, PORT);
    fx_run_for(&fx, 100000);
    CU_ASSERT_EQUAL(fx.callers[PORT].answers, 3);
    fx_close(&fx);
}

/* The caller does not get the upstream's SYN-ACK until the agent's handshake
   timeout has passed: its next SYN must still open the flow. */
static void
test_late_syn_opens_flow_again(void)
{
    struct fixture fx;

    fx_open(&fx, "workroom");
    fx.callers[PORT].sends_request = true;
    fx.callers[PORT].ignores_packets = true;
    fx_send_syn(&fx, 0, PORT);
    fx_run_for(&fx, 7 * FX_SECOND_US);
    CU_ASSERT_EQUAL(FX_TOTAL(&fx, open_flows), 0);
    CU_ASSERT_PTR_NULL(fx_find_holder(&fx, PORT));
    fx.callers[PORT].ignores_packets = false;
    fx_send_syn(&fx, 1, PORT);
    fx_run_for(&fx, FX_SECOND_US);
    CU_ASSERT_FALSE(fx.callers[PORT].refused);
    CU_ASSERT_EQUAL(fx.callers[PORT].answers, 1);
    fx_close(&fx);
}

/* A reset with a guessed sequence number must not end a flow. */
static void
test_blind_reset_is_ignored(void)
{
    struct fixture fx;

    fx_open(&fx, "workroom");
    fx_open_flows(&fx, PORT, 1, 10);
    send_segment(&fx, 0, 0, SL_TCP_RST, fx.callers[PORT].sent + 40000000, 0,
                 0);
    CU_ASSERT_EQUAL(FX_TOTAL(&fx, open_flows), 1);
    fx_close(&fx);
}

/// Retransmits the caller's last request.
static void
repeat_request(struct fixture *fx)
{
    fx->callers[PORT].sent -= 50;
    fx_send_request(fx, 0, PORT);
}

/* The upstream's side of a flow disappears without a reset: the agent detects
   this within the silence time and resets both ends, and idle flows of the
   same upstream survive. */
static void
test_silent_flow_is_reset(void)
{
    struct fixture fx;
    struct fx_agent *holder;
    uint32_t live = 0;

    fx_open(&fx, "workroom");
    fx_open_flows(&fx, PORT, 200, 200);
    fx_run_for(&fx, 3600 * FX_SECOND_US);
    holder = fx_find_holder(&fx, PORT);
    CU_ASSERT_PTR_NOT_NULL_FATAL(holder);
    holder->upstream_silent = true;
    fx_send_request(&fx, 0, PORT);
    for (uint32_t i = 0; i < 6; i++) {
        fx_run_for(&fx, (200000 << i));
        repeat_request(&fx);
    }
    CU_ASSERT(fx.callers[PORT].open);
    fx_run_for(&fx, 4 * FX_SECOND_US);
    CU_ASSERT(fx.callers[PORT].reset);
    CU_ASSERT_EQUAL(FX_TOTAL(&fx, flows_silent), 1);
    holder->upstream_silent = false;
    for (uint16_t port = PORT + 1; port < PORT + 200; port++) {
        fx_send_request(&fx, 0, port);
        fx_run_for(&fx, 5000);
    }
    fx_run_for(&fx, FX_SECOND_US);
    for (uint16_t port = PORT + 1; port < PORT + 200; port++) {
        live += fx.callers[port].answers == 2;
    }
    CU_ASSERT_EQUAL(live, 199);
    fx_close(&fx);
}

/* The opposite direction: the caller no longer receives what the upstream
   sends. */
static void
test_silent_caller_is_reset(void)
{
    struct fixture fx;
    struct fx_agent *holder;
    struct SlPacket template;
    struct SlTcpSegment segment = {.flags = SL_TCP_ACK};
    uint8_t out[SL_PACKET_ANSWER_BYTES];

    fx_open(&fx, "workroom");
    fx_open_flows(&fx, PORT, 1, 10);
    holder = fx_find_holder(&fx, PORT);
    CU_ASSERT_PTR_NOT_NULL_FATAL(holder);
    segment.source = fx.caller;
    segment.source.port = PORT;
    segment.destination = fx.service;
    SlPacket_Parse(out, SlPacket_BuildTcp(&segment, out, sizeof(out)),
                   &template);
    fx.callers[PORT].received += 1000000;
    fx_upstream_send_tcp(holder, &template, SL_TCP_ACK, 100, 0);
    for (uint32_t i = 0; i < 6; i++) {
        fx_run_for(&fx, (200000 << i));
        holder->connections[PORT].sent -= 100;
        fx_upstream_send_tcp(holder, &template, SL_TCP_ACK, 100, 0);
    }
    fx_run_for(&fx, 4 * FX_SECOND_US);
    CU_ASSERT_EQUAL(FX_TOTAL(&fx, flows_silent), 1);
    CU_ASSERT_FALSE(holder->connections[PORT].open);
    fx_close(&fx);
}

/* Only the last acknowledgement was lost, and neither side sends more: the
   flow must not count as silent. */
static void
test_lost_acknowledgement_is_not_silence(void)
{
    struct fixture fx;
    struct fx_agent *holder;

    fx_open(&fx, "workroom");
    fx_open_flows(&fx, PORT, 1, 10);
    holder = fx_find_holder(&fx, PORT);
    CU_ASSERT_PTR_NOT_NULL_FATAL(holder);
    holder->upstream_silent = true;
    fx_send_request(&fx, 0, PORT);
    for (uint32_t i = 0; i < 3; i++) {
        fx_run_for(&fx, 200000);
        repeat_request(&fx);
    }
    fx_run_for(&fx, 60 * FX_SECOND_US);
    CU_ASSERT_EQUAL(FX_TOTAL(&fx, flows_silent), 0);
    CU_ASSERT(fx.callers[PORT].open);
    fx_close(&fx);
}

/* An ICMP error about a flow reaches the agent that holds the flow. */
static void
test_icmp_error_finds_its_flow(void)
{
    struct fixture fx;
    struct fx_agent *holder;
    struct SlTcpSegment segment = {.flags = SL_TCP_ACK};
    struct SlPacket quoted;
    uint8_t sent[SL_PACKET_ANSWER_BYTES];
    uint8_t out[SL_PACKET_ANSWER_BYTES];
    uint32_t length;
    uint64_t delivered;

    fx_open(&fx, "workroom");
    fx_open_flows(&fx, PORT, 1, 10);
    holder = fx_find_holder(&fx, PORT);
    CU_ASSERT_PTR_NOT_NULL_FATAL(holder);
    delivered = holder->delivered;
    segment.source = fx.service;
    segment.destination = fx.caller;
    segment.destination.port = PORT;
    length = SlPacket_BuildTcp(&segment, sent, sizeof(sent));
    CU_ASSERT_EQUAL(SlPacket_Parse(sent, length, &quoted), SL_OK);
    length =
        SlPacket_BuildIcmp(&quoted, SL_ICMP_TOO_BIG, 1300, out, sizeof(out));
    for (uint32_t i = 0; i < 7; i++) {
        struct SlTunnel tunnel = {.kind = SL_TUNNEL_FORWARD,
                                  .sender = fx.entries[0],
                                  .origin_entry = fx.entries[0],
                                  .packet_bytes = length};

        tunnel.version = SlRouting_Version(fx.site.routing);
        fx_post_message(&fx, FX_TUNNEL, i, &tunnel, out, length,
                        FX_LATENCY_US);
        fx_run_for(&fx, 300000);
    }
    CU_ASSERT_EQUAL(holder->delivered, delivered + 7);
    CU_ASSERT_EQUAL(FX_TOTAL(&fx, packets_delivered), delivered + 7);
    fx_close(&fx);
}

/* A UDP flow keeps its upstream while it is active, and ends when it is idle.
 */
static void
test_udp_flow(void)
{
    struct fixture fx;
    uint32_t first = 0;
    uint32_t second = 0;

    fx_open(&fx, "catalogue");
    for (uint32_t i = 0; i < 50; i++) {
        fx_send_udp(&fx, i % FX_ENTRIES, fx.site.routing,
                    fx.agents[7 + i % 4].node_id, PORT);
        fx_run_for(&fx, 300000);
    }
    CU_ASSERT_EQUAL(fx.callers[PORT].answers, 50);
    CU_ASSERT_EQUAL(fx_count_receivers(&fx, PORT, &first), 1);
    CU_ASSERT_EQUAL(FX_TOTAL(&fx, open_flows), 1);
    fx_run_for(&fx, 61 * FX_SECOND_US);
    CU_ASSERT_EQUAL(FX_TOTAL(&fx, open_flows), 0);
    CU_ASSERT_EQUAL(fx_count_receivers(&fx, PORT, &second), 1);
    CU_ASSERT_EQUAL(first, second);
    fx_close(&fx);
}

int
main(void)
{
    static const struct test_case CASES[] = {
        {"late packet of an ended flow is not delivered to a new flow",
         test_late_packet_is_not_delivered_to_new_flow},
        {"new flow whose sequence numbers overlap an ended flow is refused",
         test_new_flow_with_overlapping_sequence_is_refused},
        {"new flow with the key of an ended flow at another agent",
         test_new_flow_at_another_agent},
        {"late SYN opens the flow again", test_late_syn_opens_flow_again},
        {"blind reset is ignored", test_blind_reset_is_ignored},
        {"silent flow is reset", test_silent_flow_is_reset},
        {"silent caller is reset", test_silent_caller_is_reset},
        {"lost acknowledgement is not silence",
         test_lost_acknowledgement_is_not_silence},
        {"ICMP error finds its flow", test_icmp_error_finds_its_flow},
        {"UDP flow ends when it is idle", test_udp_flow},
    };

    return RUN_SUITE("agent sequence", CASES);
}
