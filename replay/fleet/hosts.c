#include <stdlib.h>
#include <string.h>

#include "fleet_internal.h"
#include "segment_stub.h"

enum {
    FRAME_PORT = 7720,
    FIRST_HOST_ADDRESS = 1,
    OCTET_VALUES = 256,
    PERMILLE = 1000,
    CAPACITY_FLOWS = 2000,
    PLAN_IDLE_MS = 15000,
    COLD_FLOWS_PER_S = 0,
};

static struct fleet_host *
find_host(struct fleet *fleet, const struct SlAddress *address)
{
    uint32_t number =
        (uint32_t)address->ip[14] * OCTET_VALUES + address->ip[15];

    return number >= FIRST_HOST_ADDRESS &&
                   number < FIRST_HOST_ADDRESS + fleet->host_count
               ? &fleet->hosts[number - FIRST_HOST_ADDRESS]
               : NULL;
}

/// Sends bytes over a link that is busy until *free_us. Returns the time until
/// they have passed, in microseconds; 0 when they would wait for too long and
/// are dropped.
static uint64_t
transmit_over_link(struct fleet *fleet, const struct FleetMachine *machine,
                   uint64_t *free_us, uint32_t length_bytes)
{
    uint64_t start_us = *free_us > fleet->now_us ? *free_us : fleet->now_us;
    uint64_t delay_us =
        (uint64_t)length_bytes * US_PER_S / machine->link_bytes_per_s + 1;

    if (start_us - fleet->now_us >
        (uint64_t)machine->link_queue_ms * US_PER_MS) {
        fleet->result->lost++;
        return 0;
    }
    *free_us = start_us + delay_us;
    return *free_us - fleet->now_us;
}

static bool
is_lost_at_random(struct fleet *fleet)
{
    return fleet_random(fleet) % PERMILLE < fleet->settings->loss_permille;
}

static void
host_send_frame(struct SlRelaySink *sink, const struct SlAddress *to,
                const struct SlRelayFrame *frame)
{
    struct fleet_host *host = (struct fleet_host *)sink;
    struct fleet *fleet = host->fleet;
    struct fleet_host *target = find_host(fleet, to);
    uint8_t bytes[SL_RELAY_MAX_BYTES];
    uint32_t length_bytes = SlRelayFrame_Encode(frame, bytes);
    struct fleet_datagram *datagram;
    uint64_t delay_us;

    host->sent_count++;
    if (host->is_entry) {
        fleet->result->windows[fleet->now_us / US_PER_S].frames++;
        fleet->result->queries += frame->kind == SL_RELAY_QUERY;
    }
    delay_us =
        transmit_over_link(fleet, host->machine, &host->link_out_busy_until_us,
                           length_bytes + FLEET_HEADER_BYTES);
    if (delay_us == 0 || target == NULL || is_lost_at_random(fleet)) {
        return;
    }
    datagram = fleet_create_datagram(fleet, host->number, bytes, length_bytes);
    if (datagram != NULL) {
        datagram->is_frame = true;
        fleet_schedule(fleet, delay_us + FLEET_ONE_WAY_DELAY_US,
                       FLEET_TASK_LINK_ARRIVAL, target->number, 0, datagram);
    }
}

static void
host_send_to_caller(struct SlRelaySink *sink, const struct SlAddress *caller,
                    const uint8_t *bytes, uint32_t length_bytes)
{
    struct fleet_host *host = (struct fleet_host *)sink;
    struct fleet *fleet = host->fleet;
    struct fleet_datagram *datagram;
    uint64_t delay_us =
        transmit_over_link(fleet, host->machine, &host->link_out_busy_until_us,
                           length_bytes + FLEET_HEADER_BYTES);

    (void)caller;
    host->sent_count++;
    if (delay_us == 0 || is_lost_at_random(fleet)) {
        return;
    }
    datagram = fleet_create_datagram(fleet, host->number, bytes, length_bytes);
    if (datagram != NULL) {
        fleet_schedule(fleet, delay_us + FLEET_ONE_WAY_DELAY_US,
                       FLEET_TASK_SEGMENT_TO_CALLER, 0, 0, datagram);
    }
}

static void
host_send_to_upstream(struct SlRelaySink *sink, const uint8_t *bytes,
                      uint32_t length_bytes)
{
    struct fleet_host *host = (struct fleet_host *)sink;
    struct fleet_datagram *datagram =
        fleet_create_datagram(host->fleet, host->number, bytes, length_bytes);

    host->sent_count++;
    if (datagram != NULL) {
        fleet_schedule(host->fleet, 1, FLEET_TASK_SEGMENT_TO_UPSTREAM,
                       host->number, host->upstream.incarnation, datagram);
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
    .log_event = host_event,
};

static void
format_zone_name(uint32_t zone, char text[SL_NAME_BYTES])
{
    snprintf(text, SL_NAME_BYTES, "zone-%u", zone);
}

static enum SlStatus
add_host_to_config(struct fleet *fleet, const struct fleet_host *host)
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
    format_zone_name(host->zone, object.node.zone);
    if (!host->is_entry) {
        (void)SlLabels_Set(&object.node.announced, "service", "orders");
    }
    return SlConfig_PutObject(fleet->config, &object);
}

static enum SlStatus
create_plan(struct fleet *fleet)
{
    struct SlPlanService service = {.name = "orders",
                                    .health_path = "/health",
                                    .capacity_flows = CAPACITY_FLOWS,
                                    .cold_ms = 2000,
                                    .slow_start_flows_per_s =
                                        COLD_FLOWS_PER_S};
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
    SlPlan_SetIdleMs(fleet->plan, PLAN_IDLE_MS);
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
    uint32_t index_in_role;

    host->sink.type = &HOST_SINK;
    host->fleet = fleet;
    host->number = number;
    host->is_entry = number < settings->entries;
    index_in_role = host->is_entry ? number : number - settings->entries;
    host->zone = index_in_role % settings->zones;
    host->machine = host->is_entry ? &settings->entry : &settings->agent;
    host->socket_tail = &host->socket_head;
    snprintf(host->name, sizeof(host->name), "%s-%u",
             host->is_entry ? "entry" : "agent", index_in_role);
    host->address.ip[10] = UINT8_MAX;
    host->address.ip[11] = UINT8_MAX;
    host->address.ip[12] = 10;
    host->address.ip[14] =
        (uint8_t)((number + FIRST_HOST_ADDRESS) / OCTET_VALUES);
    host->address.ip[15] =
        (uint8_t)((number + FIRST_HOST_ADDRESS) % OCTET_VALUES);
    host->address.port = FRAME_PORT;
    host->upstream.slots_free_us =
        calloc(settings->slots, sizeof(*host->upstream.slots_free_us));
    return host->upstream.slots_free_us != NULL
               ? add_host_to_config(fleet, host)
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
    status = create_plan(fleet);
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
        free(fleet->hosts[i].upstream.slots_free_us);
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
    host->is_running = false;
    host->generation++;
    host->tick_due = false;
    host->run_scheduled = false;
    while (host->socket_head != NULL) {
        struct fleet_datagram *datagram = host->socket_head;

        host->socket_head = datagram->next;
        free(datagram);
    }
    host->socket_tail = &host->socket_head;
    host->socket_count = 0;
}

void
fleet_host_start(struct fleet_host *host)
{
    struct fleet *fleet = host->fleet;
    struct SlRelayOptions options = {.format = &STUB_FORMAT,
                                     .seed = fleet_random(fleet),
                                     .service = "orders"};

    memcpy(options.name, host->name, sizeof(options.name));
    format_zone_name(host->zone, options.zone);
    options.start_wall_ms = fleet_wall_ms(fleet);
    if (host->is_entry) {
        host->entry = SlRelayEntry_Create(&options);
    }
    else {
        host->agent = SlRelayAgent_Create(&options, fleet->now_us);
    }
    host->is_running = true;
    host->busy_until_us = fleet->now_us;
    fleet->out_of_memory =
        fleet->out_of_memory || (host->entry == NULL && host->agent == NULL);
    fleet_schedule(fleet, SL_RELAY_TICK_US, FLEET_TASK_HOST_TICK, host->number,
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
fleet_host_receive_at_link(struct fleet_host *host,
                           struct fleet_datagram *datagram)
{
    uint64_t delay_us = transmit_over_link(
        host->fleet, host->machine, &host->link_in_busy_until_us,
        datagram->length_bytes + FLEET_HEADER_BYTES);

    if (delay_us == 0) {
        free(datagram);
        return;
    }
    fleet_schedule(host->fleet, delay_us, FLEET_TASK_SOCKET_ARRIVAL,
                   host->number, 0, datagram);
}

/// Schedules the next step of the host's processor for when it is free.
static void
schedule_run(struct fleet_host *host)
{
    uint64_t now_us = host->fleet->now_us;

    if (!host->run_scheduled) {
        host->run_scheduled = true;
        fleet_schedule(
            host->fleet,
            host->busy_until_us > now_us ? host->busy_until_us - now_us : 0,
            FLEET_TASK_HOST_RUN, host->number, host->generation, NULL);
    }
}

void
fleet_host_receive_at_socket(struct fleet_host *host,
                             struct fleet_datagram *datagram)
{
    if (!host->is_running ||
        host->socket_count == host->machine->socket_datagrams) {
        host->fleet->result->lost += host->is_running;
        free(datagram);
        return;
    }
    datagram->next = NULL;
    *host->socket_tail = datagram;
    host->socket_tail = &datagram->next;
    host->socket_count++;
    schedule_run(host);
}

static void
process_datagram(struct fleet_host *host,
                 const struct fleet_datagram *datagram)
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

/// Keeps the processor busy for a step that costs cost_us on a whole core,
/// plus the cost of what the core sent.
static void
charge_processor_time(struct fleet_host *host, uint64_t cost_us)
{
    cost_us +=
        (uint64_t)host->sent_count * host->fleet->settings->frame_cost_us;
    host->sent_count = 0;
    host->busy_until_us = host->fleet->now_us +
                          cost_us * PERMILLE / host->machine->share_permille;
}

void
fleet_host_run_step(struct fleet_host *host)
{
    struct fleet *fleet = host->fleet;
    struct fleet_datagram *datagram = host->socket_head;

    host->run_scheduled = false;
    host->sent_count = 0;
    if (datagram != NULL) {
        host->socket_head = datagram->next;
        host->socket_tail =
            host->socket_head == NULL ? &host->socket_head : host->socket_tail;
        host->socket_count--;
        process_datagram(host, datagram);
        free(datagram);
        charge_processor_time(host, fleet->settings->frame_cost_us);
    }
    else if (host->tick_due) {
        host->tick_due = false;
        if (host->is_entry) {
            SlRelayEntry_Tick(host->entry, &host->sink, fleet->now_us);
        }
        else {
            SlRelayAgent_Tick(host->agent, &host->sink, fleet->now_us);
        }
        charge_processor_time(host, fleet->settings->tick_cost_us);
    }
    if (host->socket_head != NULL || host->tick_due) {
        schedule_run(host);
    }
}

void
fleet_host_tick(struct fleet_host *host)
{
    host->tick_due = true;
    schedule_run(host);
    fleet_schedule(host->fleet, SL_RELAY_TICK_US, FLEET_TASK_HOST_TICK,
                   host->number, host->generation, NULL);
}
