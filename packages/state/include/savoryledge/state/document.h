#ifndef SAVORYLEDGE_STATE_DOCUMENT_H
#define SAVORYLEDGE_STATE_DOCUMENT_H

/// A configuration document: bytes in a site-specific format, with a version
/// chosen by its author. A document is immutable and shared by reference
/// count. Processes decode it into a plan (plan.h).

#include <stdatomic.h>

#include "savoryledge/state/object.h"

struct SlDocument {
    atomic_uint references;
    uint64_t version;
    uint32_t length_bytes;
    uint8_t bytes[];
};

/// Creates a document with a copy of the bytes of text. Returns NULL when
/// memory runs out. The caller owns one reference.
struct SlDocument *
SlDocument_Create(const struct SlDocumentText *text);
/// Takes a reference and returns document, which may be NULL.
struct SlDocument *
SlDocument_Ref(struct SlDocument *document);
/// Drops a reference and frees the document with the last one; document may
/// be NULL.
void
SlDocument_Unref(struct SlDocument *document);

/// Returns version and bytes of the document in the form used by messages.
/// The bytes are borrowed from document.
struct SlDocumentText
SlDocument_Text(const struct SlDocument *document);

#endif
