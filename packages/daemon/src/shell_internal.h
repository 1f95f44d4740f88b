#ifndef SAVORYLEDGE_DAEMON_SHELL_INTERNAL_H
#define SAVORYLEDGE_DAEMON_SHELL_INTERNAL_H

/// The parts of the shell.

#include <pthread.h>
#include <stdatomic.h>

#include "front.h"
#include "recorder.h"
#include "savoryledge/coordination/node.h"
#include "savoryledge/transport/link.h"
#include "savoryledge/transport/loop.h"
#include "savoryledge/transport/port.h"
#include "savoryledge/transport/seal.h"
#include "shell.h"
#include "shell_relay.h"

/// Gathers what the cores ask for during a batch of inputs; one for each
/// thread.
struct outlet {
    struct SlSink sink;
    struct SlShell *shell;
    /// Only the control thread's outlet has links.
    bool is_control;
    uint64_t now_us;
    /// NULL but while an input is handled that is recorded.
    struct SlRecorder *recorder;
    int tunnel;
    /// NULL where the process lacks the role.
    struct SlPort *callers;
    struct SlPort *upstream;
    struct SlBatch *tunnel_out;
    struct SlBatch *callers_out;
    struct SlBatch *upstream_out;
};

struct packet_watch {
    struct SlWatch watch;
    struct packet_thread *thread;
};

struct packet_thread {
    pthread_t thread;
    bool started;
    struct SlShell *shell;
    struct SlLoop *loop;
    struct outlet outlet;
    struct SlBatch *in;
    struct packet_watch tunnel;
    struct packet_watch callers;
    struct packet_watch upstream;
    /// Ports that this thread opened and closes.
    struct SlPort *own_callers;
    struct SlPort *own_upstream;
};

/// A link whose HELLO was read.
struct peer {
    uint64_t link;
    struct SlPeer hello;
    struct SlAddress remote;
    bool greeted;
    struct peer *next;
};

struct shell_counts {
    _Atomic uint64_t datagrams_malformed;
    _Atomic uint64_t datagrams_wrong_sender;
    _Atomic uint64_t tunnel_send_failed;
    _Atomic uint64_t messages_malformed;
    _Atomic uint64_t messages_dropped;
};

struct SlShell {
    struct SlLinksHandler links_owner;
    struct SlSettings settings;
    const char *settings_path;
    struct SlLog *log;
    struct SlNode *node;
    struct SlStorage *storage;
    struct SlSealer *sealer;
    struct SlLoop *loop;
    struct SlLinks *links;
    struct outlet control;
    struct signal_watch {
        struct SlWatch watch;
        struct SlShell *shell;
    } signals;
    struct tick_timer {
        struct SlTimer timer;
        struct SlShell *shell;
    } tick;
    struct packet_thread threads[SETTINGS_THREADS_MAX];
    /// NULL where the process has no adapter, or no data path.
    struct SlFront *front;
    struct shell_relay *relay;
    struct SlObject announcement;
    uint64_t boot;
    uint64_t started_us;
    /// Inputs were given since the last BATCH_END.
    bool has_inputs;
    struct peer *peers;
    struct SlBuffer encoded;
    /// The configuration whose addresses the ports know.
    struct SlVersion addresses_version;
    /// Refused connections logged in the present second.
    uint64_t link_refusals_us;
    uint32_t link_refusals;
    uint64_t refused_said;
    uint64_t refused_said_us;
    bool stopping;
    uint64_t stop_us;
    _Atomic bool ending;
    struct shell_counts counts;
    /// Switched on and off by the control thread, under the lock.
    struct {
        pthread_rwlock_t lock;
        struct SlRecorder *recorder;
        _Atomic bool on;
    } recording;
};

/// What an agent of the relay says of its upstream in an announcement.
struct shell_presence {
    uint32_t slots;
    /// No new flows.
    bool leaving;
    /// No flows at all: the agent belongs to no service then.
    bool gone;
};

/// Every input of the cores passes here, and is recorded if asked for.
void
give_input(struct SlShell *shell, struct outlet *outlet,
           const struct SlInput *input);

/* shell.c */
/// Gives a change of this process's own operators to its control instance.
void
shell_give_change(struct SlShell *shell, uint64_t now_us,
                  const struct SlChange *change);
/// Announces the process anew, with what its upstream says.
void
shell_announce(struct SlShell *shell, uint64_t now_us,
               const struct shell_presence *presence);

/* shell_record.c */
/// Begins a recording in path; an empty path ends one. Control thread.
/// Errors: SL_IO, SL_NO_MEMORY.
enum SlStatus
record_switch(struct SlShell *shell, const char *path, struct SlError *error);

/* shell_sink.c */
/// The link of this process's own operators; no other has the number.
#define SHELL_DESK_LINK UINT64_MAX

enum SlStatus
outlet_init(struct outlet *outlet, struct SlShell *shell, bool is_control);
void
outlet_release(struct outlet *outlet);
/// Sends what was gathered.
void
outlet_flush(struct outlet *outlet);
void
log_event(struct SlShell *shell, struct SlEvent event);

/* shell_links.c */
extern const struct SlLinksHandlerType SHELL_LINKS;
void
forget_peers(struct SlShell *shell);

/* shell_threads.c */
/// Opens sockets and ports of all threads; none runs yet.
enum SlStatus
threads_open(struct SlShell *shell, struct SlError *error);
enum SlStatus
threads_start(struct SlShell *shell, struct SlError *error);
/// Ends the threads; a second call does nothing.
void
threads_stop(struct SlShell *shell);
/// Ends the threads and closes their sockets and ports.
void
threads_close(struct SlShell *shell);

/* shell_metrics.c */
/// The answer to SL_QUERY_STATUS or SL_QUERY_METRICS, as key=value lines.
enum SlStatus
write_status(struct SlShell *shell, uint64_t now_us, struct SlBuffer *out);
enum SlStatus
write_metrics(struct SlShell *shell, struct SlBuffer *out);

#endif
