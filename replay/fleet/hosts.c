#include <stdlib.h>
#include <string.h>

#include "segment_stub.h"
#include "world.h"

enum {
    PORT_FRAMES = 7720,
    FIRST_ADDRESS = 1,
    BYTE = 256,
    PERMILLE = 1000,
    CAPACITY_FLOWS = 2000,
    IDLE_MS = 15000,
    COLD_PER_S = 0,
};

static struct fleet_host *
host_at(struct fleet *fleet, const struct SlAddress *address)
{
    uint32_t number = (uint32_t)address->ip[14] * BYTE + address->ip[15];

    return number >= FIRST_ADDRESS &&
                   number < FIRST_ADDRESS + fleet->host_count
               ? &fleet->hosts[number - FIRST_ADDRESS]
               : NULL;
}

/// Time that bytes take on a link that is free from *free_us on; 0 when they
/// would wait for too long and are dropped.
static uint64_t
pass_link(struct fleet *fleet, const struct FleetMachine *machine,
          uint64_t *free_us, uint32_t length_bytes)
{
    uint64_t begin_us = *free_us > fleet->now_us ? *free_us : fleet->now_us;
    uint64_t takes_us =
        (uint64_t)length_bytes * US_PER_S / machine->link_bytes_per_s + 1;

    if (begin_us - fleet->now_us >
        (uint64_t)machine->link_queue_ms * US_PER_MS) {
        fleet->result->lost++;
        return 0;
    }
    *free_us = begin_us + takes_us;
    return *free_us - fleet->now_us;
}

static bool
is_lost(struct fleet *fleet)
{
    return fleet_random(fleet) % PERMILLE < fleet->settings->loss_permille;
}

static void
host_send_frame(struct SlRelaySink *sink, const struct SlAddress *to,
                const struct SlRelayFrame *frame)
{
    struct fleet_host *host = (struct fleet_host *)sink;
    struct fleet *fleet = host->fleet;
    struct fleet_host *target = host_at(fleet, to);
    uint8_t bytes[SL_RELAY_MAX_BYTES];
    uint32_t length_bytes = SlRelayFrame_Encode(frame, bytes);
    struct fleet_datagram *datagram;
    uint64_t takes_us;

    host->sent++;
    if (host->is_entry) {
        fleet->result->windows[fleet->now_us / US_PER_S].frames++;
        fleet->result->questions += frame->kind == SL_RELAY_QUERY;
    }
    takes_us = pass_link(fleet, host->machine, &host->out_us,
                         length_bytes + FLEET_HEADER_BYTES);
    if (takes_us == 0 || target == NULL || is_lost(fleet)) {
        return;
    }
    datagram = fleet_datagram(fleet, host->number, bytes, length_bytes);
    if (datagram != NULL) {
        datagram->is_frame = true;
        fleet_add(fleet, takes_us + FLEET_WAY_US, FLEET_AT_LINK,
                  target->number, 0, datagram);
    }
}

static void
host_send_to_caller(struct SlRelaySink *sink, const struct SlAddress *caller,
                    const uint8_t *bytes, uint32_t length_bytes)
{
    struct fleet_host *host = (struct fleet_host *)sink;
    struct fleet *fleet = host->fleet;
    struct fleet_datagram *datagram;
    uint64_t takes_us = pass_link(fleet, host->machine, &host->out_us,
                                  length_bytes + FLEET_HEADER_BYTES);

    (void)caller;
    host->sent++;
    if (takes_us == 0 || is_lost(fleet)) {
        return;
    }
    datagram = fleet_datagram(fleet, host->number, bytes, length_bytes);
    if (datagram != NULL) {
        fleet_add(fleet, takes_us + FLEET_WAY_US, FLEET_TO_CALLER, 0, 0,
                  datagram);
    }
}

static void
host_send_to_upstream(struct SlRelaySink *sink, const uint8_t *bytes,
                      uint32_t length_bytes)
{
    struct fleet_host *host = (struct fleet_host *)sink;
    struct fleet_datagram *datagram =
        fleet_datagram(host->fleet, host->number, bytes, length_bytes);

    host->sent++;
    if (datagram != NULL) {
        fleet_add(host->fleet, 1, FLEET_TO_UPSTREAM, host->number,
                  host->upstream.born, datagram);
    }
}

static void
host_event(struct SlRelaySink *sink, const struct SlEvent *event)
{
    struct fleet_host *host = (struct fleet_host *)sink;

    host->fleet->result->searches += event->number == SL_EVENT_RELAY_SEARCH;
}

static const struct SlRelaySinkType HOST_SINK = {
    .send_to_caller = host_send_to_caller,
    .send_to_upstream = host_send_to_upstream,
    .send_frame = host_send_frame,
    .event = host_event,
};

static void
name_zone(uint32_t zone, char text[SL_NAME_BYTES])
{
    snprintf(text, SL_NAME_BYTES, "zone-%u", zone);
}

static enum SlStatus
put_host(struct fleet *fleet, const struct fleet_host *host)
{
    struct SlObject object = {
        .kind = SL_KIND_NODE,
        .node = {.node_id = SlNode_Id(host->name),
                 .roles = host->is_entry ? SL_ROLE_ENTRY : SL_ROLE_AGENT,
                 .tunnel = host->address,
                 .boot = 1,
                 .slots = fleet->settings->slots,
                 .capacity_flows = CAPACITY_FLOWS}};

    memcpy(object.name, host->name, sizeof(object.name));
    name_zone(host->zone, object.node.zone);
    if (!host->is_entry) {
        (void)SlLabels_Set(&object.node.announced, "service", "orders");
    }
    return SlConfig_PutObject(fleet->config, &object);
}

static enum SlStatus
make_plan(struct fleet *fleet)
{
    struct SlPlanService service = {.name = "orders",
                                    .health_path = "/health",
                                    .capacity_flows = CAPACITY_FLOWS,
                                    .cold_ms = 2000,
                                    .slow_start_flows_per_s = COLD_PER_S};
    struct SlPlanRoute route = {.name = "orders",
                                .address = fleet_flow_key(0).service,
                                .kind = SL_TRAFFIC_IDEMPOTENT,
                                .timeout_ms = fleet->settings->deadline_ms,
                                .objective_ms = fleet->settings->objective_ms,
                                .share_count = 1,
                                .shares = {{.service_index = 0, .weight = 1}}};
    struct SlError error;

    fleet->plan = SlPlan_Create(1);
    if (fleet->plan == NULL) {
        return SL_NO_MEMORY;
    }
    SlPlan_SetIdleMs(fleet->plan, IDLE_MS);
    if (SlPlan_AddService(fleet->plan, &service, &error) != SL_OK ||
        SlPlan_AddRoute(fleet->plan, &route, &error) != SL_OK) {
        return SL_NO_MEMORY;
    }
    return SlPlan_Finish(fleet->plan, &error);
}

static enum SlStatus
create_host(struct fleet *fleet, uint32_t number)
{
    struct fleet_host *host = &fleet->hosts[number];
    const struct FleetSettings *settings = fleet->settings;
    uint32_t of_kind;

    host->sink.type = &HOST_SINK;
    host->fleet = fleet;
    host->number = number;
    host->is_entry = number < settings->entries;
    of_kind = host->is_entry ? number : number - settings->entries;
    host->zone = of_kind % settings->zones;
    host->machine = host->is_entry ? &settings->entry : &settings->agent;
    host->last = &host->first;
    snprintf(host->name, sizeof(host->name), "%s-%u",
             host->is_entry ? "entry" : "agent", of_kind);
    host->address.ip[10] = UINT8_MAX;
    host->address.ip[11] = UINT8_MAX;
    host->address.ip[12] = 10;
    host->address.ip[14] = (uint8_t)((number + FIRST_ADDRESS) / BYTE);
    host->address.ip[15] = (uint8_t)((number + FIRST_ADDRESS) % BYTE);
    host->address.port = PORT_FRAMES;
    host->upstream.free_us =
        calloc(settings->slots, sizeof(*host->upstream.free_us));
    return host->upstream.free_us != NULL ? put_host(fleet, host)
                                          : SL_NO_MEMORY;
}

enum SlStatus
fleet_create_hosts(struct fleet *fleet)
{
    enum SlStatus status = SL_NO_MEMORY;

    fleet->config = SlConfig_Create();
    fleet->host_count = fleet->settings->entries + fleet->settings->agents;
    fleet->hosts = calloc(fleet->host_count, sizeof(*fleet->hosts));
    if (fleet->config == NULL || fleet->hosts == NULL) {
        return SL_NO_MEMORY;
    }
    SlConfig_SetVersion(fleet->config,
                        (struct SlVersion){.term = 1, .index = 1});
    status = make_plan(fleet);
    for (uint32_t i = 0; status == SL_OK && i < fleet->host_count; i++) {
        status = create_host(fleet, i);
    }
    return status;
}

void
fleet_destroy_hosts(struct fleet *fleet)
{
    for (uint32_t i = 0; fleet->hosts != NULL && i < fleet->host_count; i++) {
        fleet_host_stop(&fleet->hosts[i]);
        free(fleet->hosts[i].upstream.free_us);
    }
    free(fleet->hosts);
    SlConfig_Destroy(fleet->config);
    SlPlan_Unref(fleet->plan);
}

void
fleet_host_stop(struct fleet_host *host)
{
    SlRelayEntry_Destroy(host->entry);
    SlRelayAgent_Destroy(host->agent);
    host->entry = NULL;
    host->agent = NULL;
    host->runs = false;
    host->generation++;
    host->tick_due = false;
    host->run_planned = false;
    while (host->first != NULL) {
        struct fleet_datagram *datagram = host->first;

        host->first = datagram->next;
        free(datagram);
    }
    host->last = &host->first;
    host->waiting = 0;
}

void
fleet_host_start(struct fleet_host *host)
{
    struct fleet *fleet = host->fleet;
    struct SlRelayOptions options = {.format = &STUB_FORMAT,
                                     .seed = fleet_random(fleet),
                                     .service = "orders"};

    memcpy(options.name, host->name, sizeof(options.name));
    name_zone(host->zone, options.zone);
    options.start_wall_ms = fleet->now_us / US_PER_MS;
    if (host->is_entry) {
        host->entry = SlRelayEntry_Create(&options);
    }
    else {
        host->agent = SlRelayAgent_Create(&options, fleet->now_us);
    }
    host->runs = true;
    host->busy_us = fleet->now_us;
    fleet->out_of_memory =
        fleet->out_of_memory || (host->entry == NULL && host->agent == NULL);
    fleet_add(fleet, SL_RELAY_TICK_US, FLEET_TICK, host->number,
              host->generation, NULL);
}

void
fleet_host_configure(struct fleet_host *host)
{
    struct fleet *fleet = host->fleet;
    enum SlStatus status;

    if (host->is_entry) {
        status =
            SlRelayEntry_SetConfig(host->entry, &host->sink, fleet->now_us,
                                   fleet->config, fleet->plan);
    }
    else {
        status =
            SlRelayAgent_SetConfig(host->agent, &host->sink, fleet->now_us,
                                   fleet->config, fleet->plan);
    }
    fleet->out_of_memory = fleet->out_of_memory || status != SL_OK;
}

void
fleet_host_at_link(struct fleet_host *host, struct fleet_datagram *datagram)
{
    uint64_t takes_us = pass_link(host->fleet, host->machine, &host->in_us,
                                  datagram->length_bytes + FLEET_HEADER_BYTES);

    if (takes_us == 0) {
        free(datagram);
        return;
    }
    fleet_add(host->fleet, takes_us, FLEET_AT_SOCKET, host->number, 0,
              datagram);
}

/// The processor goes on as soon as it is free.
static void
plan_run(struct fleet_host *host)
{
    uint64_t now_us = host->fleet->now_us;

    if (!host->run_planned) {
        host->run_planned = true;
        fleet_add(host->fleet,
                  host->busy_us > now_us ? host->busy_us - now_us : 0,
                  FLEET_RUN, host->number, host->generation, NULL);
    }
}

void
fleet_host_at_socket(struct fleet_host *host, struct fleet_datagram *datagram)
{
    if (!host->runs || host->waiting == host->machine->socket_datagrams) {
        host->fleet->result->lost += host->runs;
        free(datagram);
        return;
    }
    datagram->next = NULL;
    *host->last = datagram;
    host->last = &datagram->next;
    host->waiting++;
    plan_run(host);
}

static void
take_datagram(struct fleet_host *host, const struct fleet_datagram *datagram)
{
    struct fleet *fleet = host->fleet;
    struct SlRelayFrame frame;

    if (!datagram->is_frame) {
        fleet->result->windows[fleet->now_us / US_PER_S].segments++;
        SlRelayEntry_HandleCallerSegment(host->entry, &host->sink,
                                         fleet->now_us, datagram->bytes,
                                         datagram->length_bytes);
        return;
    }
    if (SlRelayFrame_Decode(datagram->bytes, datagram->length_bytes, &frame) !=
        SL_OK) {
        return;
    }
    if (host->is_entry) {
        SlRelayEntry_HandleFrame(host->entry, &host->sink, fleet->now_us,
                                 &frame);
    }
    else {
        SlRelayAgent_HandleFrame(host->agent, &host->sink, fleet->now_us,
                                 &fleet->hosts[datagram->from].address,
                                 &frame);
    }
}

/// What was done takes processor time, of a whole core cost_us.
static void
spend(struct fleet_host *host, uint64_t cost_us)
{
    cost_us += (uint64_t)host->sent * host->fleet->settings->frame_cost_us;
    host->sent = 0;
    host->busy_us = host->fleet->now_us +
                    cost_us * PERMILLE / host->machine->share_permille;
}

void
fleet_host_run(struct fleet_host *host)
{
    struct fleet *fleet = host->fleet;
    struct fleet_datagram *datagram = host->first;

    host->run_planned = false;
    host->sent = 0;
    if (datagram != NULL) {
        host->first = datagram->next;
        host->last = host->first == NULL ? &host->first : host->last;
        host->waiting--;
        take_datagram(host, datagram);
        free(datagram);
        spend(host, fleet->settings->frame_cost_us);
    }
    else if (host->tick_due) {
        host->tick_due = false;
        if (host->is_entry) {
            SlRelayEntry_Tick(host->entry, &host->sink, fleet->now_us);
        }
        else {
            SlRelayAgent_Tick(host->agent, &host->sink, fleet->now_us);
        }
        spend(host, fleet->settings->tick_cost_us);
    }
    if (host->first != NULL || host->tick_due) {
        plan_run(host);
    }
}

void
fleet_host_tick(struct fleet_host *host)
{
    host->tick_due = true;
    plan_run(host);
    fleet_add(host->fleet, SL_RELAY_TICK_US, FLEET_TICK, host->number,
              host->generation, NULL);
}
