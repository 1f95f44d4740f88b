#ifndef SAVORYLEDGE_COORDINATION_CALL_ROUTE_H
#define SAVORYLEDGE_COORDINATION_CALL_ROUTE_H

/// Decides whether a process answers an operator's call itself, sends the
/// operator on to another process, or refuses the call.
///
/// Load pattern: operators pick among all processes that serve their
/// interface. Some of these have no disk and therefore no control instance,
/// and a control instance is not always current: its lease ends early while
/// round trips are slow. Such a process knows who can answer, and a call that
/// it refuses may be refused again by the next one. Operators follow two
/// redirects, so each leads closer to the leader: from a process without a
/// control instance to the instance that it uses, and from there to the
/// leader. An instance that is no member of the log's group does the same as a
/// process without one.

#include "savoryledge/common/address.h"
#include "savoryledge/state/config.h"

/// A control instance to which an operator can be sent.
struct SlCallTarget {
    /// 0 when there is none.
    uint64_t node_id;
    /// Address at which it accepts links.
    struct SlAddress link;
};

/// What the process knows when the call arrives.
struct SlCallView {
    /// Node id of this process.
    uint64_t node_id;
    /// The process has a control instance, that is, a copy of the log; the
    /// next four fields are about it.
    bool has_control;
    /// The instance can be sure that its configuration is the newest.
    bool is_current;
    bool is_leader;
    /// The instance is a member of the log's group.
    bool is_member;
    /// Another instance that leads and from which a message arrived lately.
    struct SlCallTarget leader;
    /// Without a control instance: the one that this process is linked to, if
    /// that confirmed lately that it is current. With one: an instance that it
    /// is linked to.
    struct SlCallTarget linked;
    /// With a control instance that has heard no leader for long: another one
    /// that confirmed lately to this process that it is current.
    struct SlCallTarget confirmed;
    /// The configuration that this process holds; may be out of date.
    const struct SlConfig *config;
    /// Selects among several instances of the configuration; to be increased
    /// with each call.
    uint64_t turn;
};

enum SlCallRoute {
    /// The process answers a read, or accepts an order.
    SL_CALL_HERE = 0,
    /// The operator is sent on to the leader,
    SL_CALL_TO_LEADER,
    /// to the linked instance,
    SL_CALL_TO_LINKED,
    /// or to an instance of the configuration.
    SL_CALL_TO_LISTED,
    /// Nobody is known who may answer.
    SL_CALL_REFUSED,
    SL_CALL_ROUTE_COUNT,
};

/// Decides on a read of the configuration. target: set if the operator is to
/// be sent on.
enum SlCallRoute
SlCallRoute_ForRead(const struct SlCallView *view,
                    struct SlCallTarget *target);
/// Decides on an order. target: set if the operator is to be sent on.
enum SlCallRoute
SlCallRoute_ForOrder(const struct SlCallView *view,
                     struct SlCallTarget *target);

#endif
