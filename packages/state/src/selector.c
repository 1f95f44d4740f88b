#include <ctype.h>
#include <stdbool.h>
#include <string.h>

#include "savoryledge/state/object.h"

/// Selectors are read where they are matched: a selector is short, and a
/// parsed form would have to be kept beside every copy of an object.

enum term_kind {
    TERM_EXISTS,
    TERM_ABSENT,
    TERM_EQUAL,
    TERM_NOT_EQUAL,
    TERM_IN,
    TERM_NOT_IN,
};

/// A piece of the selector's text.
struct slice {
    const char *start;
    size_t bytes;
};

struct term {
    enum term_kind kind;
    struct slice key;
    /// One value, or the text between the parentheses.
    struct slice values;
};

static bool
is_word(char c)
{
    return isalnum((unsigned char)c) || c == '-' || c == '_' || c == '.' ||
           c == '/';
}

static const char *
skip_spaces(const char *at)
{
    while (*at == ' ') {
        at++;
    }
    return at;
}

/// Takes a word off the text at *at; empty when there is none.
static struct slice
take_word(const char **at)
{
    struct slice word = {.start = skip_spaces(*at)};

    while (is_word(word.start[word.bytes])) {
        word.bytes++;
    }
    *at = skip_spaces(word.start + word.bytes);
    return word;
}

static bool
slice_is(struct slice slice, const char *text)
{
    return strlen(text) == slice.bytes &&
           memcmp(slice.start, text, slice.bytes) == 0;
}

/// Reads "(a,b)" and gives what stands between the parentheses.
static bool
take_set(const char **at, struct slice *values)
{
    const char *cursor = *at;

    if (*cursor != '(') {
        return false;
    }
    cursor++;
    values->start = cursor;
    for (;;) {
        if (take_word(&cursor).bytes == 0) {
            return false;
        }
        if (*cursor != ',') {
            break;
        }
        cursor++;
    }
    values->bytes = (size_t)(cursor - values->start);
    *at = skip_spaces(cursor + 1);
    return *cursor == ')';
}

/// Reads what follows a key.
static bool
take_test(const char **at, struct term *term)
{
    struct slice word;

    if (**at == '\0' || **at == ',') {
        term->kind = TERM_EXISTS;
        return true;
    }
    if (**at == '=' || (**at == '!' && (*at)[1] == '=')) {
        term->kind = **at == '=' ? TERM_EQUAL : TERM_NOT_EQUAL;
        *at += **at == '=' ? 1 : 2;
        term->values = take_word(at);
        return term->values.bytes != 0;
    }
    word = take_word(at);
    term->kind = TERM_IN;
    if (slice_is(word, "not")) {
        term->kind = TERM_NOT_IN;
        word = take_word(at);
    }
    return slice_is(word, "in") && take_set(at, &term->values);
}

/// Takes one term and the comma behind it off the text at *at.
static bool
take_term(const char **at, struct term *term)
{
    const char *cursor = skip_spaces(*at);
    bool negated = *cursor == '!';

    *term = (struct term){.kind = TERM_ABSENT};
    cursor += negated;
    term->key = take_word(&cursor);
    if (term->key.bytes == 0 || term->key.bytes >= SL_LABEL_KEY_BYTES) {
        return false;
    }
    if (!negated && !take_test(&cursor, term)) {
        return false;
    }
    if (*cursor == ',') {
        *at = skip_spaces(cursor + 1);
        return **at != '\0';
    }
    *at = cursor;
    return *cursor == '\0';
}

enum SlStatus
SlSelector_Check(const char *selector, struct SlError *error)
{
    const char *at = skip_spaces(selector);
    struct term term;

    if (strlen(selector) >= SL_SELECTOR_BYTES) {
        return SlError_Set(error, SL_TOO_LONG, SL_STEP_PARSE, NULL,
                           "selector is longer than %d characters",
                           SL_SELECTOR_BYTES - 1);
    }
    while (*at != '\0') {
        const char *start = at;

        if (!take_term(&at, &term)) {
            return SlError_Set(error, SL_MALFORMED, SL_STEP_PARSE, NULL,
                               "selector term not understood: \"%s\"", start);
        }
    }
    return SL_OK;
}

static bool
set_contains(struct slice values, const char *value)
{
    const char *at = values.start;
    const char *end = values.start + values.bytes;

    while (at < end) {
        if (slice_is(take_word(&at), value)) {
            return true;
        }
        at++;
    }
    return false;
}

static bool
term_holds(const struct term *term, const char *value)
{
    switch (term->kind) {
    case TERM_EXISTS:
        return value != NULL;
    case TERM_ABSENT:
        return value == NULL;
    case TERM_EQUAL:
        return value != NULL && slice_is(term->values, value);
    case TERM_NOT_EQUAL:
        return value == NULL || !slice_is(term->values, value);
    case TERM_IN:
        return value != NULL && set_contains(term->values, value);
    case TERM_NOT_IN:
        return value == NULL || !set_contains(term->values, value);
    }
    return false;
}

bool
SlSelector_Matches(const char *selector,
                   const char *(*lookup)(const void *context, const char *key),
                   const void *context)
{
    const char *at = skip_spaces(selector);

    while (*at != '\0') {
        char key[SL_LABEL_KEY_BYTES];
        struct term term;

        if (!take_term(&at, &term)) {
            return false;
        }
        memcpy(key, term.key.start, term.key.bytes);
        key[term.key.bytes] = '\0';
        if (!term_holds(&term, lookup(context, key))) {
            return false;
        }
    }
    return true;
}
