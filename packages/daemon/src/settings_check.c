#include <stdio.h>
#include <string.h>
#include <sys/stat.h>
#include <unistd.h>

#include "settings_check.h"

static void
need_port_key(const struct reading *reading, const char *section,
              const char *name, const char *kind)
{
    char key[SETTINGS_TEXT_BYTES];
    char allowed[SETTINGS_TEXT_BYTES];

    if (settings_line(reading, section, name) == 0) {
        snprintf(key, sizeof(key), "%s.%s", section, name);
        snprintf(allowed, sizeof(allowed), "a value, as %s.port is %s",
                 section, kind);
        SlFaults_Add(reading->faults, 0, key, allowed, "nothing");
    }
}

static void
check_port(const struct reading *reading, const char *section,
           const struct SlPortSettings *port)
{
    if (settings_line(reading, section, "port") == 0) {
        return;
    }
    switch (port->kind) {
    case SL_PORT_ENCAP:
        need_port_key(reading, section, "port_listen", "encap");
        need_port_key(reading, section, "port_peer", "encap");
        break;
    case SL_PORT_TUN:
        need_port_key(reading, section, "tun_device", "tun");
        break;
    case SL_PORT_UDP:
        if (strcmp(section, "agent") == 0) {
            need_port_key(reading, section, "upstream", "udp");
        }
        break;
    case SL_PORT_KIND_COUNT:
        break;
    }
}

static void
check_key_file(const struct reading *reading, const char *name,
               const char *path)
{
    struct SlKeyring *keyring = &reading->settings->keyring;
    struct SlError error;
    char key[SETTINGS_TEXT_BYTES];

    if (path[0] == '\0') {
        return;
    }
    if (SlKey_Load(path, &keyring->items[keyring->count], &error) == SL_OK) {
        keyring->count++;
        return;
    }
    snprintf(key, sizeof(key), "security.%s", name);
    SlFaults_Add(reading->faults, settings_line(reading, "security", name),
                 key, "a file of 64 hexadecimal digits with mode 0600 or 0400",
                 "that %s", error.message);
}

/// Without a secret all processes share a key that everybody knows.
static void
use_open_key(struct SlSettings *settings)
{
    static const uint8_t NO_SECRET[SL_KEY_BYTES];

    if (settings->security.open && settings->keyring.count == 0) {
        SlKey_FromSecret(NO_SECRET, &settings->keyring.items[0]);
        settings->keyring.count = 1;
    }
}

static void
check_data_folder(const struct reading *reading)
{
    const char *path = reading->settings->control.data_folder;
    struct stat info;

    if (path[0] == '\0' ||
        !(reading->settings->node.roles & SL_ROLE_CONTROL)) {
        return;
    }
    if (stat(path, &info) != 0 || !S_ISDIR(info.st_mode) ||
        access(path, R_OK | W_OK | X_OK) != 0) {
        SlFaults_Add(reading->faults,
                     settings_line(reading, "control", "data_folder"),
                     "control.data_folder",
                     "an existing folder that the process may write to",
                     "\"%s\"", path);
    }
}

/// Which keys are needed follows from roles and from each other.
static void
check_needed(const struct reading *reading)
{
    const struct SlSettings *settings = reading->settings;
    uint32_t roles = settings->node.roles;
    bool relay = settings->relay.adapter[0] != '\0';

    if (!settings->security.open) {
        settings_need(reading, "security", "key_file");
    }
    if (settings->control.seeds.count == 0) {
        settings_need(reading, "control", "members");
    }
    else {
        settings_need(reading, "control", "seed_port");
    }
    if ((roles & SL_ROLE_CONTROL) && !relay) {
        settings_need(reading, "control", "data_folder");
    }
    if ((roles & SL_ROLE_ENTRY) && !relay) {
        settings_need(reading, "entry", "port");
    }
    if ((roles & SL_ROLE_AGENT) && !relay) {
        settings_need(reading, "agent", "port");
        settings_need(reading, "agent", "slots");
        settings_need(reading, "agent", "capacity_flows");
    }
    if ((roles & (SL_ROLE_ENTRY | SL_ROLE_AGENT)) && relay) {
        settings_need(reading, "relay", "callers");
    }
    if ((roles & SL_ROLE_AGENT) && relay) {
        settings_need(reading, "relay", "upstream");
        settings_need(reading, "relay", "upstream_sends");
        settings_need(reading, "relay", "service");
        settings_need(reading, "relay", "control");
    }
}

/// An instance without a disk keeps no log: it sends operators on to one that
/// does.
static void
drop_diskless_control(struct SlSettings *settings)
{
    if (settings->relay.adapter[0] != '\0' &&
        settings->control.data_folder[0] == '\0') {
        settings->node.roles &= ~(uint32_t)SL_ROLE_CONTROL;
    }
}

/// Seeds become members whose names follow from their addresses.
static void
take_seeds(struct SlSettings *settings)
{
    const struct SlSeeds *seeds = &settings->control.seeds;
    struct SlMembers *members = &settings->control.members;

    if (seeds->count == 0) {
        return;
    }
    members->count = seeds->count;
    for (uint32_t i = 0; i < seeds->count; i++) {
        struct SlMember *member = &members->items[i];
        char text[SL_ADDRESS_TEXT_BYTES];

        member->link = seeds->items[i];
        SlAddress_Format(&member->link, text);
        text[strcspn(text, ":")] = '\0';
        snprintf(member->name, sizeof(member->name), "control-%.39s", text);
        member->link.port = (uint16_t)settings->control.seed_port;
    }
}

static bool
is_member(const struct SlSettings *settings)
{
    for (uint32_t i = 0; i < settings->control.members.count; i++) {
        if (strcmp(settings->control.members.items[i].name,
                   settings->node.name) == 0) {
            return true;
        }
    }
    return false;
}

static void
check_bootstrap(const struct reading *reading)
{
    const struct SlSettings *settings = reading->settings;

    if (settings->control.bootstrap && !settings->control.self_forming &&
        !is_member(settings)) {
        SlFaults_Add(
            reading->faults, settings_line(reading, "control", "bootstrap"),
            "control.bootstrap",
            "yes only where control.members names this process", "yes");
    }
}

static bool
is_any(const struct SlAddress *address)
{
    struct SlAddress any4;
    struct SlAddress any6;

    SlAddress_Parse("0.0.0.0", &any4);
    SlAddress_Parse("[::]", &any6);
    return memcmp(address->ip, any4.ip, sizeof(any4.ip)) == 0 ||
           memcmp(address->ip, any6.ip, sizeof(any6.ip)) == 0;
}

static void
check_reachable(const struct reading *reading, const char *name,
                const struct SlAddress *address)
{
    char key[SETTINGS_TEXT_BYTES];

    if (settings_line(reading, "node", name) == 0 ||
        settings_line(reading, "node", "advertise") != 0 || !is_any(address)) {
        return;
    }
    snprintf(key, sizeof(key), "node.%s", name);
    SlFaults_Add(reading->faults, settings_line(reading, "node", name), key,
                 "an address that others reach, or node.advertise",
                 "an address of no host");
}

static void
check_differ(const struct reading *reading, const char *section,
             const struct SlPortSettings *port)
{
    char key[SETTINGS_TEXT_BYTES];

    if (settings_line(reading, section, "port_listen") == 0) {
        return;
    }
    snprintf(key, sizeof(key), "%s.port_listen", section);
    if (SlAddress_Equal(&port->listen, &reading->settings->node.tunnel)) {
        SlFaults_Add(reading->faults,
                     settings_line(reading, section, "port_listen"), key,
                     "an address other than node.tunnel",
                     "the address of node.tunnel");
    }
    if (settings_line(reading, section, "port_peer") != 0 &&
        SlAddress_IsIpv4(&port->listen) != SlAddress_IsIpv4(&port->peer)) {
        SlFaults_Add(reading->faults,
                     settings_line(reading, section, "port_listen"), key,
                     "the IP version of port_peer", "another IP version");
    }
}

static void
check_advertise(const struct reading *reading)
{
    const struct SlSettings *settings = reading->settings;
    uint32_t line = settings_line(reading, "node", "advertise");

    if (line != 0 && SlAddress_IsIpv4(&settings->node.advertise) !=
                         SlAddress_IsIpv4(&settings->node.tunnel)) {
        SlFaults_Add(reading->faults, line, "node.advertise",
                     "the IP version of node.tunnel", "another IP version");
    }
}

void
settings_check(const struct reading *reading)
{
    const struct SlSettings *settings = reading->settings;

    check_needed(reading);
    drop_diskless_control(reading->settings);
    take_seeds(reading->settings);
    if (settings->node.roles & SL_ROLE_ENTRY) {
        check_port(reading, "entry", &settings->entry.port);
    }
    if (settings->node.roles & SL_ROLE_AGENT) {
        check_port(reading, "agent", &settings->agent.port);
    }
    check_key_file(reading, "key_file", settings->security.key_file);
    check_key_file(reading, "second_key_file",
                   settings->security.second_key_file);
    use_open_key(reading->settings);
    check_data_folder(reading);
    check_bootstrap(reading);
    check_differ(reading, "entry", &settings->entry.port);
    check_differ(reading, "agent", &settings->agent.port);
    check_advertise(reading);
    check_reachable(reading, "tunnel", &settings->node.tunnel);
    check_reachable(reading, "link", &settings->node.link);
}
