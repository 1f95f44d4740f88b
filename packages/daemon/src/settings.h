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
        uint32_t stop_timeout_ms;
    } node;
    struct {
        char key_file[SETTINGS_PATH_BYTES];
        char second_key_file[SETTINGS_PATH_BYTES];
    } security;
    struct {
        char data_folder[SETTINGS_PATH_BYTES];
        bool bootstrap;
        struct SlMembers members;
    } control;
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
