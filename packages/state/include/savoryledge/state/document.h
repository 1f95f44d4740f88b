#ifndef SAVORYLEDGE_STATE_DOCUMENT_H
#define SAVORYLEDGE_STATE_DOCUMENT_H

/// A configuration document: bytes in a site-specific format, with a version
/// chosen by its author. A document is immutable and shared by reference
/// count. Processes decode it into a plan (plan.h).

#include <stdatomic.h>

#include "savoryledge/state/object.h"

struct SlDocument {
    /// Number of references to the document.
    atomic_uint reference_count;
    /// Version chosen by the author of the document.
    uint64_t version;
    uint32_t length_bytes;
    uint8_t bytes[];
};

/// Creates a document with a copy of the bytes of text. Returns NULL when
/// memory runs out. The caller owns one reference.
struct SlDocument *
SlDocument_Create(const struct SlDocumentText *text);
/// Takes a reference to the document and returns the document. document may
/// be NULL.
struct SlDocument *
SlDocument_Ref(struct SlDocument *document);
/// Drops a reference to the document and frees the document with its last
/// reference. document may be NULL.
void
SlDocument_Unref(struct SlDocument *document);

/// Returns the version and the bytes of the document in the form that messages
/// use.
/// The bytes are borrowed from document.
struct SlDocumentText
SlDocument_Text(const struct SlDocument *document);

#endif
