#define _GNU_SOURCE

#include "site.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <pthread.h>
#include <signal.h>
#include <stdarg.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

static const char *const ROLE_NAMES[] = {"control", "entry", "agent"};
static uint64_t start_us;
static pthread_mutex_t record_lock = PTHREAD_MUTEX_INITIALIZER;

uint64_t
now_us(void)
{
    struct timespec now;

    clock_gettime(CLOCK_BOOTTIME, &now);
    return (uint64_t)now.tv_sec * US_PER_S + (uint64_t)now.tv_nsec / 1000;
}

void
note(struct site *site, const char *format, ...)
{
    va_list arguments;

    pthread_mutex_lock(&record_lock);
    fprintf(site->record, "%9.3f ", (double)(now_us() - start_us) / US_PER_S);
    va_start(arguments, format);
    vfprintf(site->record, format, arguments);
    va_end(arguments);
    fputc('\n', site->record);
    fflush(site->record);
    pthread_mutex_unlock(&record_lock);
}

uint32_t
random_below(uint32_t below)
{
    static uint64_t state = 0x9e3779b97f4a7c15u;

    state = state * 6364136223846793005u + 1442695040888963407u;
    return below == 0 ? 0 : (uint32_t)((state >> 33) % below);
}

uint32_t
site_ip(const struct site *site, uint32_t group, uint32_t number)
{
    return 127u << 24 | site->net << 16 | group << 8 | number;
}

static struct sockaddr_in
make_name(uint32_t ip, uint16_t port)
{
    return (struct sockaddr_in){.sin_family = AF_INET,
                                .sin_port = htons(port),
                                .sin_addr.s_addr = htonl(ip)};
}

int
udp_open(uint32_t ip, uint16_t port)
{
    struct sockaddr_in name = make_name(ip, port);
    int descriptor =
        socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    int buffer_bytes = 4 << 20;

    setsockopt(descriptor, SOL_SOCKET, SO_RCVBUF, &buffer_bytes,
               sizeof(buffer_bytes));
    if (bind(descriptor, (struct sockaddr *)&name, sizeof(name)) != 0) {
        close(descriptor);
        return -1;
    }
    return descriptor;
}

void
udp_send(int descriptor, uint32_t ip, uint16_t port, const uint8_t *bytes,
         uint32_t length_bytes)
{
    struct sockaddr_in name = make_name(ip, port);

    (void)sendto(descriptor, bytes, length_bytes, MSG_DONTWAIT,
                 (struct sockaddr *)&name, sizeof(name));
}

bool
site_open(struct site *site, const char *program, const char *record)
{
    char template[] = "/tmp/review-3-XXXXXX";

    start_us = now_us();
    site->program = program;
    site->record = fopen(record, "w");
    if (site->record == NULL || mkdtemp(template) == NULL) {
        return false;
    }
    snprintf(site->folder, sizeof(site->folder), "%s", template);
    for (site->net = 200 + (uint32_t)getpid() % 50; site->net < 255;
         site->net++) {
        int probe = udp_open(site_ip(site, 0, 250), DATAGRAM_PORT);

        /* Stays open, so that no other script takes the same range. */
        if (probe >= 0) {
            return true;
        }
    }
    return false;
}

struct node *
site_add(struct site *site, enum role role, const char *zone,
         const char *service)
{
    struct node *node = &site->nodes[site->node_count++];

    *node = (struct node){.role = role, .number = site->node_count};
    node->bootstrap = role == ROLE_CONTROL;
    snprintf(node->zone, sizeof(node->zone), "%s", zone);
    snprintf(node->service, sizeof(node->service), "%s", service);
    return node;
}

/// Writes what the templates in deploy/ give for the node.
static void
write_settings(const struct site *site, const struct node *node,
               const char *path)
{
    FILE *file = fopen(path, "w");
    char ip[32];
    uint16_t link = node->role == ROLE_ENTRY ? ENTRY_LINK_PORT : LINK_PORT;
    uint32_t control_group = site->has_proxies ? 1 : 0;
    uint32_t group = node->role == ROLE_CONTROL ? control_group : 0;
    uint32_t seeds = 0;

    snprintf(ip, sizeof(ip), "127.%u.0.%u", site->net, node->number);
    fprintf(file,
            "[node]\nname = %s-127.%u.%u.%u\nzone = %s\nroles = %s\n"
            "tunnel = %s:%u\nlink = %s:%u\nlog_to_stdout = yes\n"
            "log_lines_per_s = 150\nstop_timeout_ms = 5000\n",
            ROLE_NAMES[node->role], site->net, group, node->number, node->zone,
            ROLE_NAMES[node->role], ip, link, ip, link);
    if (group != 0) {
        fprintf(file, "advertise = 127.%u.%u.%u\n", site->net, group,
                node->number);
    }
    fprintf(file, "\n[security]\nopen = yes\n\n[control]\n");
    if (node->role == ROLE_CONTROL) {
        fprintf(file, "data_folder = %s/data-%u\nbootstrap = %s\n",
                site->folder, node->number, node->bootstrap ? "yes" : "no");
    }
    fprintf(file, "seeds = ");
    for (uint32_t i = 0; i < site->node_count && seeds < 3; i++) {
        if (site->nodes[i].role == ROLE_CONTROL) {
            fprintf(file, "%s127.%u.%u.%u:%u", seeds++ > 0 ? "," : "",
                    site->net, control_group, site->nodes[i].number,
                    CONTROL_PORT);
        }
    }
    fprintf(file, "\nseed_port = %u\nself_forming = yes\n", LINK_PORT);
    if (node->role == ROLE_CONTROL) {
        fprintf(file, "heartbeat_ms = 60\nelection_ms = 450\n");
    }
    fprintf(file, "\n[relay]\nadapter = platform\n");
    if (node->role != ROLE_CONTROL) {
        fprintf(file, "callers = %s:%u\nready = %s:%u\n", ip, DATAGRAM_PORT,
                ip, READY_PORT);
    }
    if (node->role == ROLE_AGENT) {
        fprintf(file,
                "upstream = %s:%u\nupstream_sends = %s:%u\nservice = %s\n", ip,
                APP_PORT, ip, OUTBOUND_PORT, node->service);
    }
    if (node->role != ROLE_ENTRY) {
        fprintf(file, "control = %s:%u\n", ip, CONTROL_PORT);
    }
    else {
        fprintf(file, "link_mbps = 1000\n");
    }
    fprintf(file, "metrics = %s:%u\n", ip, METRICS_PORT);
    fclose(file);
}

void
site_start(struct site *site, struct node *node)
{
    char settings[320];
    char log[320];
    char data[320];

    snprintf(settings, sizeof(settings), "%s/node-%u.ini", site->folder,
             node->number);
    snprintf(log, sizeof(log), "%s/node-%u.log", site->folder, node->number);
    snprintf(data, sizeof(data), "%s/data-%u", site->folder, node->number);
    mkdir(data, 0755);
    write_settings(site, node, settings);
    node->pid = fork();
    if (node->pid == 0) {
        int output = open(log, O_WRONLY | O_CREAT | O_APPEND, 0644);

        prctl(PR_SET_PDEATHSIG, SIGKILL);
        dup2(output, STDOUT_FILENO);
        dup2(output, STDERR_FILENO);
        execl(site->program, site->program, settings, (char *)NULL);
        _exit(127);
    }
    node->bootstrap = false;
    note(site, "started %s %u", ROLE_NAMES[node->role], node->number);
}

void
site_signal(struct site *site, struct node *node, int number)
{
    note(site, "%s %u gets %s", ROLE_NAMES[node->role], node->number,
         strsignal(number));
    kill(node->pid, number);
}

bool
site_reap(struct node *node)
{
    if (node->pid != 0 && waitpid(node->pid, NULL, WNOHANG) == node->pid) {
        node->pid = 0;
    }
    return node->pid == 0;
}

void
site_close(struct site *site)
{
    char command[320];

    for (uint32_t i = 0; i < site->node_count; i++) {
        if (site->nodes[i].pid != 0) {
            kill(site->nodes[i].pid, SIGKILL);
            (void)waitpid(site->nodes[i].pid, NULL, 0);
        }
    }
    if (getenv("KEEP") != NULL) {
        fprintf(stderr, "%s\n", site->folder);
        return;
    }
    snprintf(command, sizeof(command), "rm -rf '%s'", site->folder);
    if (system(command) != 0) {
        fprintf(stderr, "cannot remove %s\n", site->folder);
    }
}

/// One direction of a connection through a proxy.
struct pump {
    int from;
    int to;
    bool to_control;
};

enum {
    /// One way between zones.
    PROXY_DELAY_US = 900,
};

/// Passes bytes on. The end of the other processes' direction is passed on as
/// such; what the control process sends after that is answered with a reset a
/// round trip later, as on a network.
static void *
run_pump(void *argument)
{
    struct pump pump = *(struct pump *)argument;
    char bytes[16 * 1024];
    ssize_t length;

    free(argument);
    while ((length = recv(pump.from, bytes, sizeof(bytes), 0)) > 0) {
        usleep(PROXY_DELAY_US);
        for (ssize_t sent = 0; sent < length;) {
            ssize_t count = send(pump.to, bytes + sent,
                                 (size_t)(length - sent), MSG_NOSIGNAL);

            if (count <= 0) {
                length = 0;
                break;
            }
            sent += count;
        }
        if (length == 0) {
            break;
        }
    }
    usleep(PROXY_DELAY_US);
    if (pump.to_control) {
        shutdown(pump.to, SHUT_WR);
    }
    else {
        shutdown(pump.to, SHUT_RDWR);
        close(pump.from);
    }
    return NULL;
}

static void
start_pump(int from, int to, bool to_control)
{
    struct pump *pump = malloc(sizeof(*pump));
    pthread_t thread;

    *pump = (struct pump){.from = from, .to = to, .to_control = to_control};
    pthread_create(&thread, NULL, run_pump, pump);
    pthread_detach(thread);
}

struct proxy {
    int listener;
    struct sockaddr_in to;
};

static void *
run_proxy(void *argument)
{
    struct proxy *proxy = argument;
    int enabled = 1;
    int client;

    while ((client = accept4(proxy->listener, NULL, NULL, SOCK_CLOEXEC)) >=
           0) {
        int control = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

        if (connect(control, (struct sockaddr *)&proxy->to,
                    sizeof(proxy->to)) != 0) {
            close(control);
            close(client);
            continue;
        }
        setsockopt(control, IPPROTO_TCP, TCP_NODELAY, &enabled,
                   sizeof(enabled));
        setsockopt(client, IPPROTO_TCP, TCP_NODELAY, &enabled,
                   sizeof(enabled));
        start_pump(client, control, true);
        start_pump(control, client, false);
    }
    return NULL;
}

bool
site_start_proxy(struct site *site, const struct node *node)
{
    struct sockaddr_in name =
        make_name(site_ip(site, 1, node->number), LINK_PORT);
    struct proxy *proxy = malloc(sizeof(*proxy));
    int enabled = 1;
    pthread_t thread;

    proxy->to = make_name(site_ip(site, 0, node->number), LINK_PORT);
    proxy->listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    setsockopt(proxy->listener, SOL_SOCKET, SO_REUSEADDR, &enabled,
               sizeof(enabled));
    if (bind(proxy->listener, (struct sockaddr *)&name, sizeof(name)) != 0 ||
        listen(proxy->listener, 64) != 0) {
        return false;
    }
    return pthread_create(&thread, NULL, run_proxy, proxy) == 0;
}

static int
wait_for(int descriptor, short events, uint64_t until_us)
{
    struct pollfd watch = {.fd = descriptor, .events = events};
    uint64_t now = now_us();

    return now >= until_us
               ? 0
               : poll(&watch, 1, (int)((until_us - now) / 1000 + 1));
}

/// Reads until the response is complete or the time is over. Returns its
/// status, 0 for an incomplete one.
static int
read_response(int descriptor, uint64_t until_us, char *body_out,
              size_t body_out_bytes)
{
    static __thread char bytes[1 << 20];
    size_t length = 0;

    while (length + 1 < sizeof(bytes) &&
           wait_for(descriptor, POLLIN, until_us) > 0) {
        ssize_t got =
            recv(descriptor, bytes + length, sizeof(bytes) - 1 - length, 0);
        char *head_end;
        char *field;
        size_t body_bytes;

        if (got <= 0) {
            return 0;
        }
        length += (size_t)got;
        bytes[length] = '\0';
        head_end = strstr(bytes, "\r\n\r\n");
        field = strstr(bytes, "Content-Length: ");
        if (head_end == NULL || field == NULL || field > head_end) {
            continue;
        }
        body_bytes = strtoul(field + 16, NULL, 10);
        if (length < (size_t)(head_end + 4 - bytes) + body_bytes) {
            continue;
        }
        if (body_out != NULL) {
            snprintf(body_out, body_out_bytes, "%s", head_end + 4);
        }
        return atoi(bytes + 9);
    }
    return 0;
}

int
http_call(uint32_t ip, uint16_t port, const char *method, const char *path,
          const char *body, int timeout_ms, char *body_out,
          size_t body_out_bytes)
{
    struct sockaddr_in name = make_name(ip, port);
    uint64_t until_us = now_us() + (uint64_t)timeout_ms * US_PER_MS;
    int descriptor =
        socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    size_t body_bytes = body != NULL ? strlen(body) : 0;
    char *request = malloc(512 + body_bytes);
    size_t length;
    size_t sent = 0;
    int status = 0;

    length =
        (size_t)sprintf(request,
                        "%s %s HTTP/1.1\r\nHost: x\r\n"
                        "Content-Type: application/json\r\n"
                        "Content-Length: %zu\r\n\r\n%s",
                        method, path, body_bytes, body != NULL ? body : "");
    if (connect(descriptor, (struct sockaddr *)&name, sizeof(name)) == 0 ||
        errno == EINPROGRESS) {
        while (sent < length && wait_for(descriptor, POLLOUT, until_us) > 0) {
            ssize_t got =
                send(descriptor, request + sent, length - sent, MSG_NOSIGNAL);

            if (got <= 0) {
                break;
            }
            sent += (size_t)got;
        }
        if (sent == length) {
            status =
                read_response(descriptor, until_us, body_out, body_out_bytes);
        }
    }
    free(request);
    close(descriptor);
    return status;
}

static void
put_u16(uint8_t *out, uint32_t value)
{
    out[0] = (uint8_t)(value >> 8);
    out[1] = (uint8_t)value;
}

static void
put_u32(uint8_t *out, uint32_t value)
{
    put_u16(out, value >> 16);
    put_u16(out + 2, value);
}

static uint32_t
get_u16(const uint8_t *bytes)
{
    return (uint32_t)bytes[0] << 8 | bytes[1];
}

static uint32_t
get_u32(const uint8_t *bytes)
{
    return get_u16(bytes) << 16 | get_u16(bytes + 2);
}

/// FNV-1a over all fields except sum, echo, pad and the flag BOUNCED.
static uint32_t
compute_sum(const uint8_t *bytes, uint32_t length_bytes)
{
    uint32_t sum = 2166136261u;

    for (uint32_t i = 8; i < length_bytes; i++) {
        uint8_t byte = bytes[i];

        if (i == 28) {
            byte &= (uint8_t)~FLAG_BOUNCED;
        }
        if (i >= 29 && i < 34) {
            byte = 0;
        }
        sum = (sum ^ byte) * 16777619u;
    }
    return sum | 1;
}

uint32_t
packet_write(const struct packet *packet, uint8_t out[PACKET_BYTES])
{
    memset(out, 0, HEAD_BYTES);
    put_u16(out + 8, packet->source_port);
    put_u32(out + 10, packet->destination_ip);
    put_u32(out + 14, packet->source_ip);
    put_u16(out + 18, packet->destination_port);
    put_u32(out + 20, packet->seq);
    put_u32(out + 24, packet->ack);
    out[28] = packet->flags;
    put_u16(out + 34, packet->data_bytes);
    if (packet->data_bytes > 0) {
        memcpy(out + HEAD_BYTES, packet->data, packet->data_bytes);
    }
    put_u32(out, compute_sum(out, HEAD_BYTES + packet->data_bytes));
    return HEAD_BYTES + packet->data_bytes;
}

bool
packet_read(const uint8_t *bytes, uint32_t length_bytes, struct packet *packet)
{
    if (length_bytes < HEAD_BYTES ||
        get_u16(bytes + 34) != length_bytes - HEAD_BYTES) {
        return false;
    }
    *packet =
        (struct packet){.source_ip = get_u32(bytes + 14),
                        .source_port = (uint16_t)get_u16(bytes + 8),
                        .destination_ip = get_u32(bytes + 10),
                        .destination_port = (uint16_t)get_u16(bytes + 18),
                        .seq = get_u32(bytes + 20),
                        .ack = get_u32(bytes + 24),
                        .flags = bytes[28],
                        .data = bytes + HEAD_BYTES,
                        .data_bytes = length_bytes - HEAD_BYTES};
    return true;
}

bool
packet_sum_is_valid(const uint8_t *bytes, uint32_t length_bytes)
{
    return get_u32(bytes) == compute_sum(bytes, length_bytes);
}

bool
packet_is_system_reset(const uint8_t *bytes, uint32_t length_bytes)
{
    return length_bytes == HEAD_BYTES && get_u32(bytes) == 0 &&
           bytes[28] == FLAG_RST;
}
