#ifndef SAVORYLEDGE_CTL_CTL_H
#define SAVORYLEDGE_CTL_CTL_H

/// What the commands of savoryledgectl share: options, words, exit codes,
/// and conversations with control.

#include <stdbool.h>
#include <stdio.h>

#include "client.h"
#include "savoryledge/state/object.h"

enum SlCtlExit {
    SL_EXIT_GOOD = 0,
    /// Refused or failed; the text tells whether anything ran.
    SL_EXIT_FAILED = 1,
    /// A word of the command line is wrong; nothing was sent.
    SL_EXIT_USAGE = 2,
    /// The object has another version than expected, or is there already.
    SL_EXIT_CONFLICT = 3,
    /// No control instance answered in time; the outcome is unknown.
    SL_EXIT_UNREACHABLE = 4,
    SL_EXIT_NOT_FOUND = 5,
};

enum {
    SL_CTL_ADDRESSES_MAX = 16,
    SL_CTL_WORDS_MAX = 256,
};

struct SlCtlOptions {
    uint32_t control_count;
    struct SlAddress control[SL_CTL_ADDRESSES_MAX];
    const char *key_file;
    bool json;
    uint64_t timeout_us;
    /// For changes; {0, 0} when not given.
    struct SlVersion expect;
    struct SlVersion base;
    bool has_base;
    uint64_t client;
    uint64_t request;
    /// NULL when not given.
    const char *hold;
    const char *reason;
    const char *selector;
    const char *address;
    const char *protocol;
    uint32_t silence_ms;
    uint32_t idle_ms;
    struct SlLabels labels;
    /// Words behind the command's own.
    uint32_t word_count;
    const char *words[SL_CTL_WORDS_MAX];
};

struct SlCtl {
    struct SlCtlOptions options;
    /// NULL until a conversation begins.
    struct SlClient *conversation;
    uint32_t next_control;
    /// A process that does not answer within this time is left for the next.
    uint64_t try_us;
};

/// Options that a command takes beside the common ones.
enum SlCtlOptionBit {
    SL_TAKES_EXPECT = 1,
    SL_TAKES_HOLD = 2,
    SL_TAKES_SELECTOR = 4,
    SL_TAKES_SERVICE = 8,
    SL_TAKES_LABELS = 16,
    /// A change: client, request and base.
    SL_TAKES_REQUEST = 32,
};

struct SlCommand {
    /// Second is NULL for commands of one word.
    const char *first;
    const char *second;
    uint32_t min_words;
    uint32_t max_words;
    uint32_t takes;
    const char *usage;
    const char *meaning;
    int (*run)(struct SlCtl *ctl);
};

/// The table ends with a row without names.
extern const struct SlCommand SL_COMMANDS[];

/// Tells on standard error what is wrong with a word; returns
/// SL_EXIT_USAGE.
int
SlCtl_Usage(const char *word, const char *format, ...)
    __attribute__((format(printf, 2, 3)));

/// Reads "TERM.INDEX".
bool
SlCtl_ParseVersion(const char *text, struct SlVersion *version);

/// Asks a process that answers; the next one when it does not, or is not
/// the leader, until the time is up. Returns the statuses of the last try.
///
/// take: called with NULL before each try, then with each answer; sets *done
/// with the last one, and returns SL_AGAIN to try the next process.
enum SlStatus
SlCtl_Ask(struct SlCtl *ctl, const struct SlMessage *message,
          enum SlStatus (*take)(void *context, const struct SlMessage *answer,
                                bool *done),
          void *context);

/// The same, of one address only.
enum SlStatus
SlCtl_AskAt(struct SlCtl *ctl, const struct SlAddress *address,
            const struct SlMessage *message,
            enum SlStatus (*take)(void *context,
                                  const struct SlMessage *answer, bool *done),
            void *context);

/// Calls take for each line "key=value" of a text answer.
void
SlCtl_EachLine(const struct SlText *text,
               void (*take)(void *context, const char *key, const char *value),
               void *context);

/// Tells that nobody answered; returns SL_EXIT_UNREACHABLE.
int
SlCtl_Unreachable(enum SlStatus status);

/* Commands. */
int
SlCtl_RunChange(struct SlCtl *ctl, struct SlChange *change);
int
SlCtl_Create(struct SlCtl *ctl);
int
SlCtl_Label(struct SlCtl *ctl);
int
SlCtl_Select(struct SlCtl *ctl);
int
SlCtl_Delete(struct SlCtl *ctl);
int
SlCtl_ZoneOut(struct SlCtl *ctl);
int
SlCtl_ZoneIn(struct SlCtl *ctl);
int
SlCtl_UpstreamDrain(struct SlCtl *ctl);
int
SlCtl_UpstreamReturn(struct SlCtl *ctl);
int
SlCtl_MemberAdd(struct SlCtl *ctl);
int
SlCtl_MemberRemove(struct SlCtl *ctl);
int
SlCtl_Show(struct SlCtl *ctl);
int
SlCtl_List(struct SlCtl *ctl);
int
SlCtl_Status(struct SlCtl *ctl);
int
SlCtl_Metrics(struct SlCtl *ctl);
int
SlCtl_Wait(struct SlCtl *ctl);
int
SlCtl_RecordOn(struct SlCtl *ctl);
int
SlCtl_RecordOff(struct SlCtl *ctl);
int
SlCtl_KeyNew(struct SlCtl *ctl);
int
SlCtl_ExplainFlow(struct SlCtl *ctl);
int
SlCtl_ExplainUpstream(struct SlCtl *ctl);
int
SlCtl_ExplainZone(struct SlCtl *ctl);
int
SlCtl_ExplainProcess(struct SlCtl *ctl);

/* Output. */
void
SlPrint_Object(FILE *out, bool json, const struct SlObject *object);
/// The outcome of a change, on standard output, or on standard error when
/// it failed.
void
SlPrint_Result(bool json, const struct SlResult *result);
/// A JSON string with its quotes.
void
SlPrint_JsonText(FILE *out, const char *text);
/// key=value lines, as they are or as a JSON object; a key that stands
/// several times becomes an array.
void
SlPrint_Lines(bool json, const char *text, size_t length_bytes);

#endif
