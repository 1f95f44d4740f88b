#include <signal.h>
#include <sodium.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>
#include <urcu.h>

#include "shell_internal.h"

enum {
    US_PER_MS = 1000,
    /// A leaving entry or agent serves on at least this long, so that the
    /// others hear of it first.
    LINGER_US = 2 * 1000 * 1000,
    REFUSED_PAUSE_US = 1000 * 1000,
    MAX_SERVICES = 1024,
    /// Processes of a self-forming site come back together: a long pause
    /// before the next connection would be the longest part of a restart.
    SELF_FORMING_REDIAL_US = 250 * 1000,
    /// An agent of the relay ends its requests and goes: its upstream's flows
    /// wait for the next process.
    RELAY_AGENT_LINGER_US = 300 * 1000,
    /// Until the plan tells how many flows an upstream holds.
    RELAY_CAPACITY_FLOWS = 2000,
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

/// The advertised address of a process that does not set one.
static const uint8_t NO_IP[sizeof(((struct SlAddress *)0)->ip)];

static void
give_control_input(struct SlShell *shell, enum SlInputKind kind,
                   uint64_t now_us)
{
    struct SlInput input = {
        .kind = kind, .now_us = now_us, .wall_us = SlClock_Wall()};

    shell->control.now_us = now_us;
    give_input(shell, &shell->control, &input);
}

/// An address as others reach it.
static struct SlAddress
advertised(const struct SlShell *shell, const struct SlAddress *address)
{
    const struct SlAddress *advertise = &shell->settings.node.advertise;
    struct SlAddress reached = *address;

    if (memcmp(advertise->ip, NO_IP, sizeof(NO_IP)) != 0) {
        memcpy(reached.ip, advertise->ip, sizeof(reached.ip));
    }
    return reached;
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
    node->tunnel = advertised(shell, &settings->node.tunnel);
    node->link = advertised(shell, &settings->node.link);
    node->boot = shell->boot;
    node->slots = settings->agent.slots;
    node->capacity_flows = settings->agent.capacity_flows;
}

/// An agent of the relay leaves until its upstream has spoken: then its slots
/// are known too.
static void
fill_relay_announcement(const struct SlShell *shell, struct SlObject *object)
{
    if (shell->settings.node.roles & SL_ROLE_AGENT) {
        object->node.slots = 1;
        object->node.capacity_flows = RELAY_CAPACITY_FLOWS;
        object->node.leaving = true;
    }
}

void
shell_announce(struct SlShell *shell, uint64_t now_us,
               const struct shell_presence *presence)
{
    struct SlNodeSpec *node = &shell->announcement.node;

    node->slots = presence->slots > 0 ? presence->slots : 1;
    node->leaving = presence->leaving;
    if (presence->gone) {
        SlLabels_Unset(&node->announced, "service");
    }
    else {
        (void)SlLabels_Set(&node->announced, "service",
                           shell->settings.relay.service);
    }
    SlNode_Announce(shell->node, &shell->control.sink, now_us,
                    &shell->announcement);
    shell->has_inputs = true;
}

void
shell_give_change(struct SlShell *shell, uint64_t now_us,
                  const struct SlChange *change)
{
    struct SlMessage message = {.kind = SL_MESSAGE_CHANGE, .change = *change};
    struct SlInput input = {.kind = SL_INPUT_MESSAGE,
                            .now_us = now_us,
                            .wall_us = SlClock_Wall(),
                            .link = SHELL_DESK_LINK,
                            .message = &message};

    shell->control.now_us = now_us;
    give_input(shell, &shell->control, &input);
    shell->has_inputs = true;
}

/// The desk of this process's own operators speaks to the control instance
/// over a link of its own.
static void
open_desk_link(struct SlShell *shell)
{
    struct SlPeer peer = {
        .node_id = SlNode_Id("desk"), .name = "desk", .boot = shell->boot};
    struct SlInput input = {.kind = SL_INPUT_LINK_UP,
                            .now_us = SlClock_Monotonic(),
                            .wall_us = SlClock_Wall(),
                            .link = SHELL_DESK_LINK,
                            .peer = &peer};

    shell->control.now_us = input.now_us;
    give_input(shell, &shell->control, &input);
}

static void
fill_control(const struct SlShell *shell, struct SlNodeOptions *options)
{
    const struct SlMembers *members = &shell->settings.control.members;

    options->uses_relay = shell->settings.relay.adapter[0] != '\0';
    options->control.self_forming = shell->settings.control.self_forming;
    options->control.link = advertised(shell, &shell->settings.node.link);
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
        struct SlControlMember *filled = &options->control.members[i];

        filled->node_id = SlNode_Id(member->name);
        memcpy(filled->name, member->name, SL_NAME_BYTES);
        filled->link = member->link;
        filled->voter = true;
        options->replica.control_ids[i] = filled->node_id;
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
    fill_control(shell, &options);
    fill_announcement(shell, &options.replica.announce);
    if (options.uses_relay) {
        fill_relay_announcement(shell, &options.replica.announce);
        options.replica.delay_announcement =
            (shell->settings.node.roles & SL_ROLE_AGENT) != 0;
    }
    shell->announcement = options.replica.announce;
    if (shell->recording.recorder != NULL) {
        SlRecorder_Node(shell->recording.recorder, &options, now_us);
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
    struct SlLinksOptions links = {.handler = &shell->links_owner,
                                   .keyring = shell->settings.keyring};

    if (shell->settings.control.self_forming) {
        links.redial_max_us = SELF_FORMING_REDIAL_US;
    }
    shell->loop = SlLoop_Create();
    links.loop = shell->loop;
    shell->sealer = SlSealer_Create(&seal);
    shell->links = SlLinks_Create(&links);
    if (shell->loop == NULL || shell->sealer == NULL || shell->links == NULL ||
        outlet_init(&shell->control, shell, true) != SL_OK) {
        return SlError_Set(error, SL_NO_MEMORY, SL_STEP_OPEN, NULL,
                           "no memory for the transport");
    }
    return SlLinks_Listen(shell->links, &shell->settings.node.link, NULL,
                          error);
}

static void
ready_signals(struct SlWatch *watch, uint32_t events);
static void
fire_tick(struct SlTimer *timer, uint64_t now_us);

static enum SlStatus
watch_signals(struct SlShell *shell, struct SlError *error)
{
    int descriptor;

    if (SlSignals_Open(SIGNALS, SIGNAL_COUNT, &descriptor) != SL_OK) {
        return SlError_Set(error, SL_IO, SL_STEP_OPEN, NULL,
                           "cannot watch for signals");
    }
    shell->signals.shell = shell;
    shell->signals.watch.descriptor = descriptor;
    shell->signals.watch.on_ready = ready_signals;
    return SlLoop_Watch(shell->loop, &shell->signals.watch, SL_LOOP_READ);
}

static const struct SlAdapter *
find_adapter(const char *name)
{
    const struct SlAdapter *const *at = SL_ADAPTERS;

    while (*at != NULL && strcmp((*at)->name, name) != 0) {
        at++;
    }
    return *at;
}

static enum SlStatus
open_relay(struct SlShell *shell, struct SlError *error)
{
    const struct SlAdapter *adapter =
        find_adapter(shell->settings.relay.adapter);
    enum SlStatus status = SL_OK;

    if (adapter == NULL) {
        return SlError_Set(error, SL_NOT_FOUND, SL_STEP_OPEN, NULL,
                           "there is no adapter \"%s\"",
                           shell->settings.relay.adapter);
    }
    if (shell->settings.node.roles & (SL_ROLE_ENTRY | SL_ROLE_AGENT)) {
        status = shell_relay_open(shell, adapter, &shell->relay, error);
    }
    if (status == SL_OK) {
        status = SlFront_Open(shell, adapter, &shell->front, error);
    }
    if (status == SL_OK && SlNode_Control(shell->node) != NULL) {
        open_desk_link(shell);
    }
    return status;
}

static enum SlStatus
open_parts(struct SlShell *shell, struct SlFiles *files, struct SlError *error)
{
    enum SlStatus status = open_storage(shell, files, error);

    if (status == SL_OK) {
        status = create_transport(shell, error);
    }
    if (status == SL_OK) {
        status = watch_signals(shell, error);
    }
    if (status == SL_OK && shell->settings.relay.adapter[0] == '\0') {
        status = threads_open(shell, error);
    }
    if (status == SL_OK && shell->settings.record.file[0] != '\0') {
        status = record_switch(shell, shell->settings.record.file, error);
    }
    if (status == SL_OK) {
        status = create_node(shell, shell->started_us, error);
    }
    if (status == SL_OK && shell->settings.relay.adapter[0] != '\0') {
        status = open_relay(shell, error);
    }
    return status;
}

enum SlStatus
SlShell_Create(const struct SlShellOptions *options, struct SlShell **shell,
               struct SlError *error)
{
    struct SlShell *made = calloc(1, sizeof(*made));
    enum SlStatus status;

    *shell = NULL;
    if (made == NULL || sodium_init() < 0) {
        free(made);
        return SlError_Set(error, SL_NO_MEMORY, SL_STEP_OPEN, NULL,
                           "no memory to start");
    }
    made->links_owner.type = &SHELL_LINKS;
    made->settings = *options->settings;
    made->settings_path = options->settings_path;
    made->log = options->log;
    made->boot = SlClock_Wall();
    made->started_us = SlClock_Monotonic();
    made->control.tunnel = -1;
    made->signals.watch.descriptor = -1;
    pthread_rwlock_init(&made->recording.lock, NULL);
    rcu_register_thread();
    status = open_parts(made, options->files, error);
    if (status != SL_OK) {
        SlShell_Destroy(made);
        return status;
    }
    *shell = made;
    return SL_OK;
}

void
SlShell_Destroy(struct SlShell *shell)
{
    if (shell == NULL) {
        return;
    }
    threads_close(shell);
    SlFront_Close(shell->front);
    shell_relay_close(shell->relay);
    SlLinks_Destroy(shell->links);
    (void)record_switch(shell, "", NULL);
    SlNode_Destroy(shell->node);
    SlStorage_Destroy(shell->storage);
    SlSealer_Destroy(shell->sealer);
    outlet_release(&shell->control);
    forget_peers(shell);
    SlBuffer_Release(&shell->encoded);
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
begin_stop(struct SlShell *shell)
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
    give_control_input(shell, SL_INPUT_STOP, now_us);
    if (shell->relay != NULL) {
        shell_relay_stop(shell->relay, now_us);
    }
    shell->has_inputs = true;
}

/// Takes what may change while the process runs: log level and keys.
static void
reload(struct SlShell *shell)
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
ready_signals(struct SlWatch *watch, uint32_t events)
{
    struct SlShell *shell = ((struct signal_watch *)watch)->shell;
    int number;

    (void)events;
    while ((number = SlSignals_Next(watch->descriptor)) != 0) {
        if (number == SIGHUP) {
            reload(shell);
        }
        else {
            begin_stop(shell);
        }
    }
}

static void
say_refused(struct SlShell *shell, uint64_t now_us)
{
    struct SlSealerCounters seal;
    uint64_t refused;

    SlSealer_Counters(shell->sealer, &seal);
    refused = seal.malformed + seal.unknown_key + seal.bad_tag +
              seal.replayed + seal.too_late +
              atomic_load(&shell->counts.datagrams_malformed) +
              atomic_load(&shell->counts.datagrams_wrong_sender);
    if (refused == shell->refused_said ||
        now_us < shell->refused_said_us + REFUSED_PAUSE_US) {
        return;
    }
    log_event(shell,
              (struct SlEvent){
                  .number = SL_EVENT_DATAGRAM_REFUSED,
                  .now_us = now_us,
                  .reason = seal.unknown_key + seal.bad_tag ? "forbidden"
                                                            : "malformed",
                  .value = (int64_t)(refused - shell->refused_said)});
    shell->refused_said = refused;
    shell->refused_said_us = now_us;
}

/// Tells the callers' port which addresses the services have.
static void
refresh_addresses(struct SlShell *shell)
{
    const struct SlRouting *routing = SlNode_Routing(shell->node);
    struct SlPort *port = shell->control.callers;
    struct SlPortAddress addresses[MAX_SERVICES];
    uint32_t count;

    if (routing == NULL || port == NULL ||
        SlVersion_Compare(SlRouting_Version(routing),
                          shell->addresses_version) == 0) {
        return;
    }
    shell->addresses_version = SlRouting_Version(routing);
    count = SlRouting_ServiceCount(routing);
    count = count < MAX_SERVICES ? count : MAX_SERVICES;
    for (uint32_t i = 0; i < count; i++) {
        const struct SlRouteService *service = SlRouting_ServiceAt(routing, i);

        addresses[i] = (struct SlPortAddress){.address = service->address,
                                              .protocol = service->protocol};
    }
    port->type->set_addresses(port, addresses, count);
}

static void
fire_tick(struct SlTimer *timer, uint64_t now_us)
{
    struct SlShell *shell = ((struct tick_timer *)timer)->shell;

    SlLinks_Tick(shell->links, now_us);
    give_control_input(shell, SL_INPUT_TICK, now_us);
    shell->has_inputs = true;
    if (shell->relay != NULL) {
        shell_relay_tick(shell->relay, now_us);
    }
    if (shell->front != NULL) {
        SlFront_Tick(shell->front, now_us);
    }
    say_refused(shell, now_us);
    SlLoop_StartTimer(shell->loop, timer, now_us + SL_TICK_US);
}

/// Ends the batch: the cores write what they gathered, then it is sent.
static void
end_batch(struct SlShell *shell)
{
    uint64_t now_us = SlClock_Monotonic();

    if (!shell->has_inputs) {
        return;
    }
    shell->has_inputs = false;
    give_control_input(shell, SL_INPUT_BATCH_END, now_us);
    outlet_flush(&shell->control);
    SlLinks_Flush(shell->links);
    if (shell->relay != NULL) {
        shell_relay_end_batch(shell->relay, now_us);
    }
    refresh_addresses(shell);
}

static bool
may_end(const struct SlShell *shell)
{
    uint64_t now_us = SlClock_Monotonic();
    uint64_t spent_us = now_us - shell->stop_us;
    uint32_t roles = shell->settings.node.roles;
    uint64_t linger_us =
        roles & (SL_ROLE_ENTRY | SL_ROLE_AGENT) ? LINGER_US : 0;

    if (shell->relay != NULL && (roles & SL_ROLE_AGENT)) {
        linger_us = RELAY_AGENT_LINGER_US;
    }

    if (!shell->stopping) {
        return false;
    }
    if (spent_us >=
        (uint64_t)shell->settings.node.stop_timeout_ms * US_PER_MS) {
        return true;
    }
    return spent_us >= linger_us && SlNode_IsIdle(shell->node) &&
           (shell->relay == NULL || shell_relay_idle(shell->relay, now_us));
}

int
SlShell_Run(struct SlShell *shell)
{
    struct SlError error;
    bool idle;

    if (shell->settings.relay.adapter[0] == '\0' &&
        threads_start(shell, &error) != SL_OK) {
        log_event(shell, (struct SlEvent){.number = SL_EVENT_FAILED,
                                          .reason = "threads"});
        return 1;
    }
    shell->tick.shell = shell;
    shell->tick.timer.on_due = fire_tick;
    SlLoop_StartTimer(shell->loop, &shell->tick.timer, SlClock_Monotonic());
    log_event(shell, (struct SlEvent){.number = SL_EVENT_STARTED,
                                      .node = shell->settings.node.name,
                                      .reason = "settings_hold",
                                      .value = (int64_t)shell->boot});
    while (!may_end(shell)) {
        SlLoop_RunOnce(shell->loop, SL_TICK_US);
        end_batch(shell);
    }
    idle = SlNode_IsIdle(shell->node);
    threads_stop(shell);
    log_event(shell, (struct SlEvent){.number = SL_EVENT_STOPPED,
                                      .reason = idle ? "idle" : "time_is_up"});
    return 0;
}
