#ifndef REVIEW_SITE_H
#define REVIEW_SITE_H

/// A small site on loopback addresses: the project's processes, started with
/// the commands and templates of the deploy file, and stand-ins for the
/// platform, the endpoints, the clients and the operator. One thread runs all
/// stand-ins; pump() gives them their turn.

#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <sys/types.h>

enum {
    MACHINES_MAX = 56,
    ENDPOINTS_MAX = 48,
    ENDPOINT_FLOWS_MAX = 64,
    FLOWS_MAX = 256,
    SEEDS_MAX = 3,
    TEXT_BYTES = 128,
    PACKET_BYTES = 1236,
    HEAD_BYTES = 36,
    /// Bounds of the small deployments.
    HEARTBEAT_MS = 1200,
    CONTACT_MS = 4000,
    COLD_START_MS = 2000,
    RESTART_DELAY_MS = 150,
    /// Ports of every machine.
    PORT_FIRST = 7720,
    PORT_LAST = 7735,
    PORT_CONTROL = 8166,
    PORT_READY = 8167,
    PORT_PACKETS = 8172,
    PORT_OUTBOUND = 8175,
    PORT_APP = 8360,
    PORT_METRICS = 9465,
    ROUTE_PORT = 8443,
};

struct machine {
    char ip[32];
    char zone[32];
    char service[32];
    bool has_disk;
    bool bootstrap;
    char folder[2 * TEXT_BYTES];
    pid_t entry;
    pid_t control;
    pid_t agent;
};

struct endpoint_flow {
    bool used;
    bool open;
    uint32_t client_ip;
    uint16_t client_port;
    uint32_t service_ip;
    uint16_t service_port;
    uint32_t client_seq;
    uint32_t own_seq;
    /// Next byte expected and next byte to send.
    uint32_t receive_next;
    uint32_t send_next;
    uint8_t last[PACKET_BYTES];
    uint32_t last_bytes;
    uint32_t acked;
    uint64_t resend_ms;
    uint32_t resends;
    /// When the request that runs is answered; 0 when none runs.
    uint64_t answer_due_ms;
};

struct endpoint {
    bool running;
    char id[32];
    struct machine *machine;
    int udp;
    int tcp;
    uint64_t born_ms;
    uint64_t seq;
    bool draining;
    uint64_t heartbeat_due_ms;
    uint64_t cold_until_ms;
    struct endpoint_flow flows[ENDPOINT_FLOWS_MAX];
    /// How long a request takes.
    uint32_t work_ms;
    uint32_t runs;
    uint32_t forged;
};

enum flow_state {
    FLOW_NONE = 0,
    FLOW_OPENING,
    FLOW_OPEN,
    FLOW_RESET,
    FLOW_FAILED,
};

struct client_flow {
    enum flow_state state;
    uint16_t port;
    uint32_t entry_ip;
    uint32_t own_seq;
    uint32_t peer_seq;
    uint32_t send_next;
    uint32_t receive_next;
    uint32_t copies;
    uint64_t began_ms;
    uint64_t due_ms;
    /// The request that waits for its answer.
    bool waiting;
    uint64_t request_ms;
    uint64_t answered_ms;
    uint64_t reset_ms;
    uint32_t resends;
    uint32_t requests;
    uint32_t answers;
    char id[48];
    char stamp[64];
    uint8_t request[PACKET_BYTES];
    uint32_t request_bytes;
    /// Packets of the open flow since one last reached its own endpoint: how
    /// many of the client's sends reached other endpoints, the first time, and
    /// the longest span without the own endpoint in which there were three or
    /// more.
    uint32_t astray_sends;
    uint32_t astray_last;
    uint64_t astray_since_ms;
    uint64_t astray_longest_ms;
};

struct site {
    FILE *record;
    char folder[TEXT_BYTES];
    uint32_t block;
    char seeds[TEXT_BYTES * 2];
    struct machine machines[MACHINES_MAX];
    uint32_t machine_count;
    struct endpoint endpoints[ENDPOINTS_MAX];
    struct client_flow flows[FLOWS_MAX];
    uint32_t flow_count;
    uint32_t client_ip;
    uint32_t service_ip;
    int client_udp;
    uint32_t foreign_packets;
    bool watches_packets;
};

uint64_t
now_ms(void);
uint64_t
wall_ms(void);
/// Writes a line with the time into the record.
void
note(struct site *site, const char *format, ...)
    __attribute__((format(printf, 2, 3)));

/// site_process.c: the project's processes.
void
site_open(struct site *site, const char *record_path);
/// Ends all processes, and removes the temporary folder.
void
site_close(struct site *site);
struct machine *
add_machine(struct site *site, uint32_t zone, uint32_t host, bool has_disk,
            const char *service);
/// role: "entry", "control" or "agent".
void
start_process(struct site *site, struct machine *machine, const char *role);
void
signal_process(struct site *site, const struct machine *machine,
               const char *role, int number);
bool
is_running(struct machine *machine, const char *role);
/// Sends SIGTERM and waits until the process has ended, with SIGKILL after 6
/// s.
void
stop_process(struct site *site, struct machine *machine, const char *role);
/// Ends a process as a loss of power does.
void
kill_process(struct site *site, struct machine *machine, const char *role);
/// site_http.c. Returns the status; 0 when there was no answer.
int
http_call(const char *ip, uint32_t port, const char *method, const char *path,
          const char *body, uint32_t timeout_ms, char *answer,
          size_t answer_bytes);
/// Sends an operator's order until it is acknowledged, for at most limit_ms:
/// follows a redirect twice, and moves on to the next control instance after a
/// failure. Returns the last status.
int
operator_call(struct site *site, const char *method, const char *path,
              const char *body, uint32_t limit_ms);
int
put_config(struct site *site, uint32_t version, uint32_t limit_ms);

/// site_packets.c: endpoints and clients.
void
start_endpoint(struct site *site, struct endpoint *endpoint, const char *id,
               struct machine *machine);
/// Stops listening and forgets all flows.
void
stop_endpoint(struct site *site, struct endpoint *endpoint);
/// Reports the endpoint's status now. Returns the status of the answer.
int
send_heartbeat(struct site *site, struct endpoint *endpoint);
/// Delivers a heartbeat that an endpoint, which may have ended, sent at
/// sent_ms and that was held up since.
int
deliver_late_heartbeat(struct site *site, const struct endpoint *endpoint,
                       uint64_t sent_ms);
int
send_leave(struct site *site, struct endpoint *endpoint);
void
open_clients(struct site *site);
struct client_flow *
open_flow(struct site *site, const struct machine *entry);
void
send_request(struct site *site, struct client_flow *flow);
/// Runs the stand-ins for the given time.
void
pump(struct site *site, uint32_t duration_ms);

#endif
