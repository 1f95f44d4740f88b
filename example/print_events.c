/// Prints the reference page of events, docs/EVENTS.md.

#include "events_page.h"

int
main(void)
{
    events_write_page(stdout);
    return 0;
}
