#ifndef SAVORYLEDGE_COMMON_ADDRESS_H
#define SAVORYLEDGE_COMMON_ADDRESS_H

/// IP addresses with ports, and the key that names a flow.

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <sys/socket.h>

#include "savoryledge/common/status.h"

enum {
    /// Room for "[ipv6]:port" and a NUL.
    SL_ADDRESS_TEXT_BYTES = 56,
    SL_FLOW_TEXT_BYTES = 128,
};

/// An IPv4 or IPv6 address with a port. IPv4 is held IPv4-mapped
/// (::ffff:a.b.c.d), so that equality is one comparison of bytes.
struct SlAddress {
    uint8_t ip[16];
    /// Host byte order; 0 when none.
    uint16_t port;
};

/// Names one flow, always seen from the caller: packets of both directions
/// have the same key.
struct SlFlowKey {
    struct SlAddress caller;
    struct SlAddress service;
    /// IPPROTO_TCP or IPPROTO_UDP.
    uint8_t protocol;
};

bool
SlAddress_IsIpv4(const struct SlAddress *address);
bool
SlAddress_Equal(const struct SlAddress *a, const struct SlAddress *b);

/// Reads "1.2.3.4:80" or "[2001:db8::1]:80"; a missing port gives 0.
/// Errors: SL_MALFORMED.
enum SlStatus
SlAddress_Parse(const char *text, struct SlAddress *address);

/// Writes the form that SlAddress_Parse reads; returns text.
const char *
SlAddress_Format(const struct SlAddress *address,
                 char text[SL_ADDRESS_TEXT_BYTES]);

/// Conversions to and from the socket interface. ToSockaddr returns the
/// length in bytes. FromSockaddr: SL_INVALID for other families.
socklen_t
SlAddress_ToSockaddr(const struct SlAddress *address,
                     struct sockaddr_storage *out);
enum SlStatus
SlAddress_FromSockaddr(const struct sockaddr *in, struct SlAddress *address);

bool
SlFlowKey_Equal(const struct SlFlowKey *a, const struct SlFlowKey *b);

/// A 64-bit keyed hash (XXH3). Two processes with one seed agree on it.
uint64_t
SlFlowKey_Hash(const struct SlFlowKey *key, uint64_t seed);

/// Writes "tcp:caller>service"; returns text.
const char *
SlFlowKey_Format(const struct SlFlowKey *key, char text[SL_FLOW_TEXT_BYTES]);
/// Reads what SlFlowKey_Format wrote. Errors: SL_MALFORMED.
enum SlStatus
SlFlowKey_Parse(const char *text, struct SlFlowKey *key);

/// The identity of a node, from its name (XXH3 with seed 0, never 0).
uint64_t
SlNode_Id(const char *name);
/// The identity of a service, from its name, by the same rule.
uint64_t
SlService_Id(const char *name);

#endif
