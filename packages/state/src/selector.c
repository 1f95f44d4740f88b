#include <ctype.h>
#include <stdbool.h>
#include <string.h>

#include "savoryledge/state/object.h"

/// Parses and evaluates selectors. A selector is parsed each time it is
/// evaluated: it is short, and a parsed form would have to be stored with
/// every copy of an object.

enum term_kind {
    TERM_EXISTS,
    TERM_ABSENT,
    TERM_EQUAL,
    TERM_NOT_EQUAL,
    TERM_IN,
    TERM_NOT_IN,
};

/// A part of the text of a selector.
struct slice {
    const char *start;
    size_t length_bytes;
};

struct term {
    enum term_kind kind;
    struct slice key;
    /// A single value, or the text between the parentheses of a value set.
    struct slice values;
};

static bool
is_word_char(char c)
{
    return isalnum((unsigned char)c) || c == '-' || c == '_' || c == '.' ||
           c == '/';
}

static const char *
skip_spaces(const char *text)
{
    while (*text == ' ') {
        text++;
    }
    return text;
}

/// Parses a word at *text and advances *text past it and the spaces that
/// follow. The word is empty when there is none.
static struct slice
parse_word(const char **text)
{
    struct slice word = {.start = skip_spaces(*text)};

    while (is_word_char(word.start[word.length_bytes])) {
        word.length_bytes++;
    }
    *text = skip_spaces(word.start + word.length_bytes);
    return word;
}

static bool
slice_equals(struct slice slice, const char *text)
{
    return strlen(text) == slice.length_bytes &&
           memcmp(slice.start, text, slice.length_bytes) == 0;
}

/// Parses a value set like "(a,b)" and advances *text past it. values
/// receives the text between the parentheses. Returns false on a syntax
/// error.
static bool
parse_value_set(const char **text, struct slice *values)
{
    const char *cursor = *text;

    if (*cursor != '(') {
        return false;
    }
    cursor++;
    values->start = cursor;
    for (;;) {
        if (parse_word(&cursor).length_bytes == 0) {
            return false;
        }
        if (*cursor != ',') {
            break;
        }
        cursor++;
    }
    values->length_bytes = (size_t)(cursor - values->start);
    if (*cursor != ')') {
        return false;
    }
    *text = skip_spaces(cursor + 1);
    return true;
}

/// Parses the operator and the values after a key, and advances *text past
/// them. Returns false on a syntax error.
static bool
parse_operator(const char **text, struct term *term)
{
    struct slice word;

    if (**text == '\0' || **text == ',') {
        term->kind = TERM_EXISTS;
        return true;
    }
    if (**text == '=' || (**text == '!' && (*text)[1] == '=')) {
        term->kind = **text == '=' ? TERM_EQUAL : TERM_NOT_EQUAL;
        *text += **text == '=' ? 1 : 2;
        term->values = parse_word(text);
        return term->values.length_bytes != 0;
    }
    word = parse_word(text);
    term->kind = TERM_IN;
    if (slice_equals(word, "not")) {
        term->kind = TERM_NOT_IN;
        word = parse_word(text);
    }
    return slice_equals(word, "in") && parse_value_set(text, &term->values);
}

/// Parses a term and the comma after it, and advances *text past them.
/// Returns false on a syntax error.
static bool
parse_term(const char **text, struct term *term)
{
    const char *cursor = skip_spaces(*text);
    bool negated = *cursor == '!';

    *term = (struct term){.kind = TERM_ABSENT};
    cursor += negated;
    term->key = parse_word(&cursor);
    if (term->key.length_bytes == 0 ||
        term->key.length_bytes >= SL_LABEL_KEY_BYTES) {
        return false;
    }
    if (!negated && !parse_operator(&cursor, term)) {
        return false;
    }
    if (*cursor == ',') {
        *text = skip_spaces(cursor + 1);
        return **text != '\0';
    }
    *text = cursor;
    return *cursor == '\0';
}

enum SlStatus
SlSelector_Check(const char *selector, struct SlError *error)
{
    const char *text = skip_spaces(selector);
    struct term term;

    if (strlen(selector) >= SL_SELECTOR_BYTES) {
        return SlError_Set(error, SL_TOO_LONG, SL_STEP_PARSE, NULL,
                           "selector is longer than %d characters",
                           SL_SELECTOR_BYTES - 1);
    }
    while (*text != '\0') {
        const char *start = text;

        if (!parse_term(&text, &term)) {
            return SlError_Set(error, SL_MALFORMED, SL_STEP_PARSE, NULL,
                               "selector term not understood: \"%s\"", start);
        }
    }
    return SL_OK;
}

static bool
set_contains(struct slice values, const char *value)
{
    const char *text = values.start;
    const char *end = values.start + values.length_bytes;

    while (text < end) {
        if (slice_equals(parse_word(&text), value)) {
            return true;
        }
        text++;
    }
    return false;
}

static bool
term_matches(const struct term *term, const char *value)
{
    switch (term->kind) {
    case TERM_EXISTS:
        return value != NULL;
    case TERM_ABSENT:
        return value == NULL;
    case TERM_EQUAL:
        return value != NULL && slice_equals(term->values, value);
    case TERM_NOT_EQUAL:
        return value == NULL || !slice_equals(term->values, value);
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
    const char *text = skip_spaces(selector);

    while (*text != '\0') {
        char key[SL_LABEL_KEY_BYTES];
        struct term term;

        if (!parse_term(&text, &term)) {
            return false;
        }
        memcpy(key, term.key.start, term.key.length_bytes);
        key[term.key.length_bytes] = '\0';
        if (!term_matches(&term, lookup(context, key))) {
            return false;
        }
    }
    return true;
}
