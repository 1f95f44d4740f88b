#ifndef SAVORYLEDGE_TRANSPORT_PORT_H
#define SAVORYLEDGE_TRANSPORT_PORT_H

/// Packet ports, through which an entry exchanges whole IP packets with
/// callers, and an agent with its upstream. Also the batches and UDP sockets
/// that ports and the tunnel between processes share.

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "savoryledge/common/address.h"
#include "savoryledge/common/packet.h"
#include "savoryledge/common/status.h"

enum {
    SL_BATCH_ITEMS = 64,
    /// Capacity of an item: the largest packet with tunnel header and seal.
    SL_BATCH_ITEM_BYTES = SL_PACKET_MTU_BYTES + 1024,
    /// Size of a device name, terminating NUL included.
    SL_PORT_DEVICE_BYTES = 16,
};

struct SlBatchItem {
    /// A buffer of SL_BATCH_ITEM_BYTES, owned by the batch.
    uint8_t *bytes;
    uint32_t length_bytes;
    /// Source of a received datagram, destination of one to be sent. Unused
    /// for packets of a TUN device.
    struct SlAddress peer;
};

/// Received packets or datagrams, or those to be sent.
struct SlBatch {
    uint32_t count;
    struct SlBatchItem items[SL_BATCH_ITEMS];
    /// One allocation with the buffers of all items.
    uint8_t *memory;
};

/// Returns an empty batch, or NULL when out of memory.
struct SlBatch *
SlBatch_Create(void);
/// batch: may be NULL.
void
SlBatch_Destroy(struct SlBatch *batch);

/// Opens a non-blocking UDP socket bound to an address. reuse_port: several
/// sockets of this process may be bound to the address, and the system
/// distributes datagrams among them. Errors: SL_IO.
enum SlStatus
SlUdpSocket_Open(const struct SlAddress *address, bool reuse_port,
                 int *descriptor, struct SlError *error);
/// Returns the address that a socket is bound to. Errors: SL_IO.
enum SlStatus
SlUdpSocket_BoundAddress(int descriptor, struct SlAddress *address);
/// Receives waiting datagrams without blocking, up to a full batch, and sets
/// batch->count to their number. A datagram that is longer than the buffer of
/// an item gets length_bytes 0.
void
SlUdpSocket_Receive(int descriptor, struct SlBatch *batch);
/// Sends the datagrams of a batch and empties it. Returns the number of
/// datagrams that the system refused.
uint32_t
SlUdpSocket_Send(int descriptor, struct SlBatch *batch);

enum SlPortKind {
    /// Whole IP packets encapsulated in UDP datagrams, from and to one peer.
    SL_PORT_ENCAP = 0,
    /// Ordinary UDP sockets; the port adds and removes the IP and UDP headers.
    /// ICMP errors reach callers only where the process may open raw sockets;
    /// elsewhere they are counted as refused.
    SL_PORT_UDP,
    /// A TUN device.
    SL_PORT_TUN,
    SL_PORT_KIND_COUNT
};

enum SlPortSide {
    /// The port of an entry, towards callers.
    SL_PORT_CALLERS = 0,
    /// The port of an agent, towards its upstream.
    SL_PORT_UPSTREAM,
};

struct SlPortOptions {
    enum SlPortKind kind;
    enum SlPortSide side;
    /// SL_PORT_ENCAP: the address at which packets are received.
    struct SlAddress listen;
    /// SL_PORT_ENCAP: the address to which packets are sent. Datagrams from
    /// other IP addresses are refused.
    struct SlAddress peer;
    /// SL_PORT_ENCAP: several ports of this process receive at listen, and the
    /// system distributes datagrams among them.
    bool reuse_port;
    /// SL_PORT_UDP towards an upstream: its address; port 0 selects the port
    /// of the service.
    struct SlAddress upstream;
    /// SL_PORT_UDP towards an upstream: max number of sockets, of which each
    /// flow has one; 0 selects 4096.
    uint32_t max_flows;
    /// SL_PORT_UDP towards an upstream: idle time after which a flow's socket
    /// is closed; 0 selects 600 s.
    uint64_t idle_timeout_us;
    /// SL_PORT_TUN: name of the device. If has_descriptor is set, descriptor
    /// is used instead and the port takes ownership of it.
    char device[SL_PORT_DEVICE_BYTES];
    bool has_descriptor;
    int descriptor;
};

/// An address and IP protocol at which a service is offered.
struct SlPortAddress {
    struct SlAddress address;
    /// IPPROTO_UDP or IPPROTO_TCP.
    uint8_t protocol;
};

/// Counters of packets and flows. They may be read at any time; values that
/// are read together need not belong to the same moment.
struct SlPortCounters {
    uint64_t received;
    uint64_t sent;
    /// Packets that were oversized, from an unknown source, or of a kind that
    /// the port cannot carry.
    uint64_t refused;
    uint64_t send_failed;
    /// Present sockets of an SL_PORT_UDP port: one for each flow towards an
    /// upstream, one for each service address towards callers.
    uint64_t flows;
    /// Sockets that were not opened, because of the limit or an error.
    uint64_t flows_refused;
};

struct SlPort;

/// The operations of a kind of port.
struct SlPortType {
    const char *name;
    /// Each packet thread opens its own port; otherwise all share one.
    bool is_per_thread;
    enum SlStatus (*open)(const struct SlPortOptions *options,
                          struct SlPort **port, struct SlError *error);
    /// Returns a descriptor that is readable when packets wait. It stays the
    /// same until the port is closed.
    int (*get_descriptor)(const struct SlPort *port);
    /// Fills batch with waiting packets. now_us: the present time. One thread
    /// at a time.
    void (*receive)(struct SlPort *port, uint64_t now_us,
                    struct SlBatch *batch);
    /// Sends the packets of a batch and empties it. Any thread.
    void (*send)(struct SlPort *port, uint64_t now_us, struct SlBatch *batch);
    /// Sets the addresses of all services, which replace the former ones. Any
    /// thread, one at a time.
    void (*set_addresses)(struct SlPort *port,
                          const struct SlPortAddress *addresses,
                          uint32_t count);
    void (*read_counters)(const struct SlPort *port,
                          struct SlPortCounters *counters);
    void (*close)(struct SlPort *port);
};

struct SlPort {
    const struct SlPortType *type;
};

/// Returns "encap", "udp" or "tun", and "unknown" for other values.
const char *
SlPortKind_Name(enum SlPortKind kind);
/// Returns the operations of a kind of port. Never NULL.
const struct SlPortType *
SlPort_Type(enum SlPortKind kind, enum SlPortSide side);

/// Opens a port, which the caller closes with SlPort_Close. On failure port is
/// set to NULL. Errors: SL_IO, SL_NO_MEMORY.
enum SlStatus
SlPort_Open(const struct SlPortOptions *options, struct SlPort **port,
            struct SlError *error);
/// port: may be NULL.
void
SlPort_Close(struct SlPort *port);

#endif
