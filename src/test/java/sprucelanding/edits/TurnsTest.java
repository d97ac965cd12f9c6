package sprucelanding.edits;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Stories of many devices that want to be served at once. */
class TurnsTest {
    private final Turns turns = new Turns(2, 3000);
    private final List<Integer> served = new ArrayList<>();

    private void pull() {
        while (turns.decide(served::add)) {
            continue;
        }
    }

    @Test
    void removalsGoBesideFortyDevicesThatAreLaid() {
        for (int i = 0; i < 40; i++) {
            turns.wants(i, Turns.Rank.FIRST);
        }
        pull();
        assertEquals(List.of(0, 1), served);
        turns.wants(100, Turns.Rank.REMOVAL);
        turns.wants(30, Turns.Rank.REMOVAL); // it waited for an ordinary turn
        turns.wants(101, Turns.Rank.REMOVAL);
        pull();
        assertEquals(List.of(0, 1, 30, 100), served, "the one that asked first, and two at most");
        turns.done(100);
        pull();
        assertEquals(101, served.get(4));
        assertEquals(37, turns.waiting());
    }

    @Test
    void oneThatWaitedLongIsNotStarvedByNewOnes() {
        turns.wants(1, Turns.Rank.FIRST);
        turns.wants(2, Turns.Rank.FIRST);
        turns.wants(3, Turns.Rank.ORDINARY);
        pull();
        for (int i = 10; i < 20; i++) {
            turns.clock(i * 400 - 3600);
            turns.wants(i, Turns.Rank.FIRST);
            turns.done(served.get(served.size() - 1));
            pull();
        }
        assertEquals(true, served.indexOf(3) > 3 && served.indexOf(3) < 12, served.toString());
    }

    @Test
    void aDeviceThatIsLostFreesItsPlaceAndWantsNothing() {
        turns.wants(1, Turns.Rank.ORDINARY);
        turns.wants(2, Turns.Rank.ORDINARY);
        turns.wants(3, Turns.Rank.ORDINARY);
        turns.wants(4, Turns.Rank.ORDINARY);
        pull();
        turns.done(3); // lost while it waited
        turns.done(1); // lost while it was served
        pull();
        assertEquals(List.of(1, 2, 4), served);
        turns.wants(2, Turns.Rank.ORDINARY); // again, while the first is under way
        turns.done(2);
        pull();
        assertEquals(3, served.size(), "done ends what it wanted");
    }
}
