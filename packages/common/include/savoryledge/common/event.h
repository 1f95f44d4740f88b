#ifndef SAVORYLEDGE_COMMON_EVENT_H
#define SAVORYLEDGE_COMMON_EVENT_H

/// Numbered events, which report each decision of the cores and each incident
/// in a process. docs/EVENTS.md lists all of them.

#include <stddef.h>
#include <stdint.h>

#include "savoryledge/common/address.h"
#include "savoryledge/common/version.h"

enum {
    /// Size of a buffer for one formatted event and a NUL.
    SL_EVENT_TEXT_BYTES = 640,
};

/// Syslog severities (RFC 5424, table 2).
enum SlLevel {
    SL_LEVEL_ERROR = 3,
    SL_LEVEL_WARNING = 4,
    SL_LEVEL_NOTICE = 5,
    SL_LEVEL_INFO = 6,
    SL_LEVEL_DEBUG = 7,
};

enum SlEventNumber {
    SL_EVENT_NONE = 0,
    /* Events of an entry. */
    SL_EVENT_ROUTE = 1100,
    SL_EVENT_ROUTE_FAILED = 1101,
    SL_EVENT_CACHE_DROPPED = 1102,
    SL_EVENT_UPSTREAM_SUSPECT = 1103,
    SL_EVENT_UPSTREAM_CLEARED = 1104,
    SL_EVENT_TOO_BIG = 1105,
    SL_EVENT_ROUTING_CHANGED = 1106,
    SL_EVENT_FRAGMENT = 1107,
    SL_EVENT_RELAY_OFFER = 1108,
    SL_EVENT_RELAY_DECLINED = 1109,
    SL_EVENT_RELAY_REFUSED = 1110,
    SL_EVENT_RELAY_SEARCH = 1111,
    SL_EVENT_RELAY_SEARCH_ENDED = 1112,
    SL_EVENT_RELAY_CONFIG = 1113,
    SL_EVENT_UPSTREAM_SLOW = 1114,
    SL_EVENT_RELAY_BROADCAST = 1115,
    SL_EVENT_RELAY_ANSWERS_LATE = 1116,
    SL_EVENT_RELAY_BROADCAST_ENDED = 1117,
    SL_EVENT_RELAY_OUT_OF_TOUCH = 1118,
    SL_EVENT_RELAY_CLAIMS_NOT_PROBED = 1119,
    SL_EVENT_TRANSFER_HELD = 1120,
    SL_EVENT_TRANSFER_REFUSED = 1121,
    SL_EVENT_TRANSFER_ENDED = 1122,
    SL_EVENT_LINK_RATE = 1123,
    SL_EVENT_LINK_FULL = 1124,
    SL_EVENT_RELAY_COST = 1125,
    /* Events of an agent. */
    SL_EVENT_ADMIT = 1200,
    SL_EVENT_PASS_ON = 1201,
    SL_EVENT_REFUSE = 1202,
    SL_EVENT_LOCATE = 1203,
    SL_EVENT_LOCATED = 1204,
    SL_EVENT_ADOPT = 1205,
    SL_EVENT_RESET = 1206,
    SL_EVENT_FLOW_END = 1207,
    SL_EVENT_SILENT = 1208,
    SL_EVENT_LIMIT = 1209,
    SL_EVENT_COLD = 1210,
    SL_EVENT_FOREIGN = 1211,
    SL_EVENT_ZONE_LEFT = 1212,
    SL_EVENT_DRAINED = 1213,
    SL_EVENT_DROP = 1214,
    SL_EVENT_RETURN_PATH = 1215,
    SL_EVENT_RELAY_ADMIT = 1216,
    SL_EVENT_RELAY_DECLINE = 1217,
    SL_EVENT_RELAY_ABSENT = 1218,
    SL_EVENT_UPSTREAM_STATUS = 1219,
    SL_EVENT_RELAY_UNANSWERED = 1220,
    SL_EVENT_RELAY_DEFERRED_REQUEST = 1221,
    SL_EVENT_RELAY_TABLE = 1222,
    SL_EVENT_UPSTREAM_REFUSES = 1223,
    SL_EVENT_RELAY_RETURNS = 1224,
    SL_EVENT_RELAY_TRANSFER = 1225,
    SL_EVENT_RELAY_WORK = 1226,
    SL_EVENT_RELAY_EXPECTED_WAIT = 1227,
    SL_EVENT_HANDOVER = 1228,
    SL_EVENT_FLOWS_LOST = 1230,
    SL_EVENT_LOST_FLOW_RESET = 1231,
    /* Events of a control instance. */
    SL_EVENT_ELECTED = 1300,
    SL_EVENT_STEPPED_DOWN = 1301,
    SL_EVENT_VOTE = 1302,
    SL_EVENT_COMMITTED = 1303,
    SL_EVENT_REJECTED = 1304,
    SL_EVENT_ANNOUNCED = 1305,
    SL_EVENT_UNREACHABLE = 1306,
    SL_EVENT_REACHABLE = 1307,
    SL_EVENT_LOSS_HELD = 1308,
    SL_EVENT_SNAPSHOT = 1309,
    SL_EVENT_RECOVERED = 1310,
    SL_EVENT_MEMBER = 1311,
    SL_EVENT_LEASE_LOST = 1312,
    SL_EVENT_DISK = 1313,
    SL_EVENT_PUBLISHED_WITHOUT_LEASE = 1314,
    SL_EVENT_DISK_WORKS = 1317,
    SL_EVENT_FLOW_RECORDS_READ = 1320,
    SL_EVENT_FLOW_RECORDS_RETURNED = 1321,
    SL_EVENT_FLOW_RECORDS_UNWRITTEN = 1322,
    SL_EVENT_INVITED = 1325,
    /* Events of the configuration replica in entries and agents. */
    SL_EVENT_VERSION = 1400,
    SL_EVENT_BEHIND = 1401,
    SL_EVENT_CUT_OFF = 1402,
    SL_EVENT_JOINED = 1403,
    SL_EVENT_STALE_OFFER = 1404,
    SL_EVENT_INVITATION_TAKEN = 1405,
    SL_EVENT_CONTROL_LEFT = 1406,
    SL_EVENT_JOIN_PASSED = 1407,
    SL_EVENT_CONTROLS_CHANGED = 1408,
    /* Events of links, datagrams and security. */
    SL_EVENT_LINK_UP = 1500,
    SL_EVENT_LINK_DOWN = 1501,
    SL_EVENT_LINK_REFUSED = 1502,
    SL_EVENT_DATAGRAM_REFUSED = 1503,
    /* Events of the process. */
    SL_EVENT_STARTED = 1600,
    SL_EVENT_STOPPING = 1601,
    SL_EVENT_STOPPED = 1602,
    SL_EVENT_RELOADED = 1603,
    SL_EVENT_LOG_LOST = 1604,
    SL_EVENT_RECORDING = 1605,
    SL_EVENT_FAILED = 1606,
    SL_EVENT_CALL_REFUSED = 1607,
    SL_EVENT_READ_REFUSED = 1608,
    SL_EVENT_CALL_REDIRECTED = 1609,
};

/// One event. Pointers are borrowed for the duration of a call. A field that
/// is NULL is left out of the text.
struct SlEvent {
    enum SlEventNumber number;
    /// Monotonic time of the process, microseconds.
    uint64_t now_us;
    /// The configuration version in use.
    struct SlVersion version;
    const struct SlFlowKey *flow;
    const char *service;
    /// Name of the node that was chosen, or that the event is about or was
    /// caused by.
    const char *node;
    /// Name of the process whose message led to the event.
    const char *peer;
    /// The reason as one lower-case word; a static string.
    const char *reason;
    /// Two numbers, whose meanings and units are given by SlEventRow.
    int64_t value;
    int64_t limit;
};

/// The row of the catalogue for one event number.
struct SlEventRow {
    enum SlEventNumber number;
    enum SlLevel level;
    /// The lower-case name that is logged.
    const char *name;
    /// Names, with units, of value and limit; NULL when unused.
    const char *value_name;
    const char *limit_name;
    /// One sentence that explains the event to the reader of a log.
    const char *meaning;
};

/// All rows of the catalogue in ascending order of number. count: set to their
/// number.
const struct SlEventRow *
SlEvent_Rows(size_t *count);
/// The row of an event number, NULL when the number is unknown.
const struct SlEventRow *
SlEvent_Row(enum SlEventNumber number);

/// Writes "<6>SL1200 admit t=12.000345 flow=... service=..." without a
/// newline, truncated to the size of text. Returns text.
const char *
SlEvent_Format(const struct SlEvent *event, char text[SL_EVENT_TEXT_BYTES]);

#endif
