#include "dotterel/serving/RetryWindow.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace dotterel;

namespace {

const auto Service = ServiceId{"s"};

} // namespace

TEST_CASE("retry window: no window of a host holds more extra attempts than "
          "its share, under any arrivals") {
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
      } else if (Window.take(Service, Now)) {
        Extra.push_back(Now);
      }
      auto Inside = [&](const std::vector<MonotonicTime> &Times) {
        return static_cast<double>(
            std::count_if(Times.begin(), Times.end(), [&](MonotonicTime At) {
              return At > Now - Options.m_Window;
            }));
      };
      // A window that ends now, or that ended at the newest extra attempt.
      if (!Extra.empty() && Extra.back() == Now)
        RC_ASSERT(Inside(Extra) <=
                  Options.m_Ratio * Inside(Requests) + Options.m_Allowance);
    }
  }));
}

TEST_CASE("retry window: what did not count is given back") {
  auto Window = RetryWindow(RetryWindowOptions());
  auto Now = MonotonicTime(Seconds(50));
  CHECK(Window.take(Service, Now));
  CHECK_FALSE(Window.take(Service, Now));
  Window.refund(Service);
  CHECK(Window.take(Service, Now));
}
