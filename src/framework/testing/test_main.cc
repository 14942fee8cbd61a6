// Entry point of every test program. Runs the CppUnit registries that are named
// on the command line, and fails if one of them has no tests.
#include <cppunit/BriefTestProgressListener.h>
#include <cppunit/CompilerOutputter.h>
#include <cppunit/TestResult.h>
#include <cppunit/TestResultCollector.h>
#include <cppunit/TestRunner.h>
#include <cppunit/TestSuite.h>
#include <cppunit/extensions/TestFactoryRegistry.h>

#include <iostream>

namespace {

bool RunSuite(const char* name) {
  CppUnit::Test* suite =
      CppUnit::TestFactoryRegistry::getRegistry(name).makeTest();
  if (suite->countTestCases() == 0) {
    std::cerr << "no test is registered as " << name << "\n";
    delete suite;
    return false;
  }
  CppUnit::TestResult controller;
  CppUnit::TestResultCollector result;
  CppUnit::BriefTestProgressListener progress;
  controller.addListener(&result);
  controller.addListener(&progress);
  CppUnit::TestRunner runner;
  runner.addTest(suite);
  runner.run(controller);
  CppUnit::CompilerOutputter outputter(&result, std::cerr);
  outputter.write();
  return result.wasSuccessful();
}

}  // namespace

int main(int argc, char** argv) {
  if (argc < 2) {
    std::cerr << "usage: " << argv[0] << " SUITE...\n";
    return 2;
  }
  bool passed = true;
  for (int i = 1; i < argc; ++i) passed = RunSuite(argv[i]) && passed;
  return passed ? 0 : 1;
}
