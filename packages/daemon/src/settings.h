#ifndef SAVORYLEDGE_DAEMON_SETTINGS_H
#define SAVORYLEDGE_DAEMON_SETTINGS_H

/// The settings of a process: an INI file, checked as a whole before
/// anything starts. docs/OPERATIONS.md describes every key.

#include <stdbool.h>
#include <stdint.h>

#include "savoryledge/common/event.h"
#include "savoryledge/state/object.h"
#include "savoryledge/transport/key.h"
#include "savoryledge/transport/port.h"

enum {
    SETTINGS_PATH_BYTES = 192,
    SETTINGS_MEMBERS_MAX = 9,
    SETTINGS_FAULTS_MAX = 64,
    SETTINGS_TEXT_BYTES = 160,
    SETTINGS_THREADS_MAX = 16,
};

struct SlMember {
    char name[SL_NAME_BYTES];
    struct SlAddress link;
};

struct SlMembers {
    uint32_t count;
    struct SlMember items[SETTINGS_MEMBERS_MAX];
};

/// Control instances known by their IP addresses alone: each is named
/// "control-" and its IP address.
struct SlSeeds {
    uint32_t count;
    struct SlAddress items[SETTINGS_MEMBERS_MAX];
};

/// Where packets of callers or of the upstream come and go.
struct SlPortSettings {
    enum SlPortKind kind;
    struct SlAddress listen;
    struct SlAddress peer;
    struct SlAddress upstream;
    char device[SL_PORT_DEVICE_BYTES];
};

struct SlSettings {
    struct {
        char name[SL_NAME_BYTES];
        char zone[SL_NAME_BYTES];
        uint32_t roles;
        struct SlAddress tunnel;
        struct SlAddress link;
        /// Takes the place of the IP address in what others are told.
        struct SlAddress advertise;
        uint32_t threads;
        enum SlLevel log_level;
        uint32_t log_lines_per_s;
        bool log_to_stdout;
        uint32_t stop_timeout_ms;
    } node;
    struct {
        char key_file[SETTINGS_PATH_BYTES];
        char second_key_file[SETTINGS_PATH_BYTES];
        /// Links without a secret: only where the network itself is closed.
        bool open;
    } security;
    struct {
        char data_folder[SETTINGS_PATH_BYTES];
        bool bootstrap;
        struct SlMembers members;
        /// Take the place of members, at this port of theirs.
        struct SlSeeds seeds;
        uint32_t seed_port;
        bool self_forming;
        /// 0 takes the defaults.
        uint32_t heartbeat_ms;
        uint32_t election_ms;
    } control;
    /// The data path for upstreams that give back what they cannot take, and
    /// the interfaces of the platform that the adapter speaks to.
    struct {
        char adapter[SL_NAME_BYTES];
        /// Where callers' segments come in (entry), and from where answers
        /// leave (agent); callers are reached at the same port.
        struct SlAddress callers;
        /// Agent: where the upstream takes segments, and where it sends its
        /// own.
        struct SlAddress upstream;
        struct SlAddress upstream_sends;
        /// Agent: the service that its upstream belongs to.
        char service[SL_NAME_BYTES];
        /// HTTP: readiness, the interface of operators or of the upstream,
        /// and the metrics as text.
        struct SlAddress ready;
        struct SlAddress control;
        struct SlAddress metrics;
    } relay;
    struct {
        struct SlPortSettings port;
        uint32_t cache_flows;
        uint32_t tunnel_mtu_bytes;
    } entry;
    struct {
        struct SlPortSettings port;
        uint32_t slots;
        uint32_t capacity_flows;
        struct SlLabels labels;
    } agent;
    struct {
        char file[SETTINGS_PATH_BYTES];
        uint32_t max_bytes;
    } record;
    /// Read from the key files.
    struct SlKeyring keyring;
};

/// One thing wrong with a file.
struct SlFault {
    /// 0 for what is missing from the file.
    uint32_t line;
    /// "section.key", or what stands in its place.
    char key[SETTINGS_TEXT_BYTES];
    char found[SETTINGS_TEXT_BYTES];
    char allowed[SETTINGS_TEXT_BYTES];
};

struct SlFaults {
    uint32_t count;
    struct SlFault items[SETTINGS_FAULTS_MAX];
};

/// Reads and checks a file. All faults are gathered; settings are of use
/// only when there is none.
void
SlSettings_Load(const char *path, struct SlSettings *settings,
                struct SlFaults *faults);

/// "FILE:LINE: section.key: found ...; allowed: ...", without a line end.
const char *
SlFault_Format(const char *path, const struct SlFault *fault, char *text,
               size_t room_bytes);

/// Adds a fault, as printf would write found; over the bound it is dropped.
void
SlFaults_Add(struct SlFaults *faults, uint32_t line, const char *key,
             const char *allowed, const char *found, ...)
    __attribute__((format(printf, 5, 6)));

#endif
