#ifndef SAVORYLEDGE_PROTOCOL_ENCODING_H
#define SAVORYLEDGE_PROTOCOL_ENCODING_H

/// Validation of msgpack bytes before they are unpacked. The unpacker
/// allocates memory for as many elements as a container's header declares.
/// This check rejects a header that declares more elements than the remaining
/// bytes can hold, and more values than a message has.

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum {
    /// Maximum number of values in a datagram's header or list, and in a
    /// frame; each takes 24 bytes of memory when it is unpacked.
    SL_ENCODING_DATAGRAM_VALUES_MAX = 1024,
    SL_ENCODING_FRAME_VALUES_MAX = 64 * 1024,
};

/// True when bytes begin with one complete value whose containers together
/// declare no more elements than there are bytes, and that consists of at most
/// max_values values.
bool
SlEncoding_IsWellFormed(const uint8_t *bytes, size_t length_bytes,
                        uint32_t max_values);

#endif
