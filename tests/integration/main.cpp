#include <QCoreApplication>

#include "support/testmain.h"

int main(int argc, char** argv) {
  const QCoreApplication application(argc, argv);
  return damaskhollow::test::RunTests(argc, argv);
}
