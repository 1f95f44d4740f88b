#ifndef SAVORYLEDGE_STATE_FLOW_JOURNAL_H
#define SAVORYLEDGE_STATE_FLOW_JOURNAL_H

/// The journal of kept flows: which flows each agent's upstream holds, so that
/// their callers can be reset after everything that knew the flows has lost
/// its memory. It is a hint and never an authority: a record that is missing
/// costs its caller one request, and a record of a flow that has ended costs
/// one reset that its receiver ignores.
///
/// struct SlFlowJournal is the table in memory, without I/O. struct
/// SlFlowJournalFile appends encoded bundles to a file on a thread of its own,
/// so that a slow disk delays nothing else.

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "savoryledge/common/address.h"
#include "savoryledge/state/files.h"

enum {
    /// Maximum number of records in one bundle.
    SL_FLOW_BUNDLE_MAX = 256,
    /// Size of a buffer for the largest encoded bundle.
    SL_FLOW_BUNDLE_BYTES = 16 * 1024,
};

/// One flow, or the news that it has ended.
struct SlFlowRecord {
    /// A number that the caller acknowledged lately.
    uint32_t ack;
    struct SlFlowKey key;
    bool ended;
};

/// Records of flows of one run of one agent's upstream. records is borrowed.
struct SlFlowBundle {
    /// Node id of the agent.
    uint64_t agent_id;
    /// Start time of the upstream's run, milliseconds since 1970; not 0.
    uint64_t started_ms;
    uint32_t count;
    const struct SlFlowRecord *records;
};

struct SlFlowJournal;

/// Creates an empty journal. Records beyond a limit are dropped. Returns NULL
/// when memory runs out.
struct SlFlowJournal *
SlFlowJournal_Create(uint32_t records_max, uint32_t records_per_agent_max);
/// journal may be NULL.
void
SlFlowJournal_Destroy(struct SlFlowJournal *journal);

/// Adds, updates and removes records. The first bundle of a later run of the
/// upstream removes all records of earlier runs; a bundle of an earlier run is
/// ignored. Returns the number of records that were dropped because of a limit
/// or because memory ran out.
uint32_t
SlFlowJournal_Apply(struct SlFlowJournal *journal,
                    const struct SlFlowBundle *bundle);
/// Fills in the bundle of all records of an agent, which may be more than
/// SL_FLOW_BUNDLE_MAX. They are borrowed until the next call of
/// SlFlowJournal_Apply. Returns false when there is none.
bool
SlFlowJournal_Find(const struct SlFlowJournal *journal, uint64_t agent_id,
                   struct SlFlowBundle *bundle);
/// Returns the number of records of all agents.
uint32_t
SlFlowJournal_Count(const struct SlFlowJournal *journal);

/// Encodes a bundle with a checksum into SL_FLOW_BUNDLE_BYTES bytes at out.
/// Returns the encoded length.
size_t
SlFlowBundle_Encode(const struct SlFlowBundle *bundle, uint8_t *out);
/// Encodes the whole journal as bundles. The caller frees the result. Returns
/// NULL when memory runs out.
uint8_t *
SlFlowJournal_Encode(const struct SlFlowJournal *journal,
                     size_t *length_bytes);
/// Applies all encoded bundles up to the first one that is incomplete or
/// damaged, and returns their length in bytes. A whole bundle that another
/// writer encoded differently is left out.
size_t
SlFlowJournal_Decode(struct SlFlowJournal *journal, const uint8_t *bytes,
                     size_t length_bytes);

struct SlFlowJournalFile;

struct SlFlowJournalFileCounters {
    /// Bytes that were written and synced.
    uint64_t written_bytes;
    uint64_t syncs;
    /// Failed attempts to write.
    uint64_t failures;
    /// Bytes that were dropped because the disk was too slow or refused them.
    uint64_t dropped_bytes;
};

/// Starts the thread, which reads the file "flows" in the folder. path and
/// files are borrowed and must outlive the object. Returns NULL when memory
/// runs out or the thread cannot be started.
struct SlFlowJournalFile *
SlFlowJournalFile_Open(struct SlFiles *files, const char *path);
/// Writes what is queued, and ends the thread. file may be NULL.
void
SlFlowJournalFile_Close(struct SlFlowJournalFile *file);
/// Returns false while the file is being read. Afterwards returns true and,
/// for the first call, the contents, which the caller frees; NULL when there
/// are none or they cannot be read.
bool
SlFlowJournalFile_TakeContents(struct SlFlowJournalFile *file, uint8_t **bytes,
                               size_t *length_bytes);
/// True when the file should be replaced now: something could not be appended,
/// or the file has grown to several times its length after the last
/// replacement. Replacements after failures are some seconds apart.
bool
SlFlowJournalFile_NeedsReplacement(struct SlFlowJournalFile *file,
                                   uint64_t now_us);
/// Queues bytes to be appended. Drops them when the queue is full, and before
/// the first replacement and after a failure; the next replacement then has to
/// contain them.
void
SlFlowJournalFile_Append(struct SlFlowJournalFile *file, const uint8_t *bytes,
                         size_t length_bytes);
/// Queues the replacement of the file's contents, and takes over bytes, which
/// were allocated with malloc. Whatever is still queued is superseded.
void
SlFlowJournalFile_Replace(struct SlFlowJournalFile *file, uint64_t now_us,
                          uint8_t *bytes, size_t length_bytes);
/// Makes the thread write and sync what is queued. The owner calls this at an
/// interval that leaves the disk to the log most of the time.
void
SlFlowJournalFile_Flush(struct SlFlowJournalFile *file);
/// Flushes, and waits until nothing is queued or being written. For tests.
void
SlFlowJournalFile_Drain(struct SlFlowJournalFile *file);
void
SlFlowJournalFile_Counters(struct SlFlowJournalFile *file,
                           struct SlFlowJournalFileCounters *counters);

#endif
