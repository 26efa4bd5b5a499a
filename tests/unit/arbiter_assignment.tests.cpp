#include "kumquatbeam/decisions/arbiter_assignment.hpp"

#include "strategy_fixture.hpp"

#include <doctest/doctest.h>

using namespace kumquatbeam;

TEST_CASE("All routers of a domain choose the same arbiter, a reachable router of the domain [arbiter]")
{
    const domain_assignment assignment;
    auto first = viewOf("r1", 4);
    auto second = viewOf("r2", 4);
    for (auto* view : { &first, &second }) {
        addRouter(*view, "r1");
        addRouter(*view, "r2");
        view->routers.push_back({ { "r3" }, { "south" }, true, {} });
    }
    const auto arbiter = assignment.arbiterOf(first, { "north" });
    CHECK(arbiter == assignment.arbiterOf(second, { "north" }));
    CHECK(arbiter != entry_vm_id { "r3" });
    CHECK(assignment.arbiterOf(first, { "south" }) == entry_vm_id { "r3" });
}

TEST_CASE(
    "A domain with only unreachable routers has no arbiter, and one without listed routers uses any router [arbiter]")
{
    const domain_assignment assignment;
    auto view = viewOf("r1", 4);
    addRouter(view, "r1");
    view.routers.push_back({ { "r3" }, { "south" }, false, {} });
    CHECK(assignment.arbiterOf(view, { "south" }) == entry_vm_id {});
    CHECK(assignment.arbiterOf(view, { "middle" }) == entry_vm_id { "r1" });
}

TEST_CASE("Removing a router moves only the keys that it owned [arbiter]")
{
    const std::vector<std::string> routers { "r1", "r2", "r3", "r4" };
    const auto ownerOf = [&](const std::string& key, const std::string& lost) {
        std::string best;
        for (const auto& router : routers) {
            if (router != lost && (best.empty() || rendezvousWeight(key, router) > rendezvousWeight(key, best)))
                best = router;
        }
        return best;
    };
    constexpr int keyCount = 200;
    int ownedByFirst = 0;
    for (int number = 0; number < keyCount; ++number) {
        const auto key = "pool" + std::to_string(number);
        const auto before = ownerOf(key, "");
        ownedByFirst += before == "r1" ? 1 : 0;
        if (before != "r2")
            CHECK(ownerOf(key, "r2") == before);
    }
    CHECK(ownedByFirst > keyCount / 8);
    CHECK(ownedByFirst < keyCount / 2);
}
