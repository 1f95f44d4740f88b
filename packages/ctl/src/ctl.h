#ifndef SAVORYLEDGE_CTL_CTL_H
#define SAVORYLEDGE_CTL_CTL_H

/// Definitions that the commands of savoryledgectl share: options, exit codes,
/// requests to processes, and output.
///
/// A hold is a named request to send no new flows to a zone or to an
/// upstream. Its name is the hold key, by default that of the operator's user.
/// A zone is out while it has a hold, and then its flows end; an upstream
/// drains while it has a hold.

#include <stdbool.h>
#include <stdio.h>

#include "client.h"
#include "savoryledge/state/object.h"

enum SlCtlExit {
    SL_EXIT_SUCCESS = 0,
    /// The request was refused or failed; the printed text tells
    /// whether anything was executed.
    SL_EXIT_FAILED = 1,
    /// An argument or option is wrong; nothing was sent.
    SL_EXIT_USAGE = 2,
    /// The object has another version than expected, or exists already.
    SL_EXIT_CONFLICT = 3,
    /// No control instance answered in time; the outcome is unknown.
    SL_EXIT_UNREACHABLE = 4,
    SL_EXIT_NOT_FOUND = 5,
};

enum {
    SL_CTL_ADDRESSES_MAX = 16,
    SL_CTL_ARGUMENTS_MAX = 256,
};

struct SlCtlOptions {
    uint32_t control_count;
    struct SlAddress control[SL_CTL_ADDRESSES_MAX];
    const char *key_file;
    bool json;
    uint64_t timeout_us;
    /// Version that the changed object must have; {0, 0} when not given.
    struct SlVersion expect;
    /// Version that was known before the change was first sent; set when
    /// has_base.
    struct SlVersion base;
    bool has_base;
    /// Numbers that identify a change when it is resent; 0 when not given.
    uint64_t client;
    uint64_t request;
    /// Each of these texts is NULL when not given.
    const char *hold;
    const char *reason;
    const char *selector;
    const char *address;
    const char *protocol;
    /// Both times are 0 when not given.
    uint32_t silence_ms;
    uint32_t idle_ms;
    struct SlLabels labels;
    /// Arguments after the name of the command and of its subcommand.
    uint32_t argument_count;
    const char *arguments[SL_CTL_ARGUMENTS_MAX];
};

struct SlCtl {
    struct SlCtlOptions options;
    /// NULL until the first request is sent.
    struct SlClient *connection;
    /// Index of the control instance that is tried next, taken modulo the
    /// number of addresses in options.control.
    uint32_t next_control_index;
    /// Time for connecting to one process and receiving its answer; afterwards
    /// the next process is tried.
    uint64_t attempt_timeout_us;
};

/// Bits for the groups of options that a command accepts in addition to the
/// options that all commands accept.
enum SlCtlOptionGroup {
    /// --expect: the version that the changed object must have.
    SL_OPTION_EXPECTED_VERSION = 1,
    SL_OPTION_HOLD = 2,
    SL_OPTION_SELECTOR = 4,
    SL_OPTION_SERVICE = 8,
    SL_OPTION_LABELS = 16,
    /// Options that identify a change: --client, --request and --base.
    SL_OPTION_REQUEST = 32,
};

struct SlCommand {
    const char *name;
    /// NULL when the command has no subcommands.
    const char *subcommand;
    uint32_t min_arguments;
    uint32_t max_arguments;
    /// Bits of enum SlCtlOptionGroup.
    uint32_t accepted_options;
    const char *usage;
    const char *description;
    /// Returns a value of enum SlCtlExit.
    int (*run)(struct SlCtl *ctl);
};

/// All commands, ended by a row whose name is NULL.
extern const struct SlCommand SL_COMMANDS[];

/// Prints to standard error what is wrong with an argument, which may be NULL;
/// returns SL_EXIT_USAGE.
int
SlCtl_ReportUsageError(const char *argument, const char *format, ...)
    __attribute__((format(printf, 2, 3)));

/// Parses "TERM.INDEX". Returns false when the text has another form.
bool
SlCtl_ParseVersion(const char *text, struct SlVersion *version);

/// Sends a request to one process after another until one answers it, or until
/// options.timeout_us has passed. A process that does not answer, or is not
/// the leader, is followed by the next process. Returns the status of the last
/// attempt.
///
/// on_answer: called with NULL before each attempt, then with each answer. It
/// sets *done with the last answer, and returns SL_AGAIN to try the next
/// process.
enum SlStatus
SlCtl_SendRequest(struct SlCtl *ctl, const struct SlMessage *message,
                  enum SlStatus (*on_answer)(void *context,
                                             const struct SlMessage *answer,
                                             bool *done),
                  void *context);

/// Sends a request to one address, with one attempt; otherwise like
/// SlCtl_SendRequest.
enum SlStatus
SlCtl_SendRequestTo(struct SlCtl *ctl, const struct SlAddress *address,
                    const struct SlMessage *message,
                    enum SlStatus (*on_answer)(void *context,
                                               const struct SlMessage *answer,
                                               bool *done),
                    void *context);

/// Calls on_line for each line "key=value" of a text answer.
void
SlCtl_ForEachLine(const struct SlText *text,
                  void (*on_line)(void *context, const char *key,
                                  const char *value),
                  void *context);

/// Prints that no control instance answered, with the status of the last
/// attempt; returns SL_EXIT_UNREACHABLE.
int
SlCtl_ReportUnreachable(enum SlStatus status);

/* Commands: each returns a value of enum SlCtlExit. */
/// Sends a change and prints its result.
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
SlCtl_UpstreamEndDrain(struct SlCtl *ctl);
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
int
SlCtl_ExplainPlace(struct SlCtl *ctl);

/* Output. */
/// Prints an object as JSON or as one line of text.
void
SlPrint_Object(FILE *out, bool json, const struct SlObject *object);
/// Prints the result of a change: JSON always to standard output, text to
/// standard error when the change failed.
void
SlPrint_Result(bool json, const struct SlResult *result);
/// Prints a text as a JSON string with its quotes.
void
SlPrint_JsonString(FILE *out, const char *text);
/// Prints "key=value" lines unchanged or as a JSON object, in which a key that
/// occurs several times has an array as its value.
void
SlPrint_Lines(bool json, const char *text, size_t length_bytes);

#endif
