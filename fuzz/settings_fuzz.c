/// Fuzzes settings files. Any bytes must load, or be rejected with faults that
/// can be printed.

#include <stdio.h>
#include <string.h>
#include <sys/mman.h>
#include <unistd.h>

#include "fuzz.h"
#include "settings.h"

int
LLVMFuzzerTestOneInput(const uint8_t *bytes, size_t length_bytes)
{
    static struct SlSettings settings;
    static struct SlFaults faults;
    char path[64];
    char line[1024];
    int file = memfd_create("settings", MFD_CLOEXEC);

    fuzz_require(file >= 0);
    fuzz_require(write(file, bytes, length_bytes) == (ssize_t)length_bytes);
    snprintf(path, sizeof(path), "/proc/self/fd/%d", file);
    SlSettings_Load(path, &settings, &faults);
    fuzz_require(faults.count <= SETTINGS_FAULTS_MAX);
    for (uint32_t i = 0; i < faults.count; i++) {
        const struct SlFault *fault = &faults.items[i];

        fuzz_require(fault->key[0] != '\0' && fault->allowed[0] != '\0');
        fuzz_require(SlFault_Format(path, fault, line, sizeof(line)) == line);
    }
    fuzz_require(settings.control.members.count <= SETTINGS_MEMBERS_MAX);
    fuzz_require(settings.agent.labels.count <= SL_LABELS_MAX);
    close(file);
    return 0;
}
