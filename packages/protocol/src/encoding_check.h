#ifndef SAVORYLEDGE_PROTOCOL_ENCODING_CHECK_H
#define SAVORYLEDGE_PROTOCOL_ENCODING_CHECK_H

/// A test of msgpack bytes before they are unpacked. The unpacker takes
/// memory for as many elements as a container's head claims; here a head that
/// claims more than the bytes behind it can hold is found first.

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/// True when bytes begin with one whole value, whose containers together
/// claim no more elements than there are bytes.
bool
shape_is_sound(const uint8_t *bytes, size_t length_bytes);

#endif
