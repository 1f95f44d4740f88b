#include <stdio.h>
#include <string.h>
#include <sys/stat.h>
#include <unistd.h>

#include "settings_check.h"

static void
require_port_key(const struct parser *parser, const char *section,
                 const char *name, const char *kind)
{
    char key[SETTINGS_TEXT_BYTES];
    char allowed[SETTINGS_TEXT_BYTES];

    if (settings_key_line(parser, section, name) == 0) {
        snprintf(key, sizeof(key), "%s.%s", section, name);
        snprintf(allowed, sizeof(allowed), "a value, because %s.port is %s",
                 section, kind);
        SlFaults_Add(parser->faults, 0, key, allowed, "nothing");
    }
}

static void
check_port_keys(const struct parser *parser, const char *section,
                const struct SlPortSettings *port)
{
    if (settings_key_line(parser, section, "port") == 0) {
        return;
    }
    switch (port->kind) {
    case SL_PORT_ENCAP:
        require_port_key(parser, section, "port_listen", "encap");
        require_port_key(parser, section, "port_peer", "encap");
        break;
    case SL_PORT_TUN:
        require_port_key(parser, section, "tun_device", "tun");
        break;
    case SL_PORT_UDP:
        if (strcmp(section, "agent") == 0) {
            require_port_key(parser, section, "upstream", "udp");
        }
        break;
    case SL_PORT_KIND_COUNT:
        break;
    }
}

static void
check_key_file(const struct parser *parser, const char *name, const char *path)
{
    struct SlKeyring *keyring = &parser->settings->keyring;
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
    SlFaults_Add(parser->faults, settings_key_line(parser, "security", name),
                 key, "a file of 64 hexadecimal digits with mode 0600 or 0400",
                 "an error: %s", error.message);
}

/// With security.open and no key file, uses a key that is public knowledge, so
/// that all processes share one key.
static void
set_open_key(struct SlSettings *settings)
{
    static const uint8_t NO_SECRET[SL_KEY_BYTES];

    if (settings->security.open && settings->keyring.count == 0) {
        SlKey_FromSecret(NO_SECRET, &settings->keyring.items[0]);
        settings->keyring.count = 1;
    }
}

static void
check_data_folder(const struct parser *parser)
{
    const char *path = parser->settings->control.data_folder;
    struct stat info;

    if (path[0] == '\0' || !(parser->settings->node.roles & SL_ROLE_CONTROL)) {
        return;
    }
    if (stat(path, &info) != 0 || !S_ISDIR(info.st_mode) ||
        access(path, R_OK | W_OK | X_OK) != 0) {
        SlFaults_Add(parser->faults,
                     settings_key_line(parser, "control", "data_folder"),
                     "control.data_folder",
                     "an existing folder that the process may write to",
                     "\"%s\"", path);
    }
}

/// Adds a fault for each key that the roles or other settings require.
static void
check_required_keys(const struct parser *parser)
{
    const struct SlSettings *settings = parser->settings;
    uint32_t roles = settings->node.roles;
    bool relay = settings->relay.adapter[0] != '\0';

    if (!settings->security.open) {
        settings_require_key(parser, "security", "key_file");
    }
    if (settings->control.seeds.count == 0) {
        settings_require_key(parser, "control", "members");
    }
    else {
        settings_require_key(parser, "control", "seed_port");
    }
    if ((roles & SL_ROLE_CONTROL) && !relay) {
        settings_require_key(parser, "control", "data_folder");
    }
    if ((roles & SL_ROLE_ENTRY) && !relay) {
        settings_require_key(parser, "entry", "port");
    }
    if ((roles & SL_ROLE_AGENT) && !relay) {
        settings_require_key(parser, "agent", "port");
        settings_require_key(parser, "agent", "slots");
        settings_require_key(parser, "agent", "capacity_flows");
    }
    if ((roles & (SL_ROLE_ENTRY | SL_ROLE_AGENT)) && relay) {
        settings_require_key(parser, "relay", "callers");
    }
    if ((roles & SL_ROLE_AGENT) && relay) {
        settings_require_key(parser, "relay", "upstream");
        settings_require_key(parser, "relay", "upstream_sends");
        settings_require_key(parser, "relay", "service");
        settings_require_key(parser, "relay", "control");
    }
}

/// Removes the control role of a relay instance without a data folder. Without
/// a disk it cannot keep the control log; it redirects operators to an
/// instance that does.
static void
disable_diskless_control(struct SlSettings *settings)
{
    if (settings->relay.adapter[0] != '\0' &&
        settings->control.data_folder[0] == '\0') {
        settings->node.roles &= ~(uint32_t)SL_ROLE_CONTROL;
    }
}

/// Replaces the members by the seeds, if there are any. Each member is named
/// after its IP address.
static void
add_seed_members(struct SlSettings *settings)
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
is_control_member(const struct SlSettings *settings)
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
check_bootstrap(const struct parser *parser)
{
    const struct SlSettings *settings = parser->settings;

    if (settings->control.bootstrap && !settings->control.self_forming &&
        !is_control_member(settings)) {
        SlFaults_Add(parser->faults,
                     settings_key_line(parser, "control", "bootstrap"),
                     "control.bootstrap",
                     "yes only if control.members names this process", "yes");
    }
}

static bool
is_unspecified_address(const struct SlAddress *address)
{
    struct SlAddress any4;
    struct SlAddress any6;

    SlAddress_Parse("0.0.0.0", &any4);
    SlAddress_Parse("[::]", &any6);
    return memcmp(address->ip, any4.ip, sizeof(any4.ip)) == 0 ||
           memcmp(address->ip, any6.ip, sizeof(any6.ip)) == 0;
}

static void
check_not_unspecified(const struct parser *parser, const char *name,
                      const struct SlAddress *address)
{
    char key[SETTINGS_TEXT_BYTES];

    if (settings_key_line(parser, "node", name) == 0 ||
        settings_key_line(parser, "node", "advertise") != 0 ||
        !is_unspecified_address(address)) {
        return;
    }
    snprintf(key, sizeof(key), "node.%s", name);
    SlFaults_Add(parser->faults, settings_key_line(parser, "node", name), key,
                 "an address that other processes can reach, or "
                 "node.advertise",
                 "an unspecified address");
}

static void
check_port_listen(const struct parser *parser, const char *section,
                  const struct SlPortSettings *port)
{
    char key[SETTINGS_TEXT_BYTES];

    if (settings_key_line(parser, section, "port_listen") == 0) {
        return;
    }
    snprintf(key, sizeof(key), "%s.port_listen", section);
    if (SlAddress_Equal(&port->listen, &parser->settings->node.tunnel)) {
        SlFaults_Add(parser->faults,
                     settings_key_line(parser, section, "port_listen"), key,
                     "an address other than node.tunnel",
                     "the address that node.tunnel uses");
    }
    if (settings_key_line(parser, section, "port_peer") != 0 &&
        SlAddress_IsIpv4(&port->listen) != SlAddress_IsIpv4(&port->peer)) {
        SlFaults_Add(parser->faults,
                     settings_key_line(parser, section, "port_listen"), key,
                     "the IP version of port_peer", "another IP version");
    }
}

static void
check_advertise(const struct parser *parser)
{
    const struct SlSettings *settings = parser->settings;
    uint32_t line = settings_key_line(parser, "node", "advertise");

    if (line != 0 && SlAddress_IsIpv4(&settings->node.advertise) !=
                         SlAddress_IsIpv4(&settings->node.tunnel)) {
        SlFaults_Add(parser->faults, line, "node.advertise",
                     "the IP version of node.tunnel", "another IP version");
    }
}

void
settings_validate(const struct parser *parser)
{
    const struct SlSettings *settings = parser->settings;

    check_required_keys(parser);
    disable_diskless_control(parser->settings);
    add_seed_members(parser->settings);
    if (settings->node.roles & SL_ROLE_ENTRY) {
        check_port_keys(parser, "entry", &settings->entry.port);
    }
    if (settings->node.roles & SL_ROLE_AGENT) {
        check_port_keys(parser, "agent", &settings->agent.port);
    }
    check_key_file(parser, "key_file", settings->security.key_file);
    check_key_file(parser, "second_key_file",
                   settings->security.second_key_file);
    set_open_key(parser->settings);
    check_data_folder(parser);
    check_bootstrap(parser);
    check_port_listen(parser, "entry", &settings->entry.port);
    check_port_listen(parser, "agent", &settings->agent.port);
    check_advertise(parser);
    check_not_unspecified(parser, "tunnel", &settings->node.tunnel);
    check_not_unspecified(parser, "link", &settings->node.link);
}
