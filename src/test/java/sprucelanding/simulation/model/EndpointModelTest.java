package sprucelanding.simulation.model;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** What a machine does with its jobs; times are ms of the story. */
class EndpointModelTest {
    private final List<String> log = new ArrayList<>();
    private final EndpointModel<String> machine =
            new EndpointModel<>(
                    new EndpointModel.Capacity(2, 1, 3, 1, 0.5, 1000, 10),
                    new EndpointModel.JobListener<>() {
                        @Override
                        public void onStarted(String job, double now) {
                            log.add(job + " began " + Math.round(now));
                        }

                        @Override
                        public void onCompleted(String job, double now) {
                            log.add(job + " done " + Math.round(now));
                        }
                    });

    private void runUntil(double from, double until) {
        double now = from;
        for (double nextEvent = machine.nextEventAt(now);
                nextEvent <= until;
                nextEvent = machine.nextEventAt(now)) {
            now = nextEvent;
            machine.advance(now);
        }
        machine.advance(until);
    }

    @Test
    void jobsShareCoresAndExcessJobWaitsForSlot() {
        machine.start(0, 100);
        for (String job : List.of("a", "b", "c", "d")) {
            machine.submit(job, 20, false, 100);
        }
        assertTrue(machine.isFull());
        runUntil(100, 200);
        // three share two cores: 30 ms for 20 ms of work; then d is alone
        assertEquals(
                List.of(
                        "a began 100",
                        "b began 100",
                        "c began 100",
                        "a done 130",
                        "d began 130",
                        "b done 130",
                        "c done 130",
                        "d done 150"),
                log);
    }

    @Test
    void coldEndpointStartsSlowAndHungEndpointMakesNoProgress() {
        machine.start(100, 100);
        machine.submit("cold", 25, false, 100);
        runUntil(100, 145);
        machine.hung(true);
        assertEquals(Double.POSITIVE_INFINITY, machine.nextEventAt(145));
        machine.advance(900);
        machine.hung(false);
        runUntil(900, 1000);
        assertEquals(
                1,
                log.stream().filter(event -> event.startsWith("cold done 9")).count(),
                log.toString());
    }

    @Test
    void stolenShareReducesCapacity() {
        machine.start(0, 0.5);
        machine.setStolenShare(0.5);
        machine.submit("a", 20, false, 1);
        machine.submit("b", 20, false, 1);
        runUntil(1, 100);
        assertEquals(List.of("a began 1", "b began 1", "a done 41", "b done 41"), log);
    }
}
