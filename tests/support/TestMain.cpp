#include "support/TestMain.h"

#include <CppUTest/CommandLineTestRunner.h>
#include <CppUTest/TestRegistry.h>

int runTests(int ArgumentCount, char **Arguments) {
  // The leak detector counts allocations of library singletons (loggers,
  // thread-local state) as leaks of the test that first touches them.
  MemoryLeakWarningPlugin::turnOffNewDeleteOverloads();
  return CommandLineTestRunner::RunAllTests(ArgumentCount, Arguments);
}
