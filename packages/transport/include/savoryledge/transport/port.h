#ifndef SAVORYLEDGE_TRANSPORT_PORT_H
#define SAVORYLEDGE_TRANSPORT_PORT_H

/// Packet ports. A port is the place where whole IP packets enter and leave a
/// process (not a TCP or UDP port number): an entry exchanges packets with
/// callers through its port, and an agent with its upstream. This header also
/// declares the batches and UDP sockets that ports and the tunnel between
/// processes share.

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "savoryledge/common/address.h"
#include "savoryledge/common/packet.h"
#include "savoryledge/common/status.h"

enum {
    /// Max number of items in a batch.
    SL_BATCH_ITEMS = 64,
    /// Size of the buffer of one item of a batch, which holds the largest
    /// packet with tunnel header and seal (seal.h).
    SL_BATCH_ITEM_BYTES = SL_PACKET_MTU_BYTES + 1024,
    /// Size of a network device's name, terminating NUL included.
    SL_PORT_DEVICE_BYTES = 16,
};

/// One packet or datagram of a batch.
struct SlBatchItem {
    /// A buffer of SL_BATCH_ITEM_BYTES, owned by the batch.
    uint8_t *bytes;
    uint32_t length_bytes;
    /// Source address of a received datagram, or destination address of a
    /// datagram to be sent. Unused for packets of a TUN device.
    struct SlAddress peer;
};

/// A number of packets or datagrams that were received together or are to be
/// sent together.
struct SlBatch {
    /// Number of items that contain a packet or datagram.
    uint32_t count;
    struct SlBatchItem items[SL_BATCH_ITEMS];
    /// One allocation with the buffers of all items.
    uint8_t *memory;
};

/// Creates an empty batch. Returns NULL when out of memory.
struct SlBatch *
SlBatch_Create(void);
/// Frees the batch and the buffers of its items. batch may be NULL.
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
/// Receives the datagrams that wait at the socket without blocking, up to a
/// full batch, and sets batch->count to their number. A datagram that is
/// longer than the buffer of an item gets length_bytes 0.
void
SlUdpSocket_Receive(int descriptor, struct SlBatch *batch);
/// Sends the datagrams of a batch and empties it. Returns the number of
/// datagrams that the system refused.
uint32_t
SlUdpSocket_Send(int descriptor, struct SlBatch *batch);

/// How a port exchanges packets.
enum SlPortKind {
    /// Whole IP packets encapsulated in UDP datagrams, from and to one peer.
    SL_PORT_ENCAP = 0,
    /// Ordinary UDP sockets; the port adds and removes the IP and UDP headers.
    /// ICMP errors reach callers only where the process may open raw sockets;
    /// elsewhere they are counted as refused.
    SL_PORT_UDP,
    /// Whole IP packets through a TUN network device.
    SL_PORT_TUN,
    SL_PORT_KIND_COUNT
};

/// Whom a port exchanges packets with.
enum SlPortSide {
    /// The port of an entry, which exchanges packets with callers.
    SL_PORT_CALLERS = 0,
    /// The port of an agent, which exchanges packets with its upstream.
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
    /// SL_PORT_UDP towards an upstream: the address of the upstream; port
    /// number 0 selects the port number of the service.
    struct SlAddress upstream;
    /// SL_PORT_UDP towards an upstream: max number of flows, each of which has
    /// a socket of its own; 0 selects 4096.
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
    /// Number of packets received and sent.
    uint64_t received;
    uint64_t sent;
    /// Number of packets that were oversized, from an unknown source, or of a
    /// kind that the port cannot carry.
    uint64_t refused;
    /// Number of packets that the system refused to send.
    uint64_t send_failed;
    /// Number of sockets that an SL_PORT_UDP port has open: one for each flow
    /// towards an upstream, one for each service address towards callers.
    uint64_t flows;
    /// Number of sockets that were not opened, because of the limit or an
    /// error.
    uint64_t flows_refused;
};

struct SlPort;

/// The operations of a kind of port.
struct SlPortType {
    const char *name;
    /// True when each packet thread opens its own port, false when all packet
    /// threads share one port.
    bool is_per_thread;
    enum SlStatus (*open)(const struct SlPortOptions *options,
                          struct SlPort **port, struct SlError *error);
    /// Returns a descriptor that is readable when packets wait. It stays the
    /// same until the port is closed.
    int (*get_descriptor)(const struct SlPort *port);
    /// Fills batch with the packets that wait at the port. now_us: the present
    /// time. Must not be called by two threads at the same time.
    void (*receive)(struct SlPort *port, uint64_t now_us,
                    struct SlBatch *batch);
    /// Sends the packets of a batch and empties it. May be called from any
    /// thread.
    void (*send)(struct SlPort *port, uint64_t now_us, struct SlBatch *batch);
    /// Replaces the addresses of all services. May be called from any thread,
    /// but not by two threads at the same time.
    void (*set_addresses)(struct SlPort *port,
                          const struct SlPortAddress *addresses,
                          uint32_t count);
    void (*read_counters)(const struct SlPort *port,
                          struct SlPortCounters *counters);
    void (*close)(struct SlPort *port);
};

/// An open port. The kinds of ports embed it as the first member of a struct.
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
/// Closes a port and frees it. port may be NULL.
void
SlPort_Close(struct SlPort *port);

#endif
