#ifndef DAMASKHOLLOW_TESTS_SUPPORT_TESTMAIN_H_
#define DAMASKHOLLOW_TESTS_SUPPORT_TESTMAIN_H_

namespace damaskhollow::test {

// Runs all registered CppUnit tests, or those whose name contains the first argument, and prints
// each failure and the line "N passed, N failed, N skipped". Tests listed in the file that the
// environment variable DAMASKHOLLOW_KNOWN_RED names are printed and counted as skipped, not run.
// Returns the exit status: 0 if no test failed, otherwise 1.
int RunTests(int argc, char** argv);

}  // namespace damaskhollow::test

#endif  // DAMASKHOLLOW_TESTS_SUPPORT_TESTMAIN_H_
