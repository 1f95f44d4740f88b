#ifndef SAVORYLEDGE_DAEMON_RECORDER_H
#define SAVORYLEDGE_DAEMON_RECORDER_H

/// Writes a recording to a file: the inputs of the cores of a process and the
/// events that they emit, for a replay (recording.h). Records go into a buffer
/// of limited size that a writer thread empties. Records that find the buffer
/// full are lost; the recording then contains a record with their number.
///
/// A file that has reached its maximum size is renamed to FILE.1, replacing an
/// older FILE.1, and a new FILE is created. A replay needs the file that
/// begins with the node's options.

#include "savoryledge/coordination/recording.h"

struct SlRecorder;

/// Creates the recording's file, which only its owner may access, and starts
/// the writer thread. max_bytes: maximum size of one file; 0 selects 256 MiB.
/// Errors: SL_IO, SL_NO_MEMORY.
enum SlStatus
SlRecorder_Create(const char *path, uint64_t max_bytes,
                  struct SlRecorder **recorder, struct SlError *error);
/// Writes the buffered records, closes the file and frees the recorder.
/// recorder may be NULL.
void
SlRecorder_Destroy(struct SlRecorder *recorder);

/// Records an input of the cores. Blocks other threads' inputs until
/// SlRecorder_EndInput, so that inputs are recorded in the order in which the
/// cores handle them.
void
SlRecorder_BeginInput(struct SlRecorder *recorder,
                      const struct SlInput *input);
/// Ends the input that SlRecorder_BeginInput began, so that other threads may
/// record their inputs.
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

/// Returns the number of records lost since the recorder was created.
uint64_t
SlRecorder_LostRecords(const struct SlRecorder *recorder);

#endif
