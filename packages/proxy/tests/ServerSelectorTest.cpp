#include "proxy/routing/ServerSelector.h"
#include "SelectionSimulation.h"
#include "proxy/routing/LeavingShare.h"
#include "proxy/routing/ServerLoadView.h"
#include "support/Section.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cppunit/extensions/HelperMacros.h>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace mustardshift::proxy {

using mustardshift::test::Section;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr Instant kNow{ seconds(1000) };
const std::vector<std::string> kDomains{ "a", "b", "c" };

ServerLoad LoadWithWait(Duration aWait)
{
  ServerLoad load;
  load.expectedWaits = { aWait };
  load.utilisation = 0.5;
  return load;
}

/** Selector of one VM in a deployment of eight groups, with a server of one group in each of
    three failure domains; the first one is the primary. */
struct SelectorFixture
{
  explicit SelectorFixture(const std::string& aOwnDomain)
    : selector(this->view, { FailureDomainName(aOwnDomain), 4, 8 })
  {
    this->request.group = DatabaseName("group");
    this->request.organisation = OrganisationName("large");
    this->request.organisationRate = 400;
    this->request.timeLeft = milliseconds(400);
    for (const std::string& domain : kDomains) {
      this->request.candidates.push_back(
        { ServerId(domain), FailureDomainName(domain), 4, domain == "a", Duration::zero() });
    }
  }

  void Report(const std::string& aServer, const ServerLoad& aLoad)
  {
    this->view.Update(ServerId(aServer), aLoad, this->now);
  }

  std::string First()
  {
    return this->selector.Rank(this->now, this->request).servers.front().Text();
  }

  /** Parts of the draws that each server gets. */
  std::map<std::string, double> Shares(int aDraws = 1000)
  {
    std::map<std::string, double> shares;
    for (int draw = 0; draw < aDraws; ++draw) {
      this->request.draw = (draw * 377 % aDraws) / static_cast<double>(aDraws);
      shares[this->First()] += 1.0 / aDraws;
    }
    return shares;
  }

  Instant now = kNow;
  ServerLoadView view;
  ServerSelector selector;
  SelectionRequest request;
};

void RunChecked(SelectionSimulation& aSimulation)
{
  aSimulation.Run();
  CPPUNIT_ASSERT(aSimulation.violations.empty());
}

} // namespace

/** Guards against statements that cross failure domains for nothing, against a busiest server
    far above the mean, and against VMs that all move at once on the same reports. */
class ServerSelectorTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(ServerSelectorTest);
  CPPUNIT_TEST(EvenLoadStaysHomeAndIsSpread);
  CPPUNIT_TEST(HotDomainUsesTheOthersWithoutOverrunningThem);
  CPPUNIT_TEST(DomainWithoutServersUsesAll);
  CPPUNIT_TEST(FailingServerIsAvoided);
  CPPUNIT_TEST(CutOffDomainServesItself);
  CPPUNIT_TEST(ServerOutOfServiceIsReplacedEvenly);
  CPPUNIT_TEST(SlowServerGetsLess);
  CPPUNIT_TEST(LittleDemandUsesOneReplica);
  CPPUNIT_TEST(AtMostHalfOfTheReplicasAreAvoided);
  CPPUNIT_TEST(StatementGoesWhereItStartsInTime);
  CPPUNIT_TEST(ShareChangesGradually);
  CPPUNIT_TEST(OldReportsDecay);
  CPPUNIT_TEST_SUITE_END();

public:
  /** Load: all failure domains have the same demand; 15 % are writes, which only the primary
      runs. */
  void EvenLoadStaysHomeAndIsSpread()
  {
    for (const double load : { 0.15, 0.5, 0.8 }) {
      SelectionSimulation::Settings settings;
      settings.demand = { load, load, load };
      settings.writePart = 0.25;
      SelectionSimulation simulation(settings);
      RunChecked(simulation);
      const auto sum = simulation.Sum(10, 30);
      const std::string seen = "load " + std::to_string(load) + ": busiest " +
                               std::to_string(sum.BusiestToMean()) + ", crossed " +
                               std::to_string(sum.crossed / sum.count);
      CPPUNIT_ASSERT_MESSAGE(seen, sum.BusiestToMean() <= 1.25);
      // Spread over all servers, half of the statements are reads that cross.
      CPPUNIT_ASSERT_MESSAGE(seen, sum.crossed <= 0.3 * sum.count);
      CPPUNIT_ASSERT_MESSAGE(seen, sum.refused == 0);
    }
  }

  /** Load: one failure domain has 3.5 or 5 times the demand of the others. */
  void HotDomainUsesTheOthersWithoutOverrunningThem()
  {
    for (unsigned seed = 1; seed <= 3; ++seed) {
      SelectionSimulation::Settings settings;
      settings.seed = seed;
      settings.demand = { 0.4, 1.4, 0.4 };
      SelectionSimulation simulation(settings);
      RunChecked(simulation);
      Section("shares settle, and waits stay shorter than with reads spread over all", [&] {
        const auto sum = simulation.Sum(10, 30);
        CPPUNIT_ASSERT(sum.refused == 0);
        CPPUNIT_ASSERT(sum.BusiestToMean() <= 1.25);
        settings.policy = SharesByLoad();
        SelectionSimulation spread(settings);
        RunChecked(spread);
        CPPUNIT_ASSERT(simulation.StartPercentile(0.99, 10, 30) <=
                       0.75 * spread.StartPercentile(0.99, 10, 30));
      });
      Section("in no second does another server get more than it can run", [&] {
        for (std::size_t second = 0; second < 30; ++second) {
          for (const std::size_t server : { 0, 2 }) {
            CPPUNIT_ASSERT(simulation.seconds[second].sent[server] <=
                           1.1 * SelectionSimulation::kCapacity);
          }
        }
      });
      Section("near the capacity of all servers few are refused", [&] {
        settings.policy = {};
        settings.demand = { 0.4, 2.0, 0.4 };
        SelectionSimulation full(settings);
        RunChecked(full);
        const auto sum = full.Sum(10, 30);
        CPPUNIT_ASSERT_MESSAGE(std::to_string(sum.refused / sum.count),
                               sum.refused <= 0.03 * sum.count);
      });
    }
  }

  /** Load: a fourth failure domain with clients and VMs but no server. */
  void DomainWithoutServersUsesAll()
  {
    SelectionSimulation::Settings settings;
    settings.domainCount = 4;
    settings.vmCount = 92;
    settings.demand = { 0.5, 0.5, 0.5, 0.5 };
    SelectionSimulation simulation(settings);
    RunChecked(simulation);
    const auto sum = simulation.Sum(10, 30);
    CPPUNIT_ASSERT(sum.BusiestToMean() <= 1.15);
    CPPUNIT_ASSERT(sum.refused == 0);
    Section("a server with a wait gets less, one with more slots more", [] {
      SelectorFixture fixture("d");
      fixture.request.candidates[1].slots = 8;
      auto shares = fixture.Shares();
      CPPUNIT_ASSERT(std::abs(shares["b"] - 0.5) < 0.01);
      fixture.Report("b", LoadWithWait(milliseconds(45)));
      shares = fixture.Shares();
      CPPUNIT_ASSERT(shares["b"] > 0.05 && shares["b"] < 0.2);
    });
  }

  /** Load: the gateway of one replica reports it as failing after ten seconds. */
  void FailingServerIsAvoided()
  {
    SelectionSimulation::Settings settings;
    settings.onTick = [](Instant aNow, SelectionSimulation& aSimulation) {
      aSimulation.isEjected[1] = aNow >= SelectionSimulation::kBegin + seconds(10);
    };
    SelectionSimulation simulation(settings);
    RunChecked(simulation);
    const auto sum = simulation.Sum(12, 30);
    CPPUNIT_ASSERT(sum.sent[1] == 0);
    CPPUNIT_ASSERT(std::max(sum.sent[0], sum.sent[2]) <= 1.15 * std::min(sum.sent[0], sum.sent[2]));
    CPPUNIT_ASSERT(sum.refused == 0);
  }

  /** Load: the failure domain of the primary loses its connections to all others. */
  void CutOffDomainServesItself()
  {
    SelectionSimulation::Settings settings;
    settings.onTick = [](Instant aNow, SelectionSimulation& aSimulation) {
      aSimulation.isCutOff[0] = aNow >= SelectionSimulation::kBegin + seconds(10);
    };
    SelectionSimulation simulation(settings);
    RunChecked(simulation);
    const auto sum = simulation.Sum(12, 30);
    // Two thirds of the writes can't reach the primary; all reads are served.
    CPPUNIT_ASSERT(sum.refused <= 0.12 * sum.count);
    for (const double sent : sum.sent) {
      CPPUNIT_ASSERT(sent >= 0.25 * sum.count && sent <= 0.36 * sum.count);
    }
  }

  /** Load: operators take a failure domain's servers out of service. */
  void ServerOutOfServiceIsReplacedEvenly()
  {
    SelectionSimulation::Settings settings;
    settings.onTick = [](Instant aNow, SelectionSimulation& aSimulation) {
      aSimulation.isOut[2] = aNow >= SelectionSimulation::kBegin + seconds(10);
    };
    SelectionSimulation simulation(settings);
    RunChecked(simulation);
    const auto sum = simulation.Sum(12, 30);
    CPPUNIT_ASSERT(sum.sent[2] == 0);
    CPPUNIT_ASSERT(std::max(sum.sent[0], sum.sent[1]) <= 1.15 * std::min(sum.sent[0], sum.sent[1]));
    CPPUNIT_ASSERT(sum.refused == 0);
  }

  /** Load: one server becomes five times slower, so that it can run a fifth of its share. */
  void SlowServerGetsLess()
  {
    SelectionSimulation::Settings settings;
    settings.onTick = [](Instant aNow, SelectionSimulation& aSimulation) {
      aSimulation.servers[1]->slowness = aNow >= SelectionSimulation::kBegin + seconds(10) ? 5 : 1;
    };
    SelectionSimulation simulation(settings);
    RunChecked(simulation);
    const auto sum = simulation.Sum(15, 30);
    CPPUNIT_ASSERT(sum.sent[1] <= 0.17 * sum.count);
    CPPUNIT_ASSERT_MESSAGE(std::to_string(sum.refused / sum.count),
                           sum.refused <= 0.01 * sum.count);
  }

  /** Load: organisations with so few statements that a connection in each domain would be idle. */
  void LittleDemandUsesOneReplica()
  {
    std::map<std::string, int> organisationsOf;
    for (int number = 0; number < 60; ++number) {
      std::set<std::string> servers;
      for (const std::string& domain : { "a", "b", "c", "d" }) {
        SelectorFixture fixture(domain);
        fixture.request.organisation = OrganisationName("small-" + std::to_string(number));
        fixture.request.organisationRate = 31;
        servers.insert(fixture.First());
        fixture.request.draw = 0.99;
        servers.insert(fixture.First());
      }
      CPPUNIT_ASSERT_EQUAL(std::size_t(1), servers.size());
      ++organisationsOf[*servers.begin()];
    }
    Section("the organisations are spread over the replicas", [&] {
      CPPUNIT_ASSERT_EQUAL(0, organisationsOf["a"]);
      CPPUNIT_ASSERT(organisationsOf["b"] >= 20 && organisationsOf["c"] >= 20);
    });
    Section("a replica that can't be used is replaced by the other one", [] {
      SelectorFixture fixture("a");
      fixture.request.organisationRate = 31;
      const std::string usual = fixture.First();
      std::erase_if(fixture.request.candidates,
                    [&](const auto& aCandidate) { return aCandidate.server.Text() == usual; });
      CPPUNIT_ASSERT(fixture.First() != usual && fixture.First() != "a");
    });
    Section("an overloaded one is left by part of the statements", [] {
      SelectorFixture fixture("a");
      fixture.request.organisationRate = 31;
      const std::string usual = fixture.First();
      for (int step = 0; step < 30; ++step) {
        fixture.Report(usual, LoadWithWait(milliseconds(100)));
        fixture.now += milliseconds(200);
        fixture.First();
      }
      const double share = fixture.Shares()[usual];
      CPPUNIT_ASSERT(share > 0.1 && share < 0.4);
    });
    Section("with more demand, the own domain is used", [] {
      SelectorFixture fixture("a");
      fixture.request.organisationRate = 33;
      CPPUNIT_ASSERT_EQUAL(std::string("a"), fixture.First());
    });
  }

  /** Load: faults that make several servers of a group fail at once. */
  void AtMostHalfOfTheReplicasAreAvoided()
  {
    SelectorFixture fixture("b");
    ServerLoad bad;
    bad.ejectedFor = seconds(1);
    fixture.Report("b", bad);
    CPPUNIT_ASSERT(!fixture.Shares().contains("b"));
    Section("a few statements test one that is probed", [&] {
      bad.isProbed = true;
      fixture.Report("b", bad);
      const double share = fixture.Shares()["b"];
      CPPUNIT_ASSERT(share > 0.01 && share < 0.03);
      bad.isProbed = false;
      fixture.Report("b", bad);
    });
    Section("of two ejected replicas, the one with the longer ejection is avoided", [&] {
      ServerLoad worse;
      worse.ejectedFor = seconds(2);
      fixture.Report("c", worse);
      const auto shares = fixture.Shares();
      CPPUNIT_ASSERT(shares.contains("b") && !shares.contains("c"));
    });
    Section("a group whose servers all look bad is used as it is", [&] {
      fixture.Report("a", bad);
      CPPUNIT_ASSERT_EQUAL(std::string("b"), fixture.First());
    });
    Section("the only candidate is used", [&] {
      fixture.request.candidates.resize(1);
      CPPUNIT_ASSERT_EQUAL(std::string("a"), fixture.First());
    });
  }

  /** Load: a queue at home that is longer than the time limit of a statement. */
  void StatementGoesWhereItStartsInTime()
  {
    SelectorFixture fixture("a");
    fixture.Report("a", LoadWithWait(milliseconds(500)));
    fixture.Report("b", LoadWithWait(milliseconds(300)));
    fixture.request.draw = 0.9;
    CPPUNIT_ASSERT_EQUAL(std::string("c"), fixture.First());
    Section("but not to a server that is nearly as full", [&] {
      fixture.Report("c", LoadWithWait(milliseconds(300)));
      CPPUNIT_ASSERT_EQUAL(std::string("a"), fixture.First());
    });
  }

  /** Load: a burst at home, seen by a hundred VMs at once. */
  void ShareChangesGradually()
  {
    SelectorFixture fixture("a");
    fixture.First();
    double previous = 0;
    for (int step = 0; step < 40; ++step) {
      fixture.now += milliseconds(100);
      fixture.Report("a", LoadWithWait(milliseconds(step < 20 ? 100 : 0)));
      fixture.First();
      const double share = fixture.selector.LeavingShareOf(fixture.request.group);
      CPPUNIT_ASSERT(step < 20 ? share >= previous : share <= previous);
      CPPUNIT_ASSERT(std::abs(share - previous) <= 0.026);
      previous = share;
    }
    CPPUNIT_ASSERT(previous > 0.1);
  }

  /** Load: reports that are lost, or that arrive out of order. */
  void OldReportsDecay()
  {
    ServerLoadView view;
    const ServerId server("a");
    view.Update(server, LoadWithWait(milliseconds(100)), kNow);
    view.Update(server, LoadWithWait(milliseconds(10)), kNow - milliseconds(1));
    CPPUNIT_ASSERT(view.LoadOf(kNow + milliseconds(800), server).ExpectedWait(0) ==
                   milliseconds(100));
    CPPUNIT_ASSERT(view.LoadOf(kNow + milliseconds(1500), server).ExpectedWait(0) ==
                   milliseconds(50));
    CPPUNIT_ASSERT(view.LoadOf(kNow + seconds(8), server).ExpectedWait(0) < milliseconds(1));
    CPPUNIT_ASSERT(view.UtilisationOf(kNow + seconds(8), server) == 0.5);
    CPPUNIT_ASSERT(!view.UtilisationOf(kNow + seconds(11), server));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ServerSelectorTest);

} // namespace mustardshift::proxy
