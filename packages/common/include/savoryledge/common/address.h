#ifndef SAVORYLEDGE_COMMON_ADDRESS_H
#define SAVORYLEDGE_COMMON_ADDRESS_H

/// IP addresses with ports, and the key that identifies a flow.

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <sys/socket.h>

#include "savoryledge/common/status.h"

enum {
    /// Size of a buffer for "[ipv6]:port" and a NUL.
    SL_ADDRESS_TEXT_BYTES = 56,
    /// Size of a buffer for the text of a flow key and a NUL.
    SL_FLOW_TEXT_BYTES = 128,
};

/// An IPv4 or IPv6 address with a port. An IPv4 address is stored IPv4-mapped
/// (::ffff:a.b.c.d), so that addresses are equal when their bytes are equal.
struct SlAddress {
    uint8_t ip[16];
    /// Port in host byte order; 0 when the address has no port.
    uint16_t port;
};

/// Identifies one flow, always from the caller's side, so that the packets of
/// both directions have the same key.
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

/// Converts to a socket address. Returns its length in bytes.
socklen_t
SlAddress_ToSockaddr(const struct SlAddress *address,
                     struct sockaddr_storage *out);
/// Converts from a socket address. Errors: SL_INVALID when it is neither
/// AF_INET nor AF_INET6.
enum SlStatus
SlAddress_FromSockaddr(const struct sockaddr *in, struct SlAddress *address);

bool
SlFlowKey_Equal(const struct SlFlowKey *a, const struct SlFlowKey *b);

/// A 64-bit keyed hash (XXH3). Processes that use the same seed compute the
/// same hash.
uint64_t
SlFlowKey_Hash(const struct SlFlowKey *key, uint64_t seed);

/// Writes "tcp:caller>service" or "udp:caller>service"; returns text.
const char *
SlFlowKey_Format(const struct SlFlowKey *key, char text[SL_FLOW_TEXT_BYTES]);
/// Reads the form that SlFlowKey_Format writes. Errors: SL_MALFORMED.
enum SlStatus
SlFlowKey_Parse(const char *text, struct SlFlowKey *key);

/// Returns the id of a node: the XXH3 hash of its name with seed 0. It is
/// never 0.
uint64_t
SlNode_Id(const char *name);
/// Returns the id of a service, computed from its name in the same way.
uint64_t
SlService_Id(const char *name);

#endif
