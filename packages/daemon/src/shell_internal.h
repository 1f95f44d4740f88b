#ifndef SAVORYLEDGE_DAEMON_SHELL_INTERNAL_H
#define SAVORYLEDGE_DAEMON_SHELL_INTERNAL_H

/// Structures and functions that the source files of the shell (shell.h)
/// share. A sink receives what the cores emit: packets, messages and events. A
/// port exchanges packets with callers or with an upstream
/// (savoryledge/transport/port.h).

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

/// The sink of one thread: collects the packets that the cores emit during a
/// batch of inputs.
struct output_sink {
    struct SlSink sink;
    struct SlShell *shell;
    /// True if this is the sink of the control thread, the only sink that may
    /// use the links.
    bool is_control;
    uint64_t now_us;
    /// The recorder while the cores handle an input that is recorded,
    /// otherwise NULL.
    struct SlRecorder *recorder;
    /// Descriptor of the tunnel socket.
    int tunnel_descriptor;
    /// Port of the entry towards callers, and port of the agent towards its
    /// upstream; NULL if the process does not have the role.
    struct SlPort *callers_port;
    struct SlPort *upstream_port;
    /// Packets to be sent through the tunnel socket and each port.
    struct SlBatch *tunnel_output_batch;
    struct SlBatch *callers_output_batch;
    struct SlBatch *upstream_output_batch;
};

/// A descriptor that a packet thread watches.
struct packet_watch {
    struct SlWatch watch;
    struct packet_thread *thread;
};

/// A thread that receives and sends packets.
struct packet_thread {
    pthread_t thread;
    bool is_started;
    struct SlShell *shell;
    struct SlLoop *loop;
    struct output_sink output_sink;
    /// Buffers for received packets.
    struct SlBatch *receive_batch;
    /// Watches of the tunnel socket and of the ports.
    struct packet_watch tunnel_watch;
    struct packet_watch callers_watch;
    struct packet_watch upstream_watch;
    /// Ports that this thread has opened and will close; NULL if the thread
    /// uses the port of the first packet thread.
    struct SlPort *opened_callers_port;
    struct SlPort *opened_upstream_port;
};

/// The process or operator's tool at the other end of a link.
struct peer {
    uint64_t link;
    /// Contents of the peer's HELLO message; empty until it was received.
    struct SlPeer hello;
    struct SlAddress remote;
    /// True once the peer's HELLO message has been received.
    bool hello_received;
    /// The peer understands SL_MESSAGE_FLOW_RECORDS.
    bool knows_flow_records;
    struct peer *next;
};

/// Counters of the shell that any thread may increment.
struct shell_counts {
    _Atomic uint64_t datagrams_malformed;
    _Atomic uint64_t datagrams_wrong_sender;
    _Atomic uint64_t tunnel_send_failed;
    _Atomic uint64_t messages_malformed;
    _Atomic uint64_t messages_dropped;
};

struct SlShell {
    struct SlLinksHandler links_handler;
    struct SlSettings settings;
    const char *settings_path;
    struct SlLog *log;
    struct SlNode *node;
    struct SlStorage *storage;
    struct SlSealer *sealer;
    struct SlLoop *loop;
    struct SlLinks *links;
    /// The sink of the control thread.
    struct output_sink control_sink;
    struct signal_watch {
        struct SlWatch watch;
        struct SlShell *shell;
    } signals;
    struct tick_timer {
        struct SlTimer timer;
        struct SlShell *shell;
    } tick;
    struct packet_thread threads[SETTINGS_THREADS_MAX];
    /// The HTTP interfaces, NULL if the settings name no adapter; and the
    /// relay's data path, NULL if the process is neither entry nor agent of
    /// the relay.
    struct SlFront *front;
    struct shell_relay *relay;
    /// The records of kept flows, NULL if the process has no control instance.
    struct shell_flow_records *flow_records;
    /// The node object that this process announces to control.
    struct SlObject announcement;
    /// Wall-clock time at which the process started, in microseconds;
    /// identifies this run of the process.
    uint64_t boot;
    /// Monotonic time at which the process started.
    uint64_t started_us;
    /// True if the cores have handled an input since the last input that ended
    /// a batch (SL_INPUT_BATCH_END).
    bool has_inputs;
    struct peer *peers;
    /// Buffer in which messages are encoded; it is used again for each one.
    struct SlBuffer encode_buffer;
    /// Version of the routing table whose service addresses the ports use.
    struct SlVersion addresses_version;
    /// When the current window of refused links began, and the number of links
    /// refused in it.
    uint64_t refused_links_window_start_us;
    uint32_t refused_link_count;
    /// Number of refused datagrams that the log has reported, and when it last
    /// reported them.
    uint64_t reported_refused_datagrams;
    uint64_t refused_datagrams_reported_us;
    /// True once a planned stop has begun; stop_us is the time at which it
    /// began.
    bool stopping;
    uint64_t stop_us;
    /// True when the packet threads must exit.
    _Atomic bool threads_must_exit;
    struct shell_counts counts;
    /// The recording of inputs. The control thread starts and ends recordings
    /// and holds the lock for writing meanwhile. Every thread holds the lock
    /// for reading while it records an input.
    struct {
        pthread_rwlock_t lock;
        struct SlRecorder *recorder;
        _Atomic bool is_active;
    } recording;
};

/// What a relay agent's announcement contains about its upstream.
struct upstream_presence {
    /// Number of requests that the upstream processes concurrently.
    uint32_t slots;
    /// True if the upstream accepts no new flows.
    bool leaving;
    /// True if the upstream has ended and holds no flows: the agent then
    /// belongs to no service.
    bool has_ended;
};

/// Passes an input to the node, and records it if a recording is in progress.
/// Every input of the cores passes through this function. output_sink: the
/// calling thread's sink.
void
handle_input(struct SlShell *shell, struct output_sink *output_sink,
             const struct SlInput *input);

/* Functions of shell.c. */
/// Submits a change to this process's control instance for an operator who
/// uses the HTTP interface of this process.
void
shell_submit_change(struct SlShell *shell, uint64_t now_us,
                    const struct SlChange *change);
/// Announces the process again, with the present state of its upstream.
void
shell_announce(struct SlShell *shell, uint64_t now_us,
               const struct upstream_presence *presence);

/* Functions of shell_record.c. */
/// Ends the present recording, if there is one, and starts a recording to the
/// file path unless path is empty. Must be called from the control thread.
/// Errors: SL_IO, SL_NO_MEMORY.
enum SlStatus
set_recording_file(struct SlShell *shell, const char *path,
                   struct SlError *error);

/* Functions of shell_sink.c. */
/// Number of the link that stands for the operators who use the HTTP interface
/// of this process. No network link has this number.
#define SHELL_OPERATOR_LINK UINT64_MAX

/// Initialises a sink and its batches. Errors: SL_NO_MEMORY.
enum SlStatus
output_sink_init(struct output_sink *output_sink, struct SlShell *shell,
                 bool is_control);
/// Frees the batches; the tunnel and the ports are left open.
void
output_sink_release(struct output_sink *output_sink);
/// Sends the packets that the sink has collected.
void
output_sink_flush(struct output_sink *output_sink);
/// Logs an event. If the event's now_us is 0, sets it to the present time.
void
log_event(struct SlShell *shell, struct SlEvent event);

/* Callbacks and functions of shell_links.c. */
extern const struct SlLinksHandlerType SHELL_LINKS_HANDLER_TYPE;
/// Frees all peers of the shell without passing further inputs to the cores.
void
free_peers(struct SlShell *shell);

/* Functions of shell_flow_records.c. */
/// Starts to read the records of kept flows that this control instance keeps.
/// files is borrowed. Errors: SL_NO_MEMORY.
enum SlStatus
shell_flow_records_open(struct SlShell *shell, struct SlFiles *files,
                        struct SlError *error);
void
shell_flow_records_close(struct SlShell *shell);
/// Handles a message of kind SL_MESSAGE_FLOW_RECORDS.
void
shell_flow_records_handle(struct SlShell *shell, uint64_t now_us,
                          const struct peer *peer,
                          const struct SlFlowRecords *records);
/// Sends what the agent of this process has to record, or writes what its
/// control instance has received.
void
shell_flow_records_tick(struct SlShell *shell, uint64_t now_us);
/// Appends the counters of this control instance's records.
void
shell_flow_records_append_metrics(
    const struct SlShell *shell, struct SlBuffer *out,
    void (*append)(struct SlBuffer *out, const char *name, uint64_t value));

/* Functions of shell_threads.c. */
/// Opens the sockets and ports of all packet threads, without starting the
/// threads.
/// Errors: SL_IO, SL_NO_MEMORY.
enum SlStatus
packet_threads_open(struct SlShell *shell, struct SlError *error);
/// Starts the packet threads. Errors: SL_NO_MEMORY.
enum SlStatus
packet_threads_start(struct SlShell *shell, struct SlError *error);
/// Stops the packet threads and waits until they have ended. A second call has
/// no effect.
void
packet_threads_stop(struct SlShell *shell);
/// Stops the packet threads and closes their sockets and ports.
void
packet_threads_close(struct SlShell *shell);

/* Functions of shell_metrics.c. */
/// These two append the answers to SL_QUERY_STATUS and SL_QUERY_METRICS to
/// out, as key=value lines. now_us: monotonic time.
enum SlStatus
write_status(struct SlShell *shell, uint64_t now_us, struct SlBuffer *out);
enum SlStatus
write_metrics(struct SlShell *shell, struct SlBuffer *out);

#endif
