#ifndef SAVORYLEDGE_STATE_DOCUMENT_H
#define SAVORYLEDGE_STATE_DOCUMENT_H

/// A whole configuration as its author wrote it: bytes in a format of the
/// site's, under a version that the author gave it. Immutable and shared by
/// reference count. A plan (plan.h) is what a process reads out of it.

#include <stdatomic.h>

#include "savoryledge/state/object.h"

struct SlDocument {
    atomic_uint references;
    uint64_t version;
    uint32_t length_bytes;
    uint8_t bytes[];
};

/// Copies text. NULL without memory. The caller owns one reference.
struct SlDocument *
SlDocument_Create(const struct SlDocumentText *text);
/// NULL is allowed. Returns document.
struct SlDocument *
SlDocument_Ref(struct SlDocument *document);
/// NULL is allowed.
void
SlDocument_Unref(struct SlDocument *document);

/// The document as a message carries it; borrowed from document.
struct SlDocumentText
SlDocument_Text(const struct SlDocument *document);

#endif
