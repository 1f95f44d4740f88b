/// Fuzzes changes of the log. A change that decodes must encode and decode
/// again, with equal bytes from both encodings. One that also passes its check
/// can be applied to a configuration, twice.

#include <string.h>

#include "fuzz.h"
#include "savoryledge/protocol/message.h"
#include "savoryledge/state/config.h"

static void
apply_twice(const struct SlChange *change)
{
    struct SlConfig *config = SlConfig_Create();
    struct SlVersion version = {.term = 1, .index = 1};
    struct SlResult result;

    fuzz_require(config != NULL);
    SlConfig_Apply(config, version, change, &result);
    version.index++;
    SlConfig_Apply(config, version, change, &result);
    SlConfig_Destroy(config);
}

int
LLVMFuzzerTestOneInput(const uint8_t *bytes, size_t length_bytes)
{
    struct SlBuffer first = {.bytes = NULL};
    struct SlBuffer second = {.bytes = NULL};
    struct SlChange change;
    struct SlChange copy;
    struct SlError error;

    if (SlChange_Decode(bytes, length_bytes, &change) != SL_OK) {
        return 0;
    }
    fuzz_require(SlChange_Encode(&change, &first) == SL_OK);
    fuzz_require(SlChange_Decode(first.bytes, first.length_bytes, &copy) ==
                 SL_OK);
    fuzz_require(SlChange_Encode(&copy, &second) == SL_OK);
    fuzz_require(first.length_bytes == second.length_bytes &&
                 memcmp(first.bytes, second.bytes, first.length_bytes) == 0);
    if (SlChange_Check(&change, &error) == SL_OK) {
        apply_twice(&change);
    }
    SlChange_Release(&change);
    SlChange_Release(&copy);
    SlBuffer_Release(&first);
    SlBuffer_Release(&second);
    return 0;
}
