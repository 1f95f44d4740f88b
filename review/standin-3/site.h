#ifndef REVIEW_STANDIN_3_SITE_H
#define REVIEW_STANDIN_3_SITE_H

/// A small site for the scripts of the review: it starts the project's own
/// programs as separate processes on loopback addresses, and stands in for the
/// platform's routers, the clients, the endpoints and the operator, as
/// PROTOCOL.md describes them.
///
///     127.NET.0.n  process n (control, entry or agent)
///     127.NET.1.n  control process n for the others, if there is a proxy
///     127.NET.2.n  clients
///     127.NET.3.1  host of all routes

#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <sys/types.h>

enum {
    NODES_MAX = 64,
    LINK_PORT = 7720,
    ENTRY_LINK_PORT = 7735,
    DATAGRAM_PORT = 8172,
    CONTROL_PORT = 8166,
    READY_PORT = 8167,
    APP_PORT = 8266,
    OUTBOUND_PORT = 8162,
    METRICS_PORT = 9464,
    HEAD_BYTES = 36,
    PACKET_BYTES = 1236,
    US_PER_MS = 1000,
    US_PER_S = 1000 * 1000,
};

enum packet_flag {
    FLAG_RST = 2,
    FLAG_FIN = 4,
    FLAG_SYN = 8,
    FLAG_BOUNCED = 16,
    FLAG_ACK = 128,
};

enum role {
    ROLE_CONTROL = 0,
    ROLE_ENTRY,
    ROLE_AGENT,
};

struct node {
    enum role role;
    uint32_t number;
    char zone[16];
    char service[32];
    bool bootstrap;
    pid_t pid;
};

struct site {
    uint32_t net;
    char folder[256];
    const char *program;
    FILE *record;
    /// Control processes are reached through proxies, which add the delay of
    /// a link between zones.
    bool has_proxies;
    uint32_t node_count;
    struct node nodes[NODES_MAX];
};

struct packet {
    uint32_t source_ip;
    uint16_t source_port;
    uint32_t destination_ip;
    uint16_t destination_port;
    uint32_t seq;
    uint32_t ack;
    uint8_t flags;
    const uint8_t *data;
    uint32_t data_bytes;
};

/// Microseconds since the system started.
uint64_t
now_us(void);
/// Appends a line with the time to the record.
void
note(struct site *site, const char *format, ...)
    __attribute__((format(printf, 2, 3)));
uint32_t
random_below(uint32_t below);

/// Finds a free range of addresses and makes a folder. Returns false when
/// there is none.
bool
site_open(struct site *site, const char *program, const char *record);
struct node *
site_add(struct site *site, enum role role, const char *zone,
         const char *service);
void
site_start(struct site *site, struct node *node);
void
site_signal(struct site *site, struct node *node, int number);
/// Returns true when the process has ended since it was started.
bool
site_reap(struct node *node);
/// Kills all processes and removes the folder.
void
site_close(struct site *site);
/// IPv4 address 127.NET.group.number in host byte order.
uint32_t
site_ip(const struct site *site, uint32_t group, uint32_t number);

/// Starts the proxy of a control process.
bool
site_start_proxy(struct site *site, const struct node *node);

/// Sends an HTTP request and waits for its response. Returns its status, 0
/// when none arrived in time. body_out: receives the body, or NULL.
int
http_call(uint32_t ip, uint16_t port, const char *method, const char *path,
          const char *body, int timeout_ms, char *body_out,
          size_t body_out_bytes);

uint32_t
packet_write(const struct packet *packet, uint8_t out[PACKET_BYTES]);
/// Returns false for bytes that are no packet.
bool
packet_read(const uint8_t *bytes, uint32_t length_bytes,
            struct packet *packet);
bool
packet_sum_is_valid(const uint8_t *bytes, uint32_t length_bytes);
/// True for a reset of the system's own: no data, and sum 0.
bool
packet_is_system_reset(const uint8_t *bytes, uint32_t length_bytes);
int
udp_open(uint32_t ip, uint16_t port);
void
udp_send(int descriptor, uint32_t ip, uint16_t port, const uint8_t *bytes,
         uint32_t length_bytes);

#endif
