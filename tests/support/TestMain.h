#ifndef PARSLEYRING_TESTS_SUPPORT_TESTMAIN_H
#define PARSLEYRING_TESTS_SUPPORT_TESTMAIN_H

/// Runs the CppUTest tests of the program. Each test file ends with
/// PARSLEYRING_TEST_MAIN.
int runTests(int ArgumentCount, char **Arguments);

#define PARSLEYRING_TEST_MAIN                                                  \
  int main(int ArgumentCount, char **Arguments) {                              \
    return runTests(ArgumentCount, Arguments);                                 \
  }

#endif // PARSLEYRING_TESTS_SUPPORT_TESTMAIN_H
