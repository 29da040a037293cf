#include "routing/LayerPathPlanner.h"

#include "support/EngineFleet.h"
#include "support/TestMain.h"

#include <algorithm>
#include <random>
#include <set>

#include <CppUTest/TestHarness.h>

using namespace parsleyring;
using namespace std::chrono_literals;

static PathQuery typicalQuery(const std::string &Domain) {
  PathQuery Query;
  Query.m_PromptTokens = 774;
  Query.m_AnswerTokens = 200;
  Query.m_Layers = {0, 80};
  Query.m_FailureDomain = Domain;
  return Query;
}

/// True if each layer runs once, in order, on an endpoint that holds it, and no
/// endpoint is used twice.
static bool isValidPath(const LayerPath &Path, LayerRange Layers) {
  std::uint32_t Next = Layers.m_First;
  std::set<std::string> Used;
  for (const PathStage &Part : Path) {
    const LayerRange &Held = Part.m_Endpoint->m_Entry.m_Layers;
    if (Part.m_Layers.m_First != Next || Part.m_Layers.m_End <= Next ||
        Part.m_Layers.m_First < Held.m_First ||
        Part.m_Layers.m_End > Held.m_End ||
        !Used.insert(Part.m_Endpoint->m_Entry.m_Id).second)
      return false;
    Next = Part.m_Layers.m_End;
  }
  return Next == Layers.m_End;
}

static int domainCrossings(const LayerPath &Path, std::string Domain) {
  int Count = 0;
  for (const PathStage &Part : Path) {
    Count += Part.m_Endpoint->m_Entry.m_FailureDomain != Domain;
    Domain = Part.m_Endpoint->m_Entry.m_FailureDomain;
  }
  return Count;
}

TEST_GROUP(LayerPathPlanner) {
  EngineModel m_Model = largeModel();
  std::vector<FleetTable::Handle> m_Engines = placedEngines();
  Time m_Now{1000s};

  LayerPath plan(const PathQuery &Query) const {
    return LayerPathPlanner::plan(m_Model, m_Engines, Query, m_Now);
  }
};

// Guards against paths over the connections between failure domains while the
// request's own domain has a whole path.
TEST(LayerPathPlanner, StaysInItsFailureDomain) {
  for (const char *Domain : {"a", "b", "c"}) {
    LayerPath Path = plan(typicalQuery(Domain));
    CHECK(isValidPath(Path, {0, 80}));
    LONGS_EQUAL(0, domainCrossings(Path, Domain));
  }
}

// Guards against refusing all requests of a failure domain that has lost one
// range of layers.
TEST(LayerPathPlanner, CrossesDomainsForMissingLayers) {
  for (const auto &Engine : m_Engines)
    if (Engine->m_Entry.m_FailureDomain == "a" &&
        Engine->m_Entry.m_Layers.m_First == 0)
      Engine->m_SuspectUntil = m_Now + 1s;
  LayerPath Path = plan(typicalQuery("a"));
  CHECK(isValidPath(Path, {0, 80}));
  CHECK(domainCrossings(Path, "a") >= 1);
}

// Pattern: an engine is lost and its layers have no other holder in the failure
// domain. Guards against a connection between domains that is filled with the
// state of prompts while another domain has whole paths.
TEST(LayerPathPlanner, PrefersAWholePathInAnotherDomain) {
  for (const auto &Engine : m_Engines)
    if (Engine->m_Entry.m_FailureDomain == "a" &&
        Engine->m_Entry.m_Layers.m_First <= 40 &&
        Engine->m_Entry.m_Layers.m_End > 40)
      Engine->m_SuspectUntil = m_Now + 1s;
  LayerPath Path = plan(typicalQuery("a"));
  CHECK(isValidPath(Path, {0, 80}));
  LONGS_EQUAL(
      0, domainCrossings(Path, Path[0].m_Endpoint->m_Entry.m_FailureDomain));
}

// Guards against paths over endpoints that are draining, suspect or
// removed from the list.
TEST(LayerPathPlanner, LeavesOutEndpointsThatCannotServe) {
  LayerPath Path = plan(typicalQuery("b"));
  Path[0].m_Endpoint->m_Entry.m_State = EndpointState::Draining;
  Path[1].m_Endpoint->m_IsRemoved = true;
  Path[2].m_Endpoint->m_SuspectUntil = m_Now + 1s;
  LayerPath Other = plan(typicalQuery("b"));
  CHECK(isValidPath(Other, {0, 80}));
  for (const PathStage &Part : Other)
    for (int Index = 0; Index < 3; ++Index)
      CHECK(Part.m_Endpoint != Path[Index].m_Endpoint);
}

// Pattern: many requests in one failure domain. Guards against sending most of
// them to a fast engine until its memory is full.
TEST(LayerPathPlanner, SpreadsMemoryUse) {
  for (int Request = 0; Request < 60; ++Request)
    for (const PathStage &Part : plan(typicalQuery("b"))) {
      ++Part.m_Endpoint->m_Running;
      Part.m_Endpoint->m_Tokens +=
          974.0 * (Part.m_Layers.m_End - Part.m_Layers.m_First);
    }
  double Most = 0;
  for (const auto &Engine : m_Engines) {
    const CardKind &Card = *m_Model.cardKind(Engine->m_Entry.m_CardKind);
    double Capacity = LayerPathPlanner::cacheCapacity(m_Model, Card,
                                                      Engine->m_Entry.m_Layers);
    Most = std::max(Most, Engine->m_Tokens / Capacity);
  }
  CHECK(Most < 0.75);
}

// Pattern: one fast engine begins most paths of a failure domain. Guards
// against requests that wait for a slot there while another engine with the
// same layers has free ones.
TEST(LayerPathPlanner, UsesTheFreeSlotsOfSlowerEngines) {
  FleetTable::Handle Preferred = plan(typicalQuery("b"))[0].m_Endpoint;
  for (const auto &Engine : m_Engines)
    Engine->m_Entry.m_Slots = 192;
  Preferred->m_RunningAsFirst = 90;
  Preferred->m_PeerRunningAsFirst = 95;
  LayerPath Path = plan(typicalQuery("b"));
  CHECK(isValidPath(Path, {0, 80}));
  CHECK(Path[0].m_Endpoint != Preferred);
  // A section that replaces a part of a path takes up no slot.
  PathQuery Section = typicalQuery("b");
  Section.m_Layers = {1, 80};
  LayerPath SectionPath = plan(Section);
  CHECK(SectionPath[0].m_Endpoint == Preferred);
}

// Guards against an engine that is left alone for ever after failures.
TEST(LayerPathPlanner, PastFailuresAreForgotten) {
  FleetTable::Handle Preferred = plan(typicalQuery("b"))[0].m_Endpoint;
  for (int Failure = 0; Failure < 20; ++Failure)
    Preferred->noteResult(false, 100ms, m_Now);
  CHECK(plan(typicalQuery("b"))[0].m_Endpoint != Preferred);
  m_Now += 30s;
  CHECK(plan(typicalQuery("b"))[0].m_Endpoint == Preferred);
}

// Pattern: a slow engine. Guards against paths over an engine that takes
// several times as long while another engine holds the same layers.
TEST(LayerPathPlanner, AvoidsASlowEngine) {
  FleetTable::Handle Slow = plan(typicalQuery("a"))[1].m_Endpoint;
  Slow->notePace(5, true, m_Now);
  for (const PathStage &Part : plan(typicalQuery("a")))
    CHECK(Part.m_Endpoint != Slow);
}

// Guards against a replacement for one endpoint of a path that uses an endpoint
// twice or does not cover the layers.
TEST(LayerPathPlanner, ReplacesOneStageOfAPath) {
  LayerPath Path = plan(typicalQuery("b"));
  for (std::size_t Index = 1; Index < Path.size(); ++Index) {
    PathQuery Query = typicalQuery("b");
    Query.m_Layers = Path[Index].m_Layers;
    for (const PathStage &Part : Path)
      Query.m_Excluded.push_back(Part.m_Endpoint);
    LayerPath Replacement = plan(Query);
    CHECK(isValidPath(Replacement, Path[Index].m_Layers));
  }
}

// Guards against a path that omits layers which no endpoint holds.
TEST(LayerPathPlanner, FindsNoPathWithoutAllLayers) {
  for (const auto &Engine : m_Engines)
    Engine->m_IsRemoved = Engine->m_Entry.m_Layers.m_First <= 40 &&
                          Engine->m_Entry.m_Layers.m_End > 40;
  LONGS_EQUAL(0, plan(typicalQuery("a")).size());
}

// Guards against invalid paths when the layer ranges of endpoints overlap at
// random. Each seed gives one layout.
TEST(LayerPathPlanner, RandomLayoutsGiveValidPaths) {
  for (unsigned Seed = 1; Seed <= 200; ++Seed) {
    std::mt19937 Random(Seed);
    for (const auto &Engine : m_Engines) {
      std::uint32_t First = Random() % 75;
      Engine->m_Entry.m_Layers = {
          First, std::min<std::uint32_t>(80, First + 3 + Random() % 25)};
      Engine->m_Running = Random() % 50;
      Engine->m_Tokens = Random() % 1000000;
    }
    LayerPath Path = plan(typicalQuery("a"));
    if (!Path.empty())
      CHECK_TEXT(isValidPath(Path, {0, 80}),
                 ("seed " + std::to_string(Seed)).c_str());
  }
}

// Guards against a path that begins at an engine which states that it accepts
// no more requests; such an engine can still hold later layers of a path.
TEST(LayerPathPlanner, PathDoesNotBeginAtAGivenEngine) {
  PathQuery Query = typicalQuery(m_Engines.front()->m_Entry.m_FailureDomain);
  for (int Step = 0; Step < 3; ++Step) {
    LayerPath Path = plan(Query);
    CHECK(isValidPath(Path, Query.m_Layers));
    for (const FleetTable::Handle &Engine : Query.m_NotFirst)
      CHECK(Path.front().m_Endpoint != Engine);
    Query.m_NotFirst.push_back(Path.front().m_Endpoint);
  }
  Query.m_NotFirst = m_Engines;
  CHECK(plan(Query).empty());
}

// Guards against paths through an engine that has asked for no requests, and
// against callers that are told a time at which there is still no path, or that
// wait for a rest although a path needs none that rests.
TEST(LayerPathPlanner, RestEndIsWhenThereIsAPath) {
  PathQuery Query = typicalQuery("a");
  auto RestEnd = [&] {
    return LayerPathPlanner::restEnd(m_Model, m_Engines, Query, m_Now);
  };
  CHECK(!RestEnd());
  std::mt19937 Random(1);
  std::shuffle(m_Engines.begin(), m_Engines.end(), Random);
  // Each rest is longer than the one before.
  Duration Rest = 1s;
  while (!plan(Query).empty()) {
    CHECK(!RestEnd());
    for (const PathStage &Part : plan(Query))
      Part.m_Endpoint->m_Rest.noteStated(Rest, m_Now);
    for (const PathStage &Part : plan(Query))
      CHECK(!Part.m_Endpoint->m_Rest.isResting(m_Now));
    Rest += 1s;
  }
  std::optional<Time> End = RestEnd();
  CHECK(End && *End > m_Now);
  CHECK(LayerPathPlanner::plan(m_Model, m_Engines, Query, *End - 1us).empty());
  CHECK(isValidPath(LayerPathPlanner::plan(m_Model, m_Engines, Query, *End),
                    {0, 80}));
  for (const FleetTable::Handle &Engine : m_Engines)
    if (!Engine->m_Rest.isResting(m_Now))
      Engine->m_SuspectUntil = m_Now + 60ms;
  CHECK(RestEnd() == End);
  for (const FleetTable::Handle &Engine : m_Engines)
    Engine->m_IsRemoved = true;
  CHECK(!RestEnd());
}

// Load: chains of all domains are lost, and more requests than the links take
// cross between them. Guards against paths over a link without capacity while
// the layers can be reached over another one.
TEST(LayerPathPlanner, ClosedLinksAreNotCrossed) {
  // Only "b" holds the first layers and "c" the last ones; "a" holds all.
  for (const auto &Engine : m_Engines) {
    const EndpointEntry &Entry = Engine->m_Entry;
    bool IsKept = Entry.m_FailureDomain == "b"   ? Entry.m_Layers.m_First < 40
                  : Entry.m_FailureDomain == "c" ? Entry.m_Layers.m_End > 40
                                                 : Entry.m_Layers.m_End < 80;
    if (!IsKept)
      Engine->m_SuspectUntil = m_Now + 1s;
  }
  PathQuery Query = typicalQuery("b");
  LayerPath Open = plan(Query);
  CHECK(isValidPath(Open, {0, 80}));
  auto Uses = [](const LayerPath &Path, const DomainLink &Link) {
    std::vector<DomainLink> Crossings = linkCrossings(Path);
    return std::count(Crossings.begin(), Crossings.end(), Link) > 0;
  };
  for (const DomainLink &Link :
       {DomainLink("a", "b"), DomainLink("b", "c"), DomainLink("a", "c")}) {
    Query.m_ClosedLinks = {Link};
    LayerPath Path = plan(Query);
    CHECK(isValidPath(Path, {0, 80}));
    CHECK(!Uses(Path, Link));
  }
  Query.m_ClosedLinks = {{"b", "c"}, {"a", "c"}};
  CHECK(plan(Query).empty());
}

// Guards against requests that are refused for a closed link although the path
// lies in another domain as a whole: only the request and its events cross.
TEST(LayerPathPlanner, ConnectionToTheFirstEngineIsNotClosed) {
  for (const auto &Engine : m_Engines)
    if (Engine->m_Entry.m_FailureDomain != "b")
      Engine->m_SuspectUntil = m_Now + 1s;
  PathQuery Query = typicalQuery("a");
  Query.m_ClosedLinks = {{"a", "b"}, {"a", "c"}, {"b", "c"}};
  LayerPath Path = plan(Query);
  CHECK(isValidPath(Path, {0, 80}));
  CHECK(linkCrossings(Path).empty());
}

// Pattern: a part of a running stream's path is lost, and only other domains
// hold its layers. Guards against a replacement whose connection from the part
// before it, or to the part after it, is closed.
TEST(LayerPathPlanner, SectionDoesNotCrossClosedLinks) {
  LayerPath Whole = plan(typicalQuery("a"));
  CHECK(Whole.size() >= 3);
  for (const auto &Engine : m_Engines)
    if (Engine->m_Entry.m_FailureDomain != "b")
      Engine->m_SuspectUntil = m_Now + 1s;
  PathQuery Query = typicalQuery("a");
  Query.m_Layers = Whole[1].m_Layers;
  Query.m_NextEndpoint = Whole[2].m_Endpoint;
  LayerPath Section = plan(Query);
  CHECK(!Section.empty());
  LONGS_EQUAL(2, linkCrossings(Section, "a", Whole[2].m_Endpoint).size());
  LONGS_EQUAL(1, linkCrossings(Section, "a").size());
  Query.m_ClosedLinks = {{"a", "b"}};
  CHECK(plan(Query).empty());
  // The same if only the link to the next part is closed.
  Query.m_FailureDomain = "b";
  CHECK(plan(Query).empty());
  Query.m_ClosedLinks = {{"a", "c"}};
  CHECK(!plan(Query).empty());
}

PARSLEYRING_TEST_MAIN
