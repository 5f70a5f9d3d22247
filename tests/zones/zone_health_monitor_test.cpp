#include "../../src/zones/zone_health_monitor.h"

#include <gtest/gtest.h>

#include "zone_fixtures.h"

namespace grademux::zones {
namespace {

struct MonitorFixture {
  ZoneHealthMonitor monitor;
  Micros now = 100 * kSecond;
  void recordAttempts(const std::string& zone, std::int64_t destination, AttemptResult result,
                      int count = 5) {
    for (int i = 0; i < count; ++i)
      monitor.recordOutcome(now += 1000, endpoint(zone, destination), outcome(result));
  }
  Observation observe(const std::string& zone) {
    return monitor.compareWithOtherZones(now, zone, {}).observation;
  }
};

TEST(ZoneHealthMonitorTest, ReportsFailingWhenDestinationsFailInOneZoneOnly) {
  for (const AttemptResult result :
       {AttemptResult::error, AttemptResult::timeout, AttemptResult::connect_failed, AttemptResult::reset,
        AttemptResult::rejected}) {
    MonitorFixture fixture;
    for (const int destination : {1, 2}) {
      fixture.recordAttempts("a", destination, AttemptResult::ok);
      fixture.recordAttempts("b", destination, result);
    }
    EXPECT_EQ(Observation::failing, fixture.observe("b"));
    EXPECT_EQ(2, fixture.monitor.compareWithOtherZones(fixture.now, "b", {}).failing_destinations);
    EXPECT_NE(Observation::failing, fixture.observe("a"));
  }
}

TEST(ZoneHealthMonitorTest, ReportsUnknownWhenEveryZoneFails) {
  MonitorFixture fixture;
  for (const char* zone : {"a", "b", "c"})
    for (const int destination : {1, 2})
      fixture.recordAttempts(zone, destination, AttemptResult::timeout);
  for (const char* zone : {"a", "b", "c"})
    EXPECT_EQ(Observation::unknown, fixture.observe(zone));
}

// After a fault in all zones the decision module may retry one zone last. That zone must not be reported as
// failing only because the other zones have recovered.
TEST(ZoneHealthMonitorTest, DoesNotReportTheZoneRetriedLastAfterAFaultInAllZones) {
  MonitorFixture fixture;
  for (const char* zone : {"a", "b", "c"})
    for (const int destination : {1, 2})
      fixture.recordAttempts(zone, destination, AttemptResult::ok);
  for (const char* zone : {"a", "c", "b"})
    for (const int destination : {1, 2})
      fixture.recordAttempts(zone, destination, AttemptResult::error, 2);
  for (const char* zone : {"a", "c"})
    for (const int destination : {1, 2})
      fixture.recordAttempts(zone, destination, AttemptResult::ok, 100);
  EXPECT_NE(Observation::failing, fixture.observe("b"));
}

TEST(ZoneHealthMonitorTest, IgnoresADestinationThatIsDownInEveryZone) {
  MonitorFixture fixture;
  fixture.recordAttempts("a", 1, AttemptResult::error);
  fixture.recordAttempts("b", 1, AttemptResult::error);
  for (const int destination : {2, 3}) {
    fixture.recordAttempts("a", destination, AttemptResult::ok);
    fixture.recordAttempts("b", destination, AttemptResult::ok);
  }
  EXPECT_EQ(Observation::healthy, fixture.observe("a"));
  EXPECT_EQ(Observation::healthy, fixture.observe("b"));
}

// In a comparison with the other zones of a failing region, no zone of the region would reach a majority.
TEST(ZoneHealthMonitorTest, ComparesZonesOfAFailingRegionWithOtherRegionsOnly) {
  ZoneHealthMonitor monitor;
  Regions regions;
  regions.region_by_zone = {{"c", "east"}, {"d", "east"}};
  for (const int destination : {1, 2, 3}) {
    for (int i = 0; i < 4; ++i)
      monitor.recordOutcome(kSecond + i, endpoint("a", destination), outcome(AttemptResult::ok));
    for (const char* zone : {"c", "d"})
      for (int i = 0; i < 4; ++i)
        monitor.recordOutcome(kSecond + 10 + i, endpoint(zone, destination), outcome(AttemptResult::timeout));
  }
  EXPECT_EQ(Observation::unknown, monitor.compareWithOtherZones(2 * kSecond, "c", {}).observation);
  for (const char* zone : {"c", "d"}) {
    EXPECT_EQ(Observation::failing, monitor.compareWithOtherZones(2 * kSecond, zone, regions).observation);
    EXPECT_EQ(3, monitor.compareWithOtherZones(2 * kSecond, zone, regions).failing_destinations);
  }
}

// A zone that failed earlier may first be seen healthy because the failure of another zone moved traffic to
// it.
TEST(ZoneHealthMonitorTest, IgnoresAZoneThatBecameHealthyAfterTheFailure) {
  ZoneHealthMonitor monitor;
  for (const int destination : {1, 2}) {
    monitor.recordOutcome(kSecond, endpoint("b", destination), outcome(AttemptResult::error));
    for (int i = 0; i < 4; ++i)
      monitor.recordOutcome(20 * kSecond + i, endpoint("a", destination), outcome(AttemptResult::ok));
    monitor.recordOutcome(20 * kSecond + 10, endpoint("c", destination),
                          outcome(AttemptResult::connect_failed));
    monitor.recordOutcome(20 * kSecond + 20, endpoint("b", destination), outcome(AttemptResult::ok));
  }
  EXPECT_EQ(Observation::failing, monitor.compareWithOtherZones(21 * kSecond, "c", {}).observation);
}

TEST(ZoneHealthMonitorTest, ReportsUnknownWhenDestinationHasOneZoneOnly) {
  MonitorFixture fixture;
  fixture.recordAttempts("b", 1, AttemptResult::timeout, 50);
  EXPECT_EQ(Observation::unknown, fixture.observe("b"));
}

TEST(ZoneHealthMonitorTest, IgnoresRateLimitsAndStaleConnections) {
  MonitorFixture fixture;
  for (const int destination : {1, 2}) {
    fixture.recordAttempts("a", destination, AttemptResult::ok);
    for (int i = 0; i < 5; ++i) {
      fixture.monitor.recordOutcome(fixture.now, endpoint("b", destination),
                                    outcome(AttemptResult::rejected, kSecond));
      AttemptOutcome stale = outcome(AttemptResult::reset);
      stale.stale_connection = true;
      fixture.monitor.recordOutcome(fixture.now, endpoint("b", destination), stale);
    }
  }
  EXPECT_EQ(Observation::healthy, fixture.observe("b"));
}

// The decision module avoids endpoints that failed, so one failure of each of two destinations has to
// suffice.
TEST(ZoneHealthMonitorTest, CountsTheLastFailureUntilAnAttemptSucceeds) {
  MonitorFixture fixture;
  for (const int destination : {1, 2}) {
    fixture.recordAttempts("a", destination, AttemptResult::ok, 100);
    fixture.recordAttempts("b", destination, AttemptResult::ok, 100);
  }
  fixture.recordAttempts("b", 1, AttemptResult::connect_failed, 1);
  EXPECT_NE(Observation::failing, fixture.observe("b"));
  fixture.recordAttempts("b", 2, AttemptResult::connect_failed, 1);
  EXPECT_EQ(Observation::failing, fixture.observe("b"));
  fixture.recordAttempts("b", 1, AttemptResult::ok, 1);
  EXPECT_NE(Observation::failing, fixture.observe("b"));
}

TEST(ZoneHealthMonitorTest, ExpiresStatisticsWithoutNewAttempts) {
  MonitorFixture fixture;
  for (const int destination : {1, 2}) {
    fixture.recordAttempts("a", destination, AttemptResult::ok);
    fixture.recordAttempts("b", destination, AttemptResult::timeout);
  }
  EXPECT_EQ(Observation::failing, fixture.observe("b"));
  fixture.now += 2 * kLastFailureValidity;
  EXPECT_EQ(Observation::unknown, fixture.observe("b"));
  fixture.monitor.expire(fixture.now + kStatsExpiry);
  EXPECT_EQ(0u, fixture.monitor.size());
}

TEST(ZoneHealthMonitorTest, MeasuresBaselineInDeliveriesPerSecond) {
  ZoneHealthMonitor monitor;
  Micros now = 0;
  for (int i = 0; i < 10 * 120; ++i)
    monitor.recordOutcome(now += kSecond / 10, endpoint("a", 1), outcome(AttemptResult::ok));
  EXPECT_NEAR(10, monitor.baselineRate(now, "a", "a1-0"), 1);
  EXPECT_EQ(0, monitor.baselineRate(now, "a", "a1-1"));
}

}  // namespace
}  // namespace grademux::zones
