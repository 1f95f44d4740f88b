#include "serve.h"

#include <stdio.h>
#include <stdlib.h>
#include <unistd.h>

#include "log.h"
#include "shell.h"

enum {
    FAULT_LINE_BYTES = 768,
};

bool
SlDaemon_LoadSettings(const char *path, struct SlSettings *settings)
{
    struct SlFaults faults;
    char line[FAULT_LINE_BYTES];

    SlSettings_Load(path, settings, &faults);
    for (uint32_t i = 0; i < faults.count; i++) {
        fprintf(stderr, "%s\n",
                SlFault_Format(path, &faults.items[i], line, sizeof(line)));
    }
    return faults.count == 0;
}

int
SlDaemon_Serve(const char *path, const struct SlSettings *settings,
               struct SlFiles *files)
{
    struct SlShellOptions options = {
        .settings = settings, .settings_path = path, .files = files};
    struct SlShell *shell = NULL;
    struct SlError error;
    int code = EXIT_FAILURE;

    if (SlShell_BlockSignals() == SL_OK) {
        options.log = SlLog_Create(
            settings->node.log_to_stdout ? STDOUT_FILENO : STDERR_FILENO,
            settings->node.log_level);
    }
    if (options.log == NULL) {
        fprintf(stderr, "savoryledged: cannot start the log\n");
        return EXIT_FAILURE;
    }
    SlLog_SetRateLimit(options.log, settings->node.log_lines_per_s);
    if (SlShell_Create(&options, &shell, &error) == SL_OK) {
        code = SlShell_Run(shell);
    }
    else {
        fprintf(stderr, "savoryledged: %s: %s: %s\n", SlStep_Name(error.step),
                SlStatus_Name(error.status), error.message);
    }
    SlShell_Destroy(shell);
    SlLog_Destroy(options.log);
    return code;
}
