#ifndef SAVORYLEDGE_TEST_TEST_H
#define SAVORYLEDGE_TEST_TEST_H

/// Runs the test cases of a test program as one CUnit suite. Its exit status
/// is 0 when all passed, 1 when a case failed, 2 when CUnit could not start.

#include <CUnit/Basic.h>
#include <stdio.h>
#include <stdlib.h>

struct test_case {
    const char *name;
    void (*run)(void);
};

static inline int
run_suite(const char *name, const struct test_case *cases, size_t count)
{
    CU_pSuite suite;
    unsigned failed;

    setvbuf(stdout, NULL, _IOLBF, 0);
    if (CU_initialize_registry() != CUE_SUCCESS) {
        return 2;
    }
    suite = CU_add_suite(name, NULL, NULL);
    for (size_t i = 0; suite != NULL && i < count; i++) {
        CU_add_test(suite, cases[i].name, cases[i].run);
    }
    CU_basic_set_mode(CU_BRM_NORMAL);
    CU_basic_run_tests();
    failed = CU_get_number_of_tests_failed();
    printf("tests: %u passed, %u failed\n",
           CU_get_number_of_tests_run() - failed, failed);
    CU_cleanup_registry();
    return failed != 0;
}

#define RUN_SUITE(name, cases)                                                \
    run_suite(name, cases, sizeof(cases) / sizeof((cases)[0]))

#endif
