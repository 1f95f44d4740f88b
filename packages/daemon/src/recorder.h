#ifndef SAVORYLEDGE_DAEMON_RECORDER_H
#define SAVORYLEDGE_DAEMON_RECORDER_H

/// Writes a recording to a file. Records go into bounded memory that a
/// thread of its own empties; what finds no room is counted, and the
/// recording itself says so.
///
/// A file that has reached its size becomes FILE.1, in place of an older
/// one, and a new FILE begins. A replay needs the part that begins with the
/// node's options.

#include "savoryledge/coordination/recording.h"

struct SlRecorder;

/// Creates the file, readable by its owner alone.
/// max_bytes: size of one file; 0 takes 256 MiB.
/// Errors: SL_IO, SL_NO_MEMORY.
enum SlStatus
SlRecorder_Create(const char *path, uint64_t max_bytes,
                  struct SlRecorder **recorder, struct SlError *error);
/// Writes what waits. NULL is allowed.
void
SlRecorder_Destroy(struct SlRecorder *recorder);

/// Holds off other threads from here to SlRecorder_End, so that the order in
/// the recording is the order in the cores.
void
SlRecorder_BeginInput(struct SlRecorder *recorder,
                      const struct SlInput *input);
void
SlRecorder_EndInput(struct SlRecorder *recorder);

/// An event that came out between the two.
void
SlRecorder_Event(struct SlRecorder *recorder, const struct SlEvent *event);

/// The node as it is about to be created, and its storage (NULL for none).
void
SlRecorder_Node(struct SlRecorder *recorder,
                const struct SlNodeOptions *options, uint64_t now_us);

/// Records lost since the start.
uint64_t
SlRecorder_Lost(const struct SlRecorder *recorder);

#endif
