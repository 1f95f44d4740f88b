#ifndef SAVORYLEDGE_TRANSPORT_PORT_H
#define SAVORYLEDGE_TRANSPORT_PORT_H

/// Packet ports: where whole IP packets of callers (entry) or of the
/// upstream (agent) come in and go out. And the batches and UDP sockets that
/// ports and tunnel share.

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "savoryledge/common/address.h"
#include "savoryledge/common/packet.h"
#include "savoryledge/common/status.h"

enum {
    SL_BATCH_ITEMS = 64,
    /// Room for the largest packet with tunnel header and seal.
    SL_BATCH_ITEM_BYTES = SL_PACKET_MTU_BYTES + 1024,
    SL_PORT_DEVICE_BYTES = 16,
};

struct SlBatchItem {
    /// SL_BATCH_ITEM_BYTES of room, owned by the batch.
    uint8_t *bytes;
    uint32_t length_bytes;
    /// Datagrams: the other end.
    struct SlAddress peer;
};

/// Packets on their way in or out.
struct SlBatch {
    uint32_t count;
    struct SlBatchItem items[SL_BATCH_ITEMS];
    uint8_t *memory;
};

/// NULL without memory.
struct SlBatch *
SlBatch_Create(void);
/// NULL is allowed.
void
SlBatch_Destroy(struct SlBatch *batch);

/// Opens a non-blocking UDP socket. shared: several sockets of this process
/// may have the address, and the system spreads datagrams over them.
/// Errors: SL_IO.
enum SlStatus
SlUdpSocket_Open(const struct SlAddress *address, bool shared, int *descriptor,
                 struct SlError *error);
/// The address that a socket is bound to.
enum SlStatus
SlUdpSocket_BoundAddress(int descriptor, struct SlAddress *address);
/// Receives what waits, up to a full batch; batch->count tells how many.
/// Datagrams longer than an item come with length_bytes 0.
void
SlUdpSocket_Receive(int descriptor, struct SlBatch *batch);
/// Sends a batch and empties it. Returns how many the system refused.
uint32_t
SlUdpSocket_Send(int descriptor, struct SlBatch *batch);

enum SlPortKind {
    /// Whole IP packets in UDP datagrams.
    SL_PORT_ENCAP = 0,
    /// Ordinary UDP sockets. ICMP errors reach callers only where the process
    /// may open raw sockets; elsewhere they are counted as refused.
    SL_PORT_UDP,
    /// A TUN device.
    SL_PORT_TUN,
    SL_PORT_KIND_COUNT
};

enum SlPortSide {
    SL_PORT_CALLERS = 0,
    SL_PORT_UPSTREAM,
};

struct SlPortOptions {
    enum SlPortKind kind;
    enum SlPortSide side;
    /// ENCAP: where packets arrive, and where they are sent to. Datagrams
    /// from other IP addresses than that are refused.
    struct SlAddress listen;
    struct SlAddress peer;
    /// ENCAP: several ports of this process have the address listen.
    bool reuse_port;
    /// UDP beside an upstream: its address; port 0 takes the service's.
    struct SlAddress upstream;
    /// UDP beside an upstream: sockets at most, and the silence after which
    /// one is closed; 0 takes 4096 and 600 s.
    uint32_t max_flows;
    uint64_t idle_us;
    /// TUN: name of the device, or a descriptor to use in its place (when
    /// has_descriptor is set; the port then owns it).
    char device[SL_PORT_DEVICE_BYTES];
    bool has_descriptor;
    int descriptor;
};

/// An address of a service.
struct SlPortAddress {
    struct SlAddress address;
    uint8_t protocol;
};

/// Counters; read at any time, each on its own.
struct SlPortCounters {
    uint64_t received;
    uint64_t sent;
    /// Oversized, of an unknown source, or of a kind the port cannot carry.
    uint64_t refused;
    uint64_t send_failed;
    uint64_t flows;
    uint64_t flows_refused;
};

struct SlPort;

struct SlPortType {
    const char *name;
    /// True when each packet thread opens a port of its own.
    bool is_per_thread;
    enum SlStatus (*open)(const struct SlPortOptions *options,
                          struct SlPort **port, struct SlError *error);
    /// Readable when packets wait. Never changes.
    int (*get_descriptor)(const struct SlPort *port);
    /// Fills batch with packets that wait; one thread. now_us: present time.
    void (*receive)(struct SlPort *port, uint64_t now_us,
                    struct SlBatch *batch);
    /// Sends a batch of packets and empties it. Any thread.
    void (*send)(struct SlPort *port, uint64_t now_us, struct SlBatch *batch);
    /// Tells the addresses of all services. Any thread, one at a time.
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

/// "encap", "udp", "tun". Never NULL.
const char *
SlPortKind_Name(enum SlPortKind kind);
const struct SlPortType *
SlPort_Type(enum SlPortKind kind, enum SlPortSide side);

/// Errors: SL_IO, SL_NO_MEMORY.
enum SlStatus
SlPort_Open(const struct SlPortOptions *options, struct SlPort **port,
            struct SlError *error);
/// NULL is allowed.
void
SlPort_Close(struct SlPort *port);

#endif
