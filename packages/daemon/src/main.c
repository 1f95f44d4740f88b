#include <stdio.h>

int
main(void)
{
    fputs("savoryledged: not built yet\n", stderr);
    return 1;
}
