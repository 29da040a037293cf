#include "fleet/RouteTable.h"

#include "support/TestMain.h"

#include <CppUTest/TestHarness.h>

using namespace parsleyring;

static RouteRule splitRoute(const std::vector<ServiceShare> &Shares) {
  RouteRule Route;
  Route.m_Services = Shares;
  return Route;
}

// The largest fraction that the callers of pickService() draw.
static constexpr double LargestFraction = 1 - 0x1p-53;

TEST_GROUP(RouteTable){};

// Guards against a split that gives no service a part and sends all requests to
// the last one.
TEST(RouteTable, SplitWithoutPartsPicksNoService) {
  for (double Weight : {0.0, -1.0}) {
    RouteRule Route = splitRoute({{"a", Weight}, {"b", Weight}});
    for (double Fraction : {0.0, 0.5, LargestFraction})
      STRCMP_EQUAL("", Route.pickService(Fraction).c_str());
  }
}

// Guards against a service that gets requests although its part is zero.
TEST(RouteTable, ServiceWithoutAPartIsNotPicked) {
  for (double Weight : {0.0, -1.0}) {
    RouteRule Route =
        splitRoute({{"a", Weight}, {"b", 0.1}, {"c", 0.2}, {"d", Weight}});
    STRCMP_EQUAL("b", Route.pickService(0).c_str());
    STRCMP_EQUAL("b", Route.pickService(0.3).c_str());
    STRCMP_EQUAL("c", Route.pickService(0.4).c_str());
    STRCMP_EQUAL("c", Route.pickService(LargestFraction).c_str());
  }
}

// Guards against a split that does not follow its weights.
TEST(RouteTable, SplitFollowsItsWeights) {
  RouteRule Route = splitRoute({{"a", 90}, {"b", 10}});
  STRCMP_EQUAL("a", Route.pickService(0).c_str());
  STRCMP_EQUAL("a", Route.pickService(0.89).c_str());
  STRCMP_EQUAL("b", Route.pickService(0.91).c_str());
  STRCMP_EQUAL("b", Route.pickService(LargestFraction).c_str());
}

PARSLEYRING_TEST_MAIN
