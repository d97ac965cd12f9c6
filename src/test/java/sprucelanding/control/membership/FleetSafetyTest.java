package sprucelanding.control.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.ShrinkingMode;
import org.junit.jupiter.api.Test;

/**
 * One writer for each proxy, whatever is killed, paused, cut or lost; and every proxy owned again
 * once the faults are over.
 */
class FleetSafetyTest {
    private static final double SAFE_QUARANTINE_MILLIS =
            FleetSimulation.LEASE_MILLIS * (1 + FleetSimulation.MAX_CLOCK_DRIFT);

    /** What can happen to governors; their order is that of the numbers which are drawn. */
    private enum FaultKind {
        KILL,
        START,
        PAUSE,
        CUT_LINK,
        RESTORE_LINK,
        TOGGLE_LOSS,
        ISOLATE,
        KILL_ALL,
        START_ALL,
        CUT_FROM_PROXIES,
        RESTORE_PROXIES,
        TOGGLE_WALL_CLOCK_JUMP,
        DRAIN
    }

    /** One thing that happens to governors, so long before the next. */
    record FaultEvent(int kindIndex, int node, int other, int durationMillis) {
        private FaultKind kind() {
            return FaultKind.values()[kindIndex];
        }

        void apply(FleetSimulation fleet) {
            int governorCount = fleet.nodes.size();
            int target = node % governorCount;
            int peer = other % governorCount;
            switch (kind()) {
                case KILL -> fleet.kill(target);
                case START -> fleet.nodes.get(target).start();
                case PAUSE -> fleet.pause(target, 200 + durationMillis * 2);
                case CUT_LINK -> fleet.setLinkCut(target, peer, true);
                case RESTORE_LINK -> fleet.setLinkCut(target, peer, false);
                case TOGGLE_LOSS -> fleet.lossProbability = fleet.lossProbability > 0 ? 0 : 0.4;
                case ISOLATE -> fleet.isolate(target, true);
                case KILL_ALL -> fleet.nodes.forEach(governor -> fleet.kill(governor.id));
                case START_ALL -> fleet.nodes.forEach(FleetSimulation.Node::start);
                case CUT_FROM_PROXIES -> fleet.setCutFromProxies(target, true);
                case RESTORE_PROXIES -> fleet.setCutFromProxies(target, false);
                case TOGGLE_WALL_CLOCK_JUMP ->
                        fleet.wallClockJumpMillis =
                                fleet.wallClockJumpMillis > 0
                                        ? 0
                                        : 60_000; // of a process that starts next
                case DRAIN -> {
                    if (fleet.nodes.get(target).isRunning()) {
                        fleet.nodes.get(target).member.startDrain();
                    }
                }
                default -> throw new IllegalStateException("an unknown kind " + kindIndex);
            }
            fleet.runFor(durationMillis);
        }
    }

    @Provide
    Arbitrary<List<FaultEvent>> histories() {
        return Combinators.combine(
                        Arbitraries.integers().between(0, 12),
                        Arbitraries.integers().between(0, 4),
                        Arbitraries.integers().between(0, 4),
                        Arbitraries.integers().between(0, 2500))
                .as(FaultEvent::new)
                .list()
                .ofMaxSize(14);
    }

    @Property(tries = 1200, seed = "20261201", shrinking = ShrinkingMode.BOUNDED)
    void everyHistoryHasOneWriterPerProxyAndAllAreOwnedAfterwards(
            @ForAll("histories") List<FaultEvent> history, @ForAll long seed) {
        FleetSimulation fleet =
                new FleetSimulation(
                        3 + (int) Math.floorMod(seed, 3), 6, seed, SAFE_QUARANTINE_MILLIS);
        fleet.runFor(4000);
        history.forEach(event -> event.apply(fleet));
        assertEquals(List.of(), fleet.violations, () -> String.join("\n", fleet.eventLog));
        fleet.heal();
        fleet.nodes.stream()
                .filter(governor -> governor.member.isDrained())
                .forEach(
                        governor -> {
                            fleet.kill(governor.id);
                            governor.start();
                        });
        boolean leaving = history.stream().anyMatch(event -> event.kind() == FaultKind.DRAIN);
        fleet.runFor(14_000);
        assertEquals(List.of(), fleet.violations, () -> String.join("\n", fleet.eventLog));
        assertTrue(
                leaving || fleet.unownedCount() == 0,
                () ->
                        fleet.unownedCount()
                                + " without owner\n"
                                + String.join("\n", fleet.eventLog));
    }

    @Test
    void withoutQuarantineSomeHistoryHasTwoWriters() {
        List<String> faults = new ArrayList<>();
        for (long seed = 0; seed < 60 && faults.isEmpty(); seed++) {
            FleetSimulation fleet = new FleetSimulation(3, 6, seed, 0);
            fleet.keepaliveMillis = 500;
            fleet.runFor(4000);
            fleet.isolate(
                    0,
                    true); // an owner that hears nothing, and voters that forgot what they promised
            // it
            fleet.setCutFromProxies(0, true);
            fleet.kill(1);
            fleet.kill(2);
            fleet.runFor(20);
            fleet.nodes.get(1).start();
            fleet.nodes.get(2).start();
            fleet.runFor(1400); // the proxies' keepalive, and they dial on
            faults.addAll(fleet.violations);
        }
        assertFalse(faults.isEmpty());
    }

    @Test
    void resumedOwnerDoesNotWriteToProxiesTakenOver() {
        FleetSimulation fleet = new FleetSimulation(3, 9, 3, SAFE_QUARANTINE_MILLIS);
        fleet.runFor(4000);
        assertTrue(fleet.ownedCount(0) > 0);
        fleet.pause(0, 6000);
        fleet.runFor(6000 - FleetSimulation.STEP_MILLIS);
        assertEquals(0, fleet.unownedCount()); // the others took over
        fleet.runFor(4000);
        assertEquals(List.of(), fleet.violations);
        assertEquals(0, fleet.unownedCount());
    }

    @Test
    void minorityServesItsProxiesAndAcceptsNoMore() {
        FleetSimulation fleet = new FleetSimulation(5, 20, 4, SAFE_QUARANTINE_MILLIS);
        fleet.runFor(4000);
        int ownedBefore = fleet.nodes.get(0).writableProxies.size();
        for (int minority : new int[] {0, 1}) {
            for (int majority : new int[] {2, 3, 4}) {
                fleet.setLinkCut(minority, majority, true);
                fleet.setLinkCut(majority, minority, true);
            }
        }
        fleet.takeLongestGapMillis();
        fleet.runFor(6000);
        assertFalse(fleet.nodes.get(0).member.hasMajority());
        assertEquals(ownedBefore, fleet.nodes.get(0).writableProxies.size());
        assertTrue(
                fleet.takeLongestGapMillis() < 1000,
                "removals must not wait long for it"); // the grace is the rule's, not the lease's
        fleet.kill(2); // its proxies dial on, and come to the majority in the end
        fleet.runFor(8000);
        assertEquals(ownedBefore, fleet.nodes.get(0).writableProxies.size());
        fleet.heal();
        fleet.runFor(6000);
        assertEquals(0, fleet.unownedCount());
        assertEquals(List.of(), fleet.violations);
    }

    @Test
    void ownerCutFromItsProxiesYieldsThemAtOnce() {
        FleetSimulation fleet = new FleetSimulation(3, 9, 6, SAFE_QUARANTINE_MILLIS);
        fleet.runFor(4000);
        fleet.takeLongestGapMillis();
        fleet.setCutFromProxies(1, true);
        fleet.runFor(5000);
        assertEquals(0, fleet.nodes.get(1).leases.claimedCount());
        assertEquals(0, fleet.unownedCount());
        assertTrue(
                fleet.takeLongestGapMillis() < 1200 + 700,
                "its keepalive, its dialling, and no lease more");
        assertEquals(List.of(), fleet.violations);
    }

    @Test
    void ownerCutFromPeersKeepsServingAndRejoinsWithoutEndingStreams() {
        FleetSimulation fleet = new FleetSimulation(3, 9, 8, SAFE_QUARANTINE_MILLIS);
        fleet.runFor(4000);
        int ownedBefore = fleet.ownedCount(1);
        fleet.isolate(1, true);
        fleet.runFor(5000);
        assertEquals(ownedBefore, fleet.nodes.get(1).writableProxies.size());
        fleet.isolate(1, false);
        fleet.runFor(3000);
        assertEquals(ownedBefore, fleet.ownedCount(1));
        assertEquals(
                0,
                fleet.eventLog.stream().filter(line -> line.contains(" ends ")).count(),
                fleet.eventLog.toString());
        assertEquals(List.of(), fleet.violations);
    }

    @Test
    void survivorOfThreeAcceptsNoProxies() {
        FleetSimulation fleet = new FleetSimulation(3, 9, 12, SAFE_QUARANTINE_MILLIS);
        fleet.runFor(4000);
        int ownedBefore = fleet.ownedCount(2);
        fleet.kill(0);
        fleet.kill(1);
        fleet.runFor(8000);
        assertEquals(ownedBefore, fleet.nodes.get(2).writableProxies.size());
        fleet.heal();
        fleet.runFor(8000);
        assertEquals(0, fleet.unownedCount());
        assertEquals(List.of(), fleet.violations);
    }

    @Test
    void plannedStopRedirectsProxiesWithoutLeaseWait() {
        FleetSimulation fleet = new FleetSimulation(3, 12, 9, SAFE_QUARANTINE_MILLIS);
        fleet.runFor(4000);
        fleet.takeLongestGapMillis();
        fleet.nodes.get(1).member.startDrain();
        fleet.runFor(3000);
        assertTrue(fleet.nodes.get(1).member.isDrained());
        assertEquals(0, fleet.unownedCount());
        assertTrue(fleet.takeLongestGapMillis() < 700, "dialling, twice at most, and some answers");
        assertEquals(List.of(), fleet.violations);
    }

    @Test
    void simultaneousStopsDoNotRedirectInCircles() {
        FleetSimulation fleet = new FleetSimulation(3, 12, 10, SAFE_QUARANTINE_MILLIS);
        fleet.runFor(4000);
        fleet.nodes.get(0).member.startDrain();
        fleet.nodes.get(1).member.startDrain();
        fleet.runFor(3000);
        assertEquals(12, fleet.ownedCount(2));
        assertEquals(List.of(), fleet.violations);
    }

    @Test
    void returningGovernorGetsItsQuotaGradually() {
        FleetSimulation fleet = new FleetSimulation(3, 24, 13, SAFE_QUARANTINE_MILLIS, 8);
        fleet.kill(0);
        fleet.runFor(6000);
        fleet.heal();
        fleet.runFor(2500);
        int earlyCount = fleet.ownedCount(0);
        fleet.runFor(12_000);
        assertTrue(
                earlyCount <= 2 && fleet.ownedCount(0) >= 3,
                earlyCount + ", then " + fleet.ownedCount(0));
        assertEquals(0, fleet.unownedCount());
        assertEquals(List.of(), fleet.violations);
    }

    @Test
    void unreachableGovernorWithCapacityCausesNoRedirectLoop() {
        FleetSimulation fleet = new FleetSimulation(3, 12, 14, SAFE_QUARANTINE_MILLIS, 4);
        fleet.runFor(4000);
        fleet.setCutFromProxies(1, true); // it lives, and has room, and no proxy gets there
        fleet.runFor(60_000);
        long redirectCount =
                fleet.eventLog.stream().filter(line -> line.contains("more room")).count();
        assertTrue(redirectCount <= 15, redirectCount + " sent on");
        assertEquals(0, fleet.unownedCount());
    }

    @Test
    void rollingRestartKeepsStreamsOfRemainingGovernor() {
        FleetSimulation fleet = new FleetSimulation(3, 12, 15, SAFE_QUARANTINE_MILLIS);
        fleet.runFor(4000);
        for (int id : new int[] {0, 1}) {
            fleet.nodes.get(id).member.startDrain();
            fleet.runFor(3000);
            fleet.kill(id);
            fleet.runFor(500);
            fleet.heal();
            fleet.runFor(4000);
        }
        assertEquals(
                0,
                fleet.eventLog.stream().filter(line -> line.contains(" 2 ends ")).count(),
                fleet.eventLog.toString());
        assertEquals(0, fleet.unownedCount());
        assertEquals(List.of(), fleet.violations);
    }

    @Test
    void epochsKeepGrowingWhenAllRestartAtOnce() {
        FleetSimulation fleet = new FleetSimulation(3, 6, 11, SAFE_QUARANTINE_MILLIS);
        fleet.runFor(4000);
        List.of(0, 1, 2).forEach(fleet::kill);
        fleet.runFor(100);
        fleet.heal();
        fleet.runFor(8000);
        assertEquals(0, fleet.unownedCount());
        assertEquals(List.of(), fleet.violations); // an epoch that goes back is a fault
    }

    @Test
    void governorHeardIndirectlyStaysAlive() {
        FleetSimulation fleet = new FleetSimulation(3, 3, 5, SAFE_QUARANTINE_MILLIS);
        fleet.runFor(4000);
        fleet.setLinkCut(0, 1, true); // 1 hears nothing from 0, but 2 does
        fleet.runFor(5000);
        assertEquals(Set.of(0, 1, 2), fleet.nodes.get(1).failureDetector.liveMembers());
        assertEquals(FailureDetector.State.ALIVE, fleet.nodes.get(1).failureDetector.state(0));
        assertEquals(0, fleet.unownedCount());
    }
}
