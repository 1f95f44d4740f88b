#include "savoryledge/state/storage.h"

void
SlStorage_Destroy(struct SlStorage *storage)
{
    if (storage != NULL) {
        storage->type->destroy(storage);
    }
}
