#include "savoryledge/state/document.h"

#include <stdlib.h>
#include <string.h>

struct SlDocument *
SlDocument_Create(const struct SlDocumentText *text)
{
    struct SlDocument *document =
        malloc(sizeof(*document) + text->length_bytes);

    if (document == NULL) {
        return NULL;
    }
    atomic_init(&document->reference_count, 1);
    document->version = text->version;
    document->length_bytes = text->length_bytes;
    if (text->length_bytes > 0) {
        memcpy(document->bytes, text->bytes, text->length_bytes);
    }
    return document;
}

struct SlDocument *
SlDocument_Ref(struct SlDocument *document)
{
    if (document != NULL) {
        atomic_fetch_add(&document->reference_count, 1);
    }
    return document;
}

void
SlDocument_Unref(struct SlDocument *document)
{
    if (document != NULL &&
        atomic_fetch_sub(&document->reference_count, 1) == 1) {
        free(document);
    }
}

struct SlDocumentText
SlDocument_Text(const struct SlDocument *document)
{
    return (struct SlDocumentText){.version = document->version,
                                   .length_bytes = document->length_bytes,
                                   .bytes = document->bytes};
}
