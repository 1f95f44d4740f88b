#ifndef SAVORYLEDGE_DAEMON_RECORDER_H
#define SAVORYLEDGE_DAEMON_RECORDER_H

/// Writes a recording to a file. Records go into a buffer of limited size that
/// a writer thread empties. Records that find the buffer full are lost; the
/// recording then contains a record with their number.
///
/// A file that has reached its maximum size is renamed to FILE.1, replacing an
/// older one, and a new FILE is created. A replay needs the file that begins
/// with the node's options.

#include "savoryledge/coordination/recording.h"

struct SlRecorder;

/// Creates the file, accessible to its owner only, and starts the writer
/// thread. max_bytes: maximum size of one file; 0 selects 256 MiB.
/// Errors: SL_IO, SL_NO_MEMORY.
enum SlStatus
SlRecorder_Create(const char *path, uint64_t max_bytes,
                  struct SlRecorder **recorder, struct SlError *error);
/// Writes the buffered records and closes the file. NULL is allowed.
void
SlRecorder_Destroy(struct SlRecorder *recorder);

/// Records an input. Blocks other threads' inputs until SlRecorder_EndInput,
/// so that inputs are recorded in the order in which the cores handle them.
void
SlRecorder_BeginInput(struct SlRecorder *recorder,
                      const struct SlInput *input);
void
SlRecorder_EndInput(struct SlRecorder *recorder);

/// Records an event that the cores emitted while handling the input.
void
SlRecorder_RecordEvent(struct SlRecorder *recorder,
                       const struct SlEvent *event);

/// Records the options of a node that is about to be created, and the contents
/// of its storage, if it has one. now_us: monotonic time.
void
SlRecorder_RecordNode(struct SlRecorder *recorder,
                      const struct SlNodeOptions *options, uint64_t now_us);

/// Returns the number of records lost since the start.
uint64_t
SlRecorder_LostRecords(const struct SlRecorder *recorder);

#endif
