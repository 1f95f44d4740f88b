#ifndef SAVORYLEDGE_DAEMON_SETTINGS_H
#define SAVORYLEDGE_DAEMON_SETTINGS_H

/// Settings of a process, read from an INI file. The whole file is checked
/// before the process starts. docs/OPERATIONS.md describes every key.

#include <stdbool.h>
#include <stdint.h>

#include "savoryledge/common/event.h"
#include "savoryledge/state/object.h"
#include "savoryledge/transport/key.h"
#include "savoryledge/transport/port.h"

enum {
    SETTINGS_PATH_BYTES = 192,
    /// Maximum number of control instances.
    SETTINGS_MEMBERS_MAX = 9,
    /// Maximum number of faults of a settings file that are reported.
    SETTINGS_FAULTS_MAX = 64,
    /// Size of each text of a fault, including the final NUL.
    SETTINGS_TEXT_BYTES = 160,
    SETTINGS_THREADS_MAX = 16,
};

/// A control instance that control.members names.
struct SlMember {
    char name[SL_NAME_BYTES];
    struct SlAddress link;
};

/// The control instances of a site, from the setting control.members.
struct SlMembers {
    uint32_t count;
    struct SlMember items[SETTINGS_MEMBERS_MAX];
};

/// Control instances that are configured by IP address only. The name of
/// each is "control-" followed by its IP address.
struct SlSeeds {
    uint32_t count;
    struct SlAddress items[SETTINGS_MEMBERS_MAX];
};

/// The port on which an entry exchanges packets with callers, or an agent
/// with its upstream. The kind determines which of the addresses are used.
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
        /// IP address that is announced to other processes in place of the IP
        /// addresses of tunnel and link. All zero if the setting is absent.
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
        /// True if the process uses a well-known key instead of a secret,
        /// which is safe only on a network that nobody else can reach.
        bool open;
    } security;
    struct {
        char data_folder[SETTINGS_PATH_BYTES];
        bool bootstrap;
        struct SlMembers members;
        /// IP addresses of the control instances, which listen at seed_port;
        /// if set, they replace members.
        struct SlSeeds seeds;
        uint32_t seed_port;
        bool self_forming;
        /// Heartbeat interval and election time-out; 0 selects the default.
        uint32_t heartbeat_ms;
        uint32_t election_ms;
    } control;
    /// The relay: the data path for upstreams that return segments that they
    /// cannot accept, and the HTTP interfaces for the adapter's platform.
    struct {
        char adapter[SL_NAME_BYTES];
        /// Entry: local address that receives callers' segments. Agent: local
        /// address that answers to callers are sent from. Callers receive
        /// answers at this port number too.
        struct SlAddress callers;
        /// Agent: the address at which the upstream receives segments, and
        /// the local address to which it sends its own.
        struct SlAddress upstream;
        struct SlAddress upstream_sends;
        /// Agent: name of the service that its upstream belongs to.
        char service[SL_NAME_BYTES];
        /// Addresses of the HTTP interfaces: readiness checks, calls of
        /// operators or of the upstream, and metrics as text. Port 0: the
        /// interface is not opened.
        struct SlAddress ready;
        struct SlAddress control;
        struct SlAddress metrics;
        /// Entry: rate of the machine's network link, kilobits per second; 0
        /// when it is not set.
        uint32_t link_kbit_per_s;
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
    /// The keys read from the key files.
    struct SlKeyring keyring;
};

/// One error in a settings file.
struct SlFault {
    /// Line number from 1; 0 when the key is missing or the error concerns the
    /// whole file.
    uint32_t line;
    /// "section.key"; "syntax" for a line that is not valid INI; "file" when
    /// the file cannot be read.
    char key[SETTINGS_TEXT_BYTES];
    /// The value that the file contains, and the values that are allowed
    /// there.
    char found[SETTINGS_TEXT_BYTES];
    char allowed[SETTINGS_TEXT_BYTES];
};

struct SlFaults {
    uint32_t count;
    struct SlFault items[SETTINGS_FAULTS_MAX];
};

/// Reads and checks a settings file. Reports all its faults, up to
/// SETTINGS_FAULTS_MAX. The settings are valid only if there are no faults.
void
SlSettings_Load(const char *path, struct SlSettings *settings,
                struct SlFaults *faults);

/// Writes a fault as "FILE:LINE: section.key: found ...; allowed: ..." to
/// text, without a line end and truncated to size_bytes. Returns text.
const char *
SlFault_Format(const char *path, const struct SlFault *fault, char *text,
               size_t size_bytes);

/// Adds a fault to the list, unless it already contains SETTINGS_FAULTS_MAX
/// faults. allowed: the values that the key accepts. found: printf format of
/// the value that the file contains.
void
SlFaults_Add(struct SlFaults *faults, uint32_t line, const char *key,
             const char *allowed, const char *found, ...)
    __attribute__((format(printf, 5, 6)));

#endif
