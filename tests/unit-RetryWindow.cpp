#include "dotterel/serving/RetryWindow.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace dotterel;

namespace {

const auto Service = ServiceId{"s"};

} // namespace

TEST_CASE("retry window: extra attempts in any window do not exceed the host's "
          "share, for any sequence of arrivals") {
  CHECK(rc::check([](const std::vector<std::uint8_t> &Steps) {
    auto Options = RetryWindowOptions();
    auto Window = RetryWindow(Options);
    auto Now = MonotonicTime(Seconds(50));
    auto Requests = std::vector<MonotonicTime>();
    auto Extra = std::vector<MonotonicTime>();
    for (auto Step : Steps) {
      Now += Milliseconds(Step % 16 * 20);
      if (Step % 3 == 0) {
        Window.recordRequest(Service, Now);
        Requests.push_back(Now);
      } else if (Window.tryAcquire(Service, Now)) {
        Extra.push_back(Now);
      }
      auto Inside = [&](const std::vector<MonotonicTime> &Times) {
        return static_cast<double>(
            std::count_if(Times.begin(), Times.end(), [&](MonotonicTime At) {
              return At > Now - Options.m_Window;
            }));
      };
      // Checks the window that ends at the latest extra attempt.
      if (!Extra.empty() && Extra.back() == Now)
        RC_ASSERT(Inside(Extra) <=
                  Options.m_Ratio * Inside(Requests) + Options.m_Allowance);
    }
  }));
}

TEST_CASE("retry window: a refunded attempt can be acquired again") {
  auto Window = RetryWindow(RetryWindowOptions());
  auto Now = MonotonicTime(Seconds(50));
  CHECK(Window.tryAcquire(Service, Now));
  CHECK_FALSE(Window.tryAcquire(Service, Now));
  Window.refund(Service);
  CHECK(Window.tryAcquire(Service, Now));
}
