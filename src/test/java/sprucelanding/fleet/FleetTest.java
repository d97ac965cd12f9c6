package sprucelanding.fleet;

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

/** One voice for each slot, whatever is killed, stopped, cut or lost; and every slot owned again once it is over. */
class FleetTest {
    private static final double SAFE = FakeFleet.LEASE * (1 + FakeFleet.DRIFT);

    /** One thing that happens to governors, so long after the one before. */
    record Act(int what, int node, int other, int ms) {
        void strikes(FakeFleet f) {
            int n = f.nodes.size();
            int a = node % n;
            int b = other % n;
            switch (what) {
                case 0 -> f.dies(a);
                case 1 -> f.nodes.get(a).starts();
                case 2 -> f.pauses(a, 200 + ms * 2);
                case 3 -> f.cut(a, b, true);
                case 4 -> f.cut(a, b, false);
                case 5 -> f.loss = f.loss > 0 ? 0 : 0.4;
                case 6 -> {
                    for (int i = 0; i < n; i++) {
                        f.cut(a, i, i != a);
                        f.cut(i, a, i != a);
                    }
                }
                case 7 -> f.nodes.forEach(x -> f.dies(x.id));
                case 8 -> f.nodes.forEach(FakeFleet.Node::starts);
                default -> {
                    if (f.nodes.get(a).runs()) {
                        f.nodes.get(a).leases.leaves();
                        f.nodes.get(a).peers.leaves();
                    }
                }
            }
            f.runs(ms);
        }
    }

    @Provide
    Arbitrary<List<Act>> histories() {
        return Combinators.combine(Arbitraries.integers().between(0, 9), Arbitraries.integers().between(0, 4),
                Arbitraries.integers().between(0, 4), Arbitraries.integers().between(0, 2500)).as(Act::new).list().ofMaxSize(14);
    }

    @Property(tries = 1500, seed = "20261201", shrinking = ShrinkingMode.BOUNDED)
    void oneVoiceInEveryHistoryAndAllOwnedAfterIt(@ForAll("histories") List<Act> history, @ForAll long seed) {
        FakeFleet f = new FakeFleet(3 + (int) Math.floorMod(seed, 3), seed, SAFE);
        f.runs(4000);
        history.forEach(act -> act.strikes(f));
        assertEquals(List.of(), f.faults, () -> String.join("\n", f.story));
        f.heals();
        boolean anyLeft = history.stream().anyMatch(a -> a.what == 9);
        f.runs(12_000);
        assertEquals(List.of(), f.faults, () -> String.join("\n", f.story));
        assertTrue(anyLeft || f.unowned() == 0, () -> f.unowned() + " slots without owner\n" + String.join("\n", f.story));
    }

    @Test
    void withoutTheQuarantineAfterARestartThereAreHistoriesWithTwoVoices() {
        List<String> faults = new ArrayList<>();
        for (long seed = 0; seed < 60 && faults.isEmpty(); seed++) {
            FakeFleet f = new FakeFleet(3, seed, 0);
            f.runs(4000);
            for (int id = 0; id < 3; id++) { // an owner that hears nothing, and voters that forgot what they promised it
                f.cut(0, id, id != 0);
                f.cut(id, 0, id != 0);
            }
            f.dies(1);
            f.dies(2);
            f.runs(20);
            f.nodes.get(1).starts();
            f.nodes.get(2).starts();
            f.runs(3000);
            faults.addAll(f.faults);
        }
        assertFalse(faults.isEmpty());
    }

    @Test
    void slotsAreSharedAndFewMoveWhenOneDies() {
        FakeFleet f = new FakeFleet(3, 7, SAFE);
        f.runs(6000);
        assertEquals(0, f.unowned());
        f.nodes.forEach(n -> assertTrue(n.leases.owned() >= 1 && n.leases.owned() <= 8, f.story.toString()));
        List<List<Integer>> before = new ArrayList<>();
        for (int s = 0; s < FakeFleet.SLOTS; s++) {
            before.add(f.owners(s));
        }
        f.dies(2);
        f.runs(5000);
        assertEquals(0, f.unowned());
        for (int s = 0; s < FakeFleet.SLOTS; s++) {
            if (!before.get(s).equals(List.of(2))) {
                assertEquals(before.get(s), f.owners(s), "a slot of a living owner moved");
            }
        }
    }

    @Test
    void aPausedOwnerThatWakesOwnsNothingUnlessNobodyElseDoes() {
        FakeFleet f = new FakeFleet(3, 3, SAFE);
        f.runs(5000);
        int had = f.nodes.get(0).leases.owned();
        assertTrue(had > 0);
        f.pauses(0, 6000);
        f.runs(6000 - FakeFleet.STEP);
        assertEquals(0, f.unowned()); // the others took over
        f.runs(4000);
        assertEquals(List.of(), f.faults);
    }

    @Test
    void aMinorityTakesOverNothingAndTheMajorityAllOfIts() {
        FakeFleet f = new FakeFleet(5, 4, SAFE);
        f.runs(6000);
        for (int a : new int[] {0, 1}) {
            for (int b : new int[] {2, 3, 4}) {
                f.cut(a, b, true);
                f.cut(b, a, true);
            }
        }
        f.runs(6000);
        assertEquals(0, f.nodes.get(0).leases.owned() + f.nodes.get(1).leases.owned());
        assertFalse(f.nodes.get(0).peers.majority());
        assertEquals(0, f.unowned());
        assertEquals(List.of(), f.faults);
    }

    @Test
    void whoIsHeardByOneSideOnlyLivesForAll() {
        FakeFleet f = new FakeFleet(3, 5, SAFE);
        f.runs(4000);
        f.cut(0, 1, true); // 1 hears nothing from 0, but 2 does
        f.runs(5000);
        assertEquals(Set.of(0, 1, 2), f.nodes.get(1).peers.live());
        assertEquals(Peers.State.ALIVE, f.nodes.get(1).peers.state(0));
    }

    @Test
    void aPlannedHandoverLeavesNoGapOfALease() {
        FakeFleet f = new FakeFleet(3, 9, SAFE);
        f.runs(6000);
        f.nodes.get(1).leases.leaves();
        f.nodes.get(1).peers.leaves();
        double worst = 0;
        double[] since = new double[FakeFleet.SLOTS];
        for (int n = 0; n < 800; n++) {
            f.runs(FakeFleet.STEP);
            for (int s = 0; s < FakeFleet.SLOTS; s++) {
                since[s] = f.owners(s).isEmpty() ? since[s] + FakeFleet.STEP : 0;
                worst = Math.max(worst, since[s]);
            }
        }
        assertEquals(0, f.nodes.get(1).leases.owned());
        assertEquals(0, f.unowned());
        assertTrue(worst <= 200, "without an owner for " + worst + " ms\n" + String.join("\n", f.story));
        assertEquals(List.of(), f.faults);
    }

    @Test
    void allRestartAtOnceAndEpochsGoOnGrowing() {
        FakeFleet f = new FakeFleet(3, 11, SAFE);
        f.runs(5000);
        for (int id = 0; id < 3; id++) {
            f.dies(id);
        }
        f.runs(100);
        f.heals();
        f.runs(8000);
        assertEquals(0, f.unowned());
        assertEquals(List.of(), f.faults); // an epoch that goes back is a fault
    }

    @Test
    void beatsOfAnEarlierLifeAndOfStrangersAreLeftAlone() {
        Peers p = new Peers(0, 1000, Set.of(0, 1), 100, 500, 500);
        p.clock(0);
        assertTrue(p.heard(new Peers.Beat(1, List.of(new Peers.Known(1, 2000, 0, 5, Peers.State.ALIVE)))));
        assertFalse(p.heard(new Peers.Beat(1, List.of(new Peers.Known(1, 1500, 9, 99, Peers.State.LEFT)))));
        assertFalse(p.heard(new Peers.Beat(7, List.of(new Peers.Known(7, 2000, 0, 5, Peers.State.ALIVE)))));
        assertFalse(p.heard(new Peers.Beat(0, List.of(new Peers.Known(0, 9000, 0, 5, Peers.State.ALIVE)))));
        assertEquals(Peers.State.ALIVE, p.state(1));
    }

    @Test
    void whoIsHeldForDeadRefutesIt() {
        Peers p = new Peers(0, 1000, Set.of(0, 1), 100, 500, 500);
        p.clock(0);
        p.heard(new Peers.Beat(1, List.of(new Peers.Known(1, 2000, 0, 5, Peers.State.ALIVE),
                new Peers.Known(0, 1000, 0, 3, Peers.State.DEAD))));
        List<Peers.Beat> beats = new ArrayList<>();
        Peers.Acts acts = new Peers.Acts() {
            @Override
            public void beat(Peers.Beat beat) {
                beats.add(beat);
            }

            @Override
            public void changed(int id, Peers.State state) {
            }
        };
        while (p.decide(acts)) {
            continue;
        }
        Peers.Known own = beats.get(0).view().get(0);
        assertEquals(1, own.incarnation());
        assertEquals(Peers.State.ALIVE, own.state());
    }
}
