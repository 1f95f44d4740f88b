#include <stdio.h>

int
main(void)
{
    fputs("savoryledgectl: not built yet\n", stderr);
    return 1;
}
