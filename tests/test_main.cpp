// Entry point of the Catch2 tests. A test case with a failed check keeps the
// logs of its fleet.
#define CATCH_CONFIG_MAIN
#include <catch2/catch.hpp>
#include <cstdlib>

namespace {

/// @brief Sets CHALKWELL_KEEP, which temporary folders heed, from the first
/// failed check of a test case to its end.
class KeepFoldersOfFailures : public Catch::TestEventListenerBase {
 public:
  using TestEventListenerBase::TestEventListenerBase;

  bool assertionEnded(const Catch::AssertionStats& stats) override {
    if (!stats.assertionResult.isOk() && !kept_by_caller_) {
      ::setenv(kKeep, "1", 1);
    }
    return false;
  }

  void testCaseEnded(const Catch::TestCaseStats& stats) override {
    if (!kept_by_caller_) {
      ::unsetenv(kKeep);
    }
    TestEventListenerBase::testCaseEnded(stats);
  }

 private:
  static constexpr const char* kKeep = "CHALKWELL_KEEP";

  bool kept_by_caller_ = std::getenv(kKeep) != nullptr;
};

}  // namespace

CATCH_REGISTER_LISTENER(KeepFoldersOfFailures)
