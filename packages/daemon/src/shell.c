#include <signal.h>
#include <sodium.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>
#include <urcu.h>

#include "shell_internal.h"

enum {
    US_PER_MS = 1000,
    /// An entry or agent continues to serve at least this long after a planned
    /// stop has begun, so that the other processes are notified before it
    /// ends.
    STOP_MIN_US = 2 * 1000 * 1000,
    /// Minimum interval between two log lines about refused datagrams.
    REFUSED_LOG_INTERVAL_US = 1000 * 1000,
    /// Maximum number of service addresses passed to a port.
    SERVICE_ADDRESSES_MAX = 1024,
    /// Initial and maximum delay between attempts to connect. All processes of
    /// a self-forming site restart at the same time, and the process dialled
    /// may start a moment later; longer delays would dominate the duration of
    /// the restart.
    SELF_FORMING_REDIAL_MIN_US = 30 * 1000,
    SELF_FORMING_REDIAL_MAX_US = 250 * 1000,
    /// Minimum duration of a planned stop of a relay agent. It finishes its
    /// requests and exits soon, because the flows of its upstream wait for the
    /// process that follows it.
    RELAY_AGENT_STOP_MIN_US = 300 * 1000,
    /// Announced capacity of a relay agent until the plan sets how many flows
    /// an upstream can hold.
    RELAY_DEFAULT_CAPACITY_FLOWS = 2000,
};

static const int SIGNALS[] = {SIGTERM, SIGINT, SIGHUP};

enum {
    SIGNAL_COUNT = sizeof(SIGNALS) / sizeof(SIGNALS[0]),
};

enum SlStatus
SlShell_BlockSignals(void)
{
    return SlSignals_Block(SIGNALS, SIGNAL_COUNT);
}

/// The IP address that node.advertise has when the setting is absent.
static const uint8_t UNSET_IP[sizeof(((struct SlAddress *)0)->ip)];

/// Passes an input without data, such as a tick, to the cores.
static void
handle_control_input(struct SlShell *shell, enum SlInputKind kind,
                     uint64_t now_us)
{
    struct SlInput input = {
        .kind = kind, .now_us = now_us, .wall_us = SlClock_Wall()};

    shell->control_sink.now_us = now_us;
    handle_input(shell, &shell->control_sink, &input);
}

/// Returns the address at which other processes reach a local address: with
/// the IP address of node.advertise, if it is set.
static struct SlAddress
advertised_address(const struct SlShell *shell,
                   const struct SlAddress *address)
{
    const struct SlAddress *advertise = &shell->settings.node.advertise;
    struct SlAddress reached_address = *address;

    if (memcmp(advertise->ip, UNSET_IP, sizeof(UNSET_IP)) != 0) {
        memcpy(reached_address.ip, advertise->ip, sizeof(reached_address.ip));
    }
    return reached_address;
}

static void
fill_announcement(const struct SlShell *shell, struct SlObject *object)
{
    const struct SlSettings *settings = &shell->settings;
    struct SlNodeSpec *node = &object->node;

    *object = (struct SlObject){.kind = SL_KIND_NODE};
    memcpy(object->name, settings->node.name, SL_NAME_BYTES);
    memcpy(node->zone, settings->node.zone, SL_NAME_BYTES);
    node->node_id = SlNode_Id(settings->node.name);
    node->roles = settings->node.roles;
    node->announced = settings->agent.labels;
    if (settings->relay.service[0] != '\0') {
        (void)SlLabels_Set(&node->announced, "service",
                           settings->relay.service);
    }
    node->tunnel = advertised_address(shell, &settings->node.tunnel);
    node->link = advertised_address(shell, &settings->node.link);
    node->boot = shell->boot;
    node->slots = settings->agent.slots;
    node->capacity_flows = settings->agent.capacity_flows;
}

/// A relay agent is announced as leaving until its upstream has reported its
/// status, which also contains the number of its slots.
static void
fill_relay_announcement(const struct SlShell *shell, struct SlObject *object)
{
    if (shell->settings.node.roles & SL_ROLE_AGENT) {
        object->node.slots = 1;
        object->node.capacity_flows = RELAY_DEFAULT_CAPACITY_FLOWS;
        object->node.leaving = true;
    }
}

void
shell_announce(struct SlShell *shell, uint64_t now_us,
               const struct upstream_presence *presence)
{
    struct SlNodeSpec *node = &shell->announcement.node;

    node->slots = presence->slots > 0 ? presence->slots : 1;
    node->leaving = presence->leaving;
    if (presence->has_ended) {
        SlLabels_Unset(&node->announced, "service");
    }
    else {
        (void)SlLabels_Set(&node->announced, "service",
                           shell->settings.relay.service);
    }
    SlNode_SetAnnouncement(shell->node, &shell->control_sink.sink, now_us,
                           &shell->announcement);
    shell->has_inputs = true;
}

void
shell_submit_change(struct SlShell *shell, uint64_t now_us,
                    const struct SlChange *change)
{
    struct SlMessage message = {.kind = SL_MESSAGE_CHANGE, .change = *change};
    struct SlInput input = {.kind = SL_INPUT_MESSAGE,
                            .now_us = now_us,
                            .wall_us = SlClock_Wall(),
                            .link = SHELL_OPERATOR_LINK,
                            .message = &message};

    shell->control_sink.now_us = now_us;
    handle_input(shell, &shell->control_sink, &input);
    shell->has_inputs = true;
}

/// Registers the internal link over which operators who use the HTTP interface
/// of this process reach its control instance.
static void
open_operator_link(struct SlShell *shell)
{
    struct SlPeer peer = {
        .node_id = SlNode_Id("desk"), .name = "desk", .boot = shell->boot};
    struct SlInput input = {.kind = SL_INPUT_LINK_UP,
                            .now_us = SlClock_Monotonic(),
                            .wall_us = SlClock_Wall(),
                            .link = SHELL_OPERATOR_LINK,
                            .peer = &peer};

    shell->control_sink.now_us = input.now_us;
    handle_input(shell, &shell->control_sink, &input);
}

static void
fill_control_options(const struct SlShell *shell,
                     struct SlNodeOptions *options)
{
    const struct SlMembers *members = &shell->settings.control.members;

    options->uses_relay = shell->settings.relay.adapter[0] != '\0';
    options->control.self_forming = shell->settings.control.self_forming;
    options->control.link =
        advertised_address(shell, &shell->settings.node.link);
    options->control.heartbeat_us =
        (uint64_t)shell->settings.control.heartbeat_ms * US_PER_MS;
    options->control.election_us =
        (uint64_t)shell->settings.control.election_ms * US_PER_MS;
    options->replica.discover_controls = shell->settings.control.self_forming;
    options->control.bootstrap = shell->settings.control.bootstrap;
    options->control.storage = shell->storage;
    options->control.member_count = members->count;
    options->replica.control_count = members->count;
    for (uint32_t i = 0; i < members->count; i++) {
        const struct SlMember *member = &members->items[i];
        struct SlControlMember *control_member = &options->control.members[i];

        control_member->node_id = SlNode_Id(member->name);
        memcpy(control_member->name, member->name, SL_NAME_BYTES);
        control_member->link_address = member->link;
        control_member->is_voter = true;
        options->replica.control_ids[i] = control_member->node_id;
        options->replica.control[i] = member->link;
    }
}

static enum SlStatus
create_node(struct SlShell *shell, uint64_t now_us, struct SlError *error)
{
    const struct SlSettings *settings = &shell->settings;
    struct SlNodeOptions options = {
        .core = {.roles = settings->node.roles, .boot = shell->boot},
        .entry = {.cache_flows = settings->entry.cache_flows,
                  .tunnel_mtu_bytes =
                      (uint16_t)settings->entry.tunnel_mtu_bytes},
        .agent = {.slots = settings->agent.slots,
                  .capacity_flows = settings->agent.capacity_flows},
    };

    memcpy(options.core.name, settings->node.name, SL_NAME_BYTES);
    memcpy(options.core.zone, settings->node.zone, SL_NAME_BYTES);
    randombytes_buf(&options.core.seed, sizeof(options.core.seed));
    randombytes_buf(&options.core.hash_seed, sizeof(options.core.hash_seed));
    fill_control_options(shell, &options);
    fill_announcement(shell, &options.replica.announce);
    if (options.uses_relay) {
        fill_relay_announcement(shell, &options.replica.announce);
        options.replica.delay_announcement =
            (shell->settings.node.roles & SL_ROLE_AGENT) != 0;
    }
    shell->announcement = options.replica.announce;
    if (shell->recording.recorder != NULL) {
        SlRecorder_RecordNode(shell->recording.recorder, &options, now_us);
    }
    return SlNode_Create(&options, now_us, &shell->node, error);
}

static enum SlStatus
open_storage(struct SlShell *shell, struct SlFiles *files,
             struct SlError *error)
{
    uint64_t incarnation;

    if (!(shell->settings.node.roles & SL_ROLE_CONTROL)) {
        return SL_OK;
    }
    randombytes_buf(&incarnation, sizeof(incarnation));
    return SlStorage_OpenFolderWithFiles(files != NULL ? files
                                                       : SlFiles_System(),
                                         shell->settings.control.data_folder,
                                         SlNode_Id(shell->settings.node.name),
                                         incarnation, &shell->storage, error);
}

static enum SlStatus
create_transport(struct SlShell *shell, struct SlError *error)
{
    struct SlSealerOptions seal = {
        .keyring = shell->settings.keyring,
        .sender = SlNode_Id(shell->settings.node.name),
        .start_wall_us = shell->boot,
    };
    struct SlLinksOptions links = {.handler = &shell->links_handler,
                                   .keyring = shell->settings.keyring};

    if (shell->settings.control.self_forming) {
        links.redial_min_us = SELF_FORMING_REDIAL_MIN_US;
        links.redial_max_us = SELF_FORMING_REDIAL_MAX_US;
    }
    shell->loop = SlLoop_Create();
    links.loop = shell->loop;
    shell->sealer = SlSealer_Create(&seal);
    shell->links = SlLinks_Create(&links);
    if (shell->loop == NULL || shell->sealer == NULL || shell->links == NULL ||
        output_sink_init(&shell->control_sink, shell, true) != SL_OK) {
        return SlError_Set(error, SL_NO_MEMORY, SL_STEP_OPEN, NULL,
                           "no memory for links and tunnels");
    }
    return SlLinks_Listen(shell->links, &shell->settings.node.link, NULL,
                          error);
}

static void
handle_signals(struct SlWatch *watch, uint32_t events);
static void
handle_tick(struct SlTimer *timer, uint64_t now_us);

static enum SlStatus
watch_signals(struct SlShell *shell, struct SlError *error)
{
    int descriptor;

    if (SlSignals_Open(SIGNALS, SIGNAL_COUNT, &descriptor) != SL_OK) {
        return SlError_Set(error, SL_IO, SL_STEP_OPEN, NULL,
                           "cannot open a descriptor for signals");
    }
    shell->signals.shell = shell;
    shell->signals.watch.descriptor = descriptor;
    shell->signals.watch.on_ready = handle_signals;
    return SlLoop_Watch(shell->loop, &shell->signals.watch, SL_LOOP_READ);
}

static const struct SlAdapter *
find_adapter(const char *name)
{
    const struct SlAdapter *const *adapter = SL_ADAPTERS;

    while (*adapter != NULL && strcmp((*adapter)->name, name) != 0) {
        adapter++;
    }
    return *adapter;
}

static enum SlStatus
open_relay(struct SlShell *shell, struct SlFiles *files, struct SlError *error)
{
    const struct SlAdapter *adapter =
        find_adapter(shell->settings.relay.adapter);
    enum SlStatus status = SL_OK;

    if (adapter == NULL) {
        return SlError_Set(error, SL_NOT_FOUND, SL_STEP_OPEN, NULL,
                           "unknown adapter \"%s\"",
                           shell->settings.relay.adapter);
    }
    if (shell->settings.node.roles & (SL_ROLE_ENTRY | SL_ROLE_AGENT)) {
        status = shell_relay_open(shell, adapter, &shell->relay, error);
    }
    if (status == SL_OK) {
        status = SlFront_Open(shell, adapter, &shell->front, error);
    }
    if (status == SL_OK && SlNode_Control(shell->node) != NULL) {
        open_operator_link(shell);
        status = shell_flow_records_open(shell, files, error);
    }
    return status;
}

static enum SlStatus
open_components(struct SlShell *shell, struct SlFiles *files,
                struct SlError *error)
{
    enum SlStatus status = open_storage(shell, files, error);

    if (status == SL_OK) {
        status = create_transport(shell, error);
    }
    if (status == SL_OK) {
        status = watch_signals(shell, error);
    }
    if (status == SL_OK && shell->settings.relay.adapter[0] == '\0') {
        status = packet_threads_open(shell, error);
    }
    if (status == SL_OK && shell->settings.record.file[0] != '\0') {
        status = set_recording_file(shell, shell->settings.record.file, error);
    }
    if (status == SL_OK) {
        status = create_node(shell, shell->started_us, error);
    }
    if (status == SL_OK && shell->settings.relay.adapter[0] != '\0') {
        status = open_relay(shell, files, error);
    }
    return status;
}

enum SlStatus
SlShell_Create(const struct SlShellOptions *options, struct SlShell **shell,
               struct SlError *error)
{
    struct SlShell *created = calloc(1, sizeof(*created));
    enum SlStatus status;

    *shell = NULL;
    if (created == NULL || sodium_init() < 0) {
        free(created);
        return SlError_Set(error, SL_NO_MEMORY, SL_STEP_OPEN, NULL,
                           "no memory for the process");
    }
    created->links_handler.type = &SHELL_LINKS_HANDLER_TYPE;
    created->settings = *options->settings;
    created->settings_path = options->settings_path;
    created->log = options->log;
    created->boot = SlClock_Wall();
    created->started_us = SlClock_Monotonic();
    created->control_sink.tunnel_descriptor = -1;
    created->signals.watch.descriptor = -1;
    pthread_rwlock_init(&created->recording.lock, NULL);
    rcu_register_thread();
    status = open_components(created, options->files, error);
    if (status != SL_OK) {
        SlShell_Destroy(created);
        return status;
    }
    *shell = created;
    return SL_OK;
}

void
SlShell_Destroy(struct SlShell *shell)
{
    if (shell == NULL) {
        return;
    }
    packet_threads_close(shell);
    SlFront_Close(shell->front);
    shell_relay_close(shell->relay);
    shell_flow_records_close(shell);
    SlLinks_Destroy(shell->links);
    (void)set_recording_file(shell, "", NULL);
    SlNode_Destroy(shell->node);
    SlStorage_Destroy(shell->storage);
    SlSealer_Destroy(shell->sealer);
    output_sink_release(&shell->control_sink);
    free_peers(shell);
    SlBuffer_Release(&shell->encode_buffer);
    if (shell->signals.watch.descriptor >= 0) {
        close(shell->signals.watch.descriptor);
    }
    SlLoop_Destroy(shell->loop);
    pthread_rwlock_destroy(&shell->recording.lock);
    rcu_unregister_thread();
    sodium_memzero(&shell->settings.keyring, sizeof(shell->settings.keyring));
    free(shell);
}

static void
begin_planned_stop(struct SlShell *shell)
{
    uint64_t now_us = SlClock_Monotonic();

    if (shell->stopping) {
        return;
    }
    shell->stopping = true;
    shell->stop_us = now_us;
    log_event(shell,
              (struct SlEvent){
                  .number = SL_EVENT_STOPPING,
                  .now_us = now_us,
                  .reason = "signal",
                  .value = (int64_t)shell->settings.node.stop_timeout_ms *
                           US_PER_MS});
    handle_control_input(shell, SL_INPUT_STOP, now_us);
    if (shell->relay != NULL) {
        shell_relay_stop(shell->relay, now_us);
    }
    shell->has_inputs = true;
}

/// Reads the settings file again and applies the settings that may change
/// while the process runs: log level and keys. If the file has faults, keeps
/// the present settings.
static void
reload_settings(struct SlShell *shell)
{
    struct SlSettings settings;
    struct SlFaults faults;

    SlSettings_Load(shell->settings_path, &settings, &faults);
    for (uint32_t i = 0; i < faults.count; i++) {
        log_event(shell, (struct SlEvent){.number = SL_EVENT_FAILED,
                                          .node = faults.items[i].key,
                                          .reason = "settings",
                                          .value = faults.items[i].line});
    }
    if (faults.count > 0) {
        log_event(shell, (struct SlEvent){.number = SL_EVENT_RELOADED,
                                          .reason = "refused"});
        return;
    }
    shell->settings.node.log_level = settings.node.log_level;
    shell->settings.keyring = settings.keyring;
    SlLog_SetLevel(shell->log, settings.node.log_level);
    SlLinks_SetKeyring(shell->links, &settings.keyring);
    SlSealer_SetKeyring(shell->sealer, &settings.keyring);
    sodium_memzero(&settings.keyring, sizeof(settings.keyring));
    log_event(shell, (struct SlEvent){.number = SL_EVENT_RELOADED,
                                      .reason = "taken"});
}

static void
handle_signals(struct SlWatch *watch, uint32_t events)
{
    struct SlShell *shell = ((struct signal_watch *)watch)->shell;
    int number;

    (void)events;
    while ((number = SlSignals_Next(watch->descriptor)) != 0) {
        if (number == SIGHUP) {
            reload_settings(shell);
        }
        else {
            begin_planned_stop(shell);
        }
    }
}

/// Logs the number of datagrams refused since the previous line about refused
/// datagrams.
static void
log_refused_datagrams(struct SlShell *shell, uint64_t now_us)
{
    struct SlSealerCounters seal;
    uint64_t refused;

    SlSealer_Counters(shell->sealer, &seal);
    refused = seal.malformed + seal.unknown_key + seal.bad_tag +
              seal.replayed + seal.too_late +
              atomic_load(&shell->counts.datagrams_malformed) +
              atomic_load(&shell->counts.datagrams_wrong_sender);
    if (refused == shell->reported_refused_datagrams ||
        now_us <
            shell->refused_datagrams_reported_us + REFUSED_LOG_INTERVAL_US) {
        return;
    }
    log_event(
        shell,
        (struct SlEvent){
            .number = SL_EVENT_DATAGRAM_REFUSED,
            .now_us = now_us,
            .reason =
                seal.unknown_key + seal.bad_tag ? "forbidden" : "malformed",
            .value = (int64_t)(refused - shell->reported_refused_datagrams)});
    shell->reported_refused_datagrams = refused;
    shell->refused_datagrams_reported_us = now_us;
}

/// Passes the addresses of the services to the port towards callers when the
/// routing table has changed.
static void
update_port_addresses(struct SlShell *shell)
{
    const struct SlRouting *routing = SlNode_Routing(shell->node);
    struct SlPort *port = shell->control_sink.callers_port;
    struct SlPortAddress addresses[SERVICE_ADDRESSES_MAX];
    uint32_t count;

    if (routing == NULL || port == NULL ||
        SlVersion_Compare(SlRouting_Version(routing),
                          shell->addresses_version) == 0) {
        return;
    }
    shell->addresses_version = SlRouting_Version(routing);
    count = SlRouting_ServiceCount(routing);
    count = count < SERVICE_ADDRESSES_MAX ? count : SERVICE_ADDRESSES_MAX;
    for (uint32_t i = 0; i < count; i++) {
        const struct SlRouteService *service = SlRouting_ServiceAt(routing, i);

        addresses[i] = (struct SlPortAddress){.address = service->address,
                                              .protocol = service->protocol};
    }
    port->type->set_addresses(port, addresses, count);
}

static void
handle_tick(struct SlTimer *timer, uint64_t now_us)
{
    struct SlShell *shell = ((struct tick_timer *)timer)->shell;

    SlLinks_Tick(shell->links, now_us);
    handle_control_input(shell, SL_INPUT_TICK, now_us);
    shell->has_inputs = true;
    if (shell->relay != NULL) {
        shell_relay_tick(shell->relay, now_us);
    }
    shell_flow_records_tick(shell, now_us);
    if (shell->front != NULL) {
        SlFront_Tick(shell->front, now_us);
    }
    log_refused_datagrams(shell, now_us);
    SlLoop_StartTimer(shell->loop, timer, now_us + SL_TICK_US);
}

/// Ends the batch of inputs: the cores write and emit what they have
/// collected, and control syncs its log. Then the packets and messages are
/// sent.
static void
end_batch(struct SlShell *shell)
{
    uint64_t now_us = SlClock_Monotonic();

    SlLinks_EndFailed(shell->links);
    if (!shell->has_inputs) {
        return;
    }
    shell->has_inputs = false;
    handle_control_input(shell, SL_INPUT_BATCH_END, now_us);
    output_sink_flush(&shell->control_sink);
    SlLinks_Flush(shell->links);
    if (shell->relay != NULL) {
        shell_relay_end_batch(shell->relay, now_us);
    }
    update_port_addresses(shell);
}

/// Returns true when a planned stop of the process has completed or reached
/// its time-out.
static bool
may_process_exit(const struct SlShell *shell)
{
    uint64_t now_us = SlClock_Monotonic();
    uint64_t stopping_us = now_us - shell->stop_us;
    uint32_t roles = shell->settings.node.roles;
    uint64_t min_stop_us =
        roles & (SL_ROLE_ENTRY | SL_ROLE_AGENT) ? STOP_MIN_US : 0;

    if (shell->relay != NULL && (roles & SL_ROLE_AGENT)) {
        min_stop_us = RELAY_AGENT_STOP_MIN_US;
    }

    if (!shell->stopping) {
        return false;
    }
    if (stopping_us >=
        (uint64_t)shell->settings.node.stop_timeout_ms * US_PER_MS) {
        return true;
    }
    return stopping_us >= min_stop_us && SlNode_IsIdle(shell->node) &&
           (shell->relay == NULL ||
            shell_relay_may_stop(shell->relay, now_us));
}

int
SlShell_Run(struct SlShell *shell)
{
    struct SlError error;
    bool idle;

    if (shell->settings.relay.adapter[0] == '\0' &&
        packet_threads_start(shell, &error) != SL_OK) {
        log_event(shell, (struct SlEvent){.number = SL_EVENT_FAILED,
                                          .reason = "threads"});
        return 1;
    }
    shell->tick.shell = shell;
    shell->tick.timer.on_due = handle_tick;
    SlLoop_StartTimer(shell->loop, &shell->tick.timer, SlClock_Monotonic());
    log_event(shell, (struct SlEvent){.number = SL_EVENT_STARTED,
                                      .node = shell->settings.node.name,
                                      .reason = "settings_hold",
                                      .value = (int64_t)shell->boot});
    while (!may_process_exit(shell)) {
        SlLoop_RunOnce(shell->loop, SL_TICK_US);
        end_batch(shell);
    }
    idle = SlNode_IsIdle(shell->node);
    packet_threads_stop(shell);
    log_event(shell, (struct SlEvent){.number = SL_EVENT_STOPPED,
                                      .reason = idle ? "idle" : "time_is_up"});
    return 0;
}
