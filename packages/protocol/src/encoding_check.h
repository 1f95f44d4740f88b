#ifndef SAVORYLEDGE_PROTOCOL_ENCODING_CHECK_H
#define SAVORYLEDGE_PROTOCOL_ENCODING_CHECK_H

/// Validation of msgpack bytes before they are unpacked. The unpacker
/// allocates memory for as many elements as a container's header declares.
/// This check rejects a header that declares more elements than the remaining
/// bytes can hold.

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/// True when bytes begin with one complete value whose containers together
/// declare no more elements than there are bytes.
bool
encoding_is_well_formed(const uint8_t *bytes, size_t length_bytes);

#endif
