#ifndef DAMASKHOLLOW_TESTS_SUPPORT_TESTMAIN_H_
#define DAMASKHOLLOW_TESTS_SUPPORT_TESTMAIN_H_

namespace damaskhollow::test {

// Runs all registered CppUnit tests, or those whose name contains the first argument, and prints
// each failure and the line "N passed, N failed, N skipped". Tests that are named in the file of
// the variable DAMASKHOLLOW_KNOWN_RED are not run but printed as skipped. Returns the exit status.
int RunTests(int argc, char** argv);

}  // namespace damaskhollow::test

#endif  // DAMASKHOLLOW_TESTS_SUPPORT_TESTMAIN_H_
