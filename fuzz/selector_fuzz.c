/// Fuzzes selectors. Checking any text must be safe, and a selector that
/// passes the check can be matched.

#include <string.h>

#include "fuzz.h"
#include "savoryledge/state/object.h"

static const char *
find_label_value(const void *context, const char *key)
{
    fuzz_require(strlen(key) < SL_LABEL_KEY_BYTES);
    return strcmp(key, "a") == 0 ? context : NULL;
}

int
LLVMFuzzerTestOneInput(const uint8_t *bytes, size_t length_bytes)
{
    char *selector = malloc(length_bytes + 1);
    struct SlError error;

    fuzz_require(selector != NULL);
    memcpy(selector, bytes, length_bytes);
    selector[length_bytes] = '\0';
    if (SlSelector_Check(selector, &error) == SL_OK) {
        SlSelector_Matches(selector, find_label_value, "b");
    }
    free(selector);
    return 0;
}
