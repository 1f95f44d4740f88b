#ifndef REVIEW_SITE_H
#define REVIEW_SITE_H

/// A small deployment for the cases of the review: the project's own programs
/// as processes on loopback addresses, with small clients, endpoints and an
/// operator that speak what the pages say.
///
///     127.NET.0.n  machine n: a control instance, an entry or an agent
///     127.NET.2.1  the client
///     127.NET.3.1  the address of the routes

#include <netinet/in.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/types.h>

enum {
    MACHINES_MAX = 16,
    PATH_BYTES = 256,
    BODY_BYTES = 8192,
    INTERNAL_PORT = 27720,
    DATAGRAM_PORT = 28172,
    CONTROL_PORT = 28166,
    READY_PORT = 28167,
    APP_PORT = 28080,
    OUTBOUND_PORT = 28162,
    HEARTBEAT_MS = 1200,
};

enum machine_role {
    ROLE_NONE = 0,
    ROLE_CONTROL,
    ROLE_ENTRY,
    ROLE_AGENT,
};

struct machine {
    enum machine_role role;
    int number;
    const char *zone;
    const char *service;
    pid_t pid;
};

/// What an endpoint says of itself. Only its thread and, under the lock of
/// endpoint.c, the case change it.
struct endpoint_options {
    /// The machine that it runs on.
    int number;
    const char *service;
    const char *id;
    uint64_t born_ms;
    int concurrency;
    /// How long it is cold after its start.
    uint32_t cold_ms;
    /// It closes its TCP port, which serves the health path, once it drains.
    bool stops_listening;
};

struct endpoint;

/// The outcome of a request, or of the opening of a flow.
enum flow_result {
    FLOW_ANSWERED = 0,
    FLOW_RESET_BY_SYSTEM,
    FLOW_RESET_BY_ENDPOINT,
    FLOW_SILENT,
};

struct flow {
    uint16_t client_port;
    uint16_t route_port;
    /// The machine of the entry that takes the client's packets.
    int entry;
    uint32_t seq;
    uint32_t ack;
    /// The machine of the endpoint that answered last.
    int endpoint;
};

/* site.c */
/// Opens the record, makes a temporary folder and finds free addresses. Ends
/// the program with status 2 when that fails.
void
site_open(void);
/// Ends all processes, removes the folder, and ends the program with status 1
/// when broken, otherwise 0.
void
site_close(bool broken);
/// Ends all processes and the program with status 2: the case could not run.
void
site_fail(const char *why);
/// Returns false when TROUBLE=0: the case leaves its disruption out.
bool
site_has_trouble(void);
void
site_record(const char *format, ...) __attribute__((format(printf, 1, 2)));
uint64_t
now_ms(void);
uint64_t
wall_ms(void);
void
sleep_ms(uint64_t ms);
struct sockaddr_in
site_address(int group, int number, int port);
/// Returns the address of a machine's interface as text, in a buffer that is
/// reused by each thread.
const char *
site_ip(int group, int number);
void
machine_start(enum machine_role role, int number, const char *zone,
              const char *service);
/// Sends SIGTERM, waits for the end of the process (SIGKILL after grace_s of
/// 6 s), and starts it again.
void
machine_restart(int number);
/// Ends the process with SIGKILL.
void
machine_kill(int number);
/// Starts a process that was killed.
void
machine_start_again(int number);
/// Returns the process of a machine, to send it a signal.
pid_t
machine_pid(int number);
/// Starts three control instances (machines 1 to 3) and two entries (4 and 5).
void
site_start_core(void);
/// Waits until both entries are ready. Ends the program with status 2 when
/// they are not within 20 s.
void
site_wait_ready(void);

/* http.c */
/// Makes one call. Returns the status, or 0 without a response within a
/// second. body and answer may be NULL.
int
http_call(const struct sockaddr_in *to, const char *method, const char *path,
          const char *body, char answer[BODY_BYTES],
          char location[PATH_BYTES]);
/// Gives an order as the operator does: to one control instance after the
/// other, following redirects, until there is a clear answer. Returns the
/// status, or 0 when there is none within 10 s.
int
operator_call(const char *method, const char *path, const char *body);
/// Finds the control instance that accepts orders itself, by an order that
/// changes nothing: it takes back a zone that was never evacuated. Returns its
/// machine, or 0 when there is none within 10 s.
int
operator_find_leader(void);

/* endpoint.c */
struct endpoint *
endpoint_start(const struct endpoint_options *options);
/// The endpoint ends without a word, as in a crash.
void
endpoint_crash(struct endpoint *endpoint);
/// Sends the state "draining" until it is acknowledged. Returns false when it
/// is not within 3 s.
bool
endpoint_drain(struct endpoint *endpoint);
/// Starts its cold phase anew without telling it before its next heartbeat.
void
endpoint_turn_cold(struct endpoint *endpoint, uint32_t cold_ms);
/// Waits until the endpoint has sent its next heartbeat.
void
endpoint_wait_heartbeat(struct endpoint *endpoint);
/// Returns how many opening packets of different flows it took from from_ms
/// up to until_ms.
int
endpoint_openings(struct endpoint *endpoint, uint64_t from_ms,
                  uint64_t until_ms);
/// Returns the largest number of opening packets within any second.
int
endpoint_openings_per_s(struct endpoint *endpoint);

/* client.c */
/// Opens a flow and sends its first request.
enum flow_result
flow_open(struct flow *flow, uint16_t route_port, int entry);
/// Sends a further request and waits for its answer.
enum flow_result
flow_request(struct flow *flow);
/// Opens flows at a steady rate, each with one request, without waiting for
/// their answers.
void
flow_burst(uint16_t route_port, int count, int per_s);
const char *
flow_result_name(enum flow_result result);

#endif
