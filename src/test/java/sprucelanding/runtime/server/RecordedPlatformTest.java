package sprucelanding.runtime.server;

import java.io.IOException;
import java.util.BitSet;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import sprucelanding.control.decision.Endpoint;
import sprucelanding.control.decision.HealthCheckResult;
import sprucelanding.control.decision.RequestClass;
import sprucelanding.simulation.simulator.WireRecording;

/**
 * Compares the bytes of the updates that a governor sends its proxies with a recording.
 *
 * <p>Run with {@code -Drecorded.write=true} to write the recordings; they are never edited later: a
 * difference is a defect of the step.
 */
class RecordedPlatformTest {
    private static final double STEP_MS = 250;
    private static final int STEPS = 140;
    private static final int STEPS_PER_REPORT = 4;
    private static final int PROXIES = 8;
    private static final int MANY = 4200; // more lines than one object holds

    private static String endpoint(int number, String state, long bootMs) {
        return "{\"uid\":\"e-%d\",\"endpoint\":\"127.0.0.1:%d\",\"az\":\"%s\",\"model\":\"%s\",\"pod_group\":%d,\"state\":\"%s\",\"capacity_hint\":%s,\"boot_ms\":%d}"
                .formatted(
                        number,
                        9000 + number,
                        number % 2 == 0 ? "north" : "south",
                        number % 3 == 0 ? "slim" : "broad",
                        number / 3,
                        state,
                        number % 3 == 0 ? "1.0" : "2.5",
                        bootMs);
    }

    private static String list(int revision, boolean whole, String... entries) {
        return "{\"rev\":%d,\"all\":%b,\"targets\":[%s]}"
                .formatted(revision, whole, String.join(",", entries));
    }

    private static String ready(int revision, int endpoints) {
        return list(
                revision,
                true,
                IntStream.rangeClosed(1, endpoints)
                        .mapToObj(number -> endpoint(number, "ready", 0))
                        .toArray(String[]::new));
    }

    /** Joins, list changes, sick and silent endpoints, overload, and proxies that come and go. */
    @Test
    void updatesThatAreDecided() throws IOException {
        int[] step = {0};
        VirtualGovernor governor =
                new VirtualGovernor(
                        endpoint ->
                                endpoint.equals("e-7") && step[0] >= 30 && step[0] < 50
                                        ? HealthCheckResult.UNREACHABLE
                                        : HealthCheckResult.OK);
        governor.discovery(ready(41, 10), ListOrigin.LAST_RUN);
        for (step[0] = 0; step[0] < STEPS; step[0]++) {
            governor.passes(STEP_MS);
            happens(governor, step[0]);
            if (step[0] % STEPS_PER_REPORT == 3) {
                reports(governor, step[0]);
            }
            governor.decides();
        }
        WireRecording.check("platform/decided-updates.out", governor.transcript.toString());
    }

    private static void happens(VirtualGovernor governor, int step) {
        switch (step) {
            case 1 -> joins(governor, 0, PROXIES, true);
            case 14 ->
                    governor.discovery(
                            list(42, false, endpoint(2, "draining", 0), endpoint(3, "gone", 0)),
                            ListOrigin.DISCOVERY);
            case 18 ->
                    governor.discovery(
                            list(43, false, endpoint(11, "ready", 1_700_000_004_000L)),
                            ListOrigin.DISCOVERY);
            case 24 -> governor.leaves(2);
            case 27 -> joins(governor, 2, 3, false);
            case 29 -> joins(governor, 8, 11, false);
            case 55 ->
                    governor.discovery(
                            list(44, false, endpoint(2, "ready", 0)), ListOrigin.DISCOVERY);
            case 60 ->
                    governor.discovery(
                            list(45, false, endpoint(5, "ready", 1_700_000_015_000L)),
                            ListOrigin.DISCOVERY);
            case 110 -> governor.discovery(ready(46, 6), ListOrigin.DISCOVERY);
            default -> {
                // nothing but time passes
            }
        }
    }

    private static void joins(VirtualGovernor governor, int from, int to, boolean bare) {
        for (int proxy = from; proxy < to; proxy++) {
            governor.joins(proxy, proxy % 2 == 0 ? "north" : "south", 20 + proxy, bare);
        }
    }

    private static void reports(VirtualGovernor governor, int step) {
        boolean overload = step >= 70 && step < 95;
        for (int number = 1; number <= 10; number++) {
            boolean sick = number == 4 && step >= 32 && step < 48;
            boolean silent = number == 7 && step >= 30 && step < 50;
            double load = overload ? 0.99 : 0.4 + 0.05 * (number % 4);
            int attempts = 30 + number;
            int failed = silent ? attempts : sick ? 25 : overload ? 6 : 0;
            governor.reports("e-" + number, attempts, failed, overload ? 700 : 30 + number, load);
        }
        for (int proxy = 0; proxy < PROXIES; proxy++) {
            governor.choice.demandReported(proxy, proxy % 3, overload ? 90 : 25, 1000);
        }
    }

    /** Orders of the test's own, for forms that decisions seldom take. */
    @Test
    void updatesThatAreOrdered() throws IOException {
        VirtualGovernor governor = new VirtualGovernor(endpoint -> HealthCheckResult.OK);
        governor.discovery(ready(41, 6), ListOrigin.LAST_RUN);
        joins(governor, 0, 4, true);
        governor.passes(STEP_MS);
        governor.decides();
        governor.passes(STEP_MS);
        new OrderScript(governor).run();
        WireRecording.check("platform/ordered-updates.out", governor.transcript.toString());
    }

    /** A table with more lines than one object holds is continued in a second one. */
    @Test
    void aTableOfManyLines() throws IOException {
        VirtualGovernor governor = new VirtualGovernor(endpoint -> HealthCheckResult.OK);
        governor.discovery(ready(41, MANY), ListOrigin.LAST_RUN);
        governor.decides();
        governor.joins(0, "north", 10, true);
        for (int step = 0; step < 60 && !governor.proxies.containsKey(0); step++) {
            governor.passes(STEP_MS);
            governor.decides();
        }
        governor.transcript.setLength(0);
        BitSet first = BitSet.valueOf(new long[] {1});
        governor.replicas.values().forEach(each -> governor.setWeight(900, each, 1));
        governor.bindProxy(900, governor.proxies.get(0), first);
        governor.writes();
        WireRecording.check("platform/many-lines.out", objectsByLine(governor.transcript));
    }

    /** Puts the endpoints of an object on lines of their own. */
    private static String objectsByLine(StringBuilder transcript) {
        return transcript
                .toString()
                .lines()
                .map(line -> line.replace("],[", "],\n["))
                .collect(Collectors.joining("\n", "", "\n"));
    }

    /** Orders on tables of its own, moment by moment. */
    private static final class OrderScript {
        private static final BitSet ALL = BitSet.valueOf(new long[] {7});
        private static final BitSet FIRST = BitSet.valueOf(new long[] {1});
        private static final BitSet LAST_TWO = BitSet.valueOf(new long[] {6});
        private static final int WIDE = 700;
        private static final int NARROW = 701;

        private final VirtualGovernor governor;

        OrderScript(VirtualGovernor governor) {
            this.governor = governor;
        }

        void run() {
            numbers();
            levels();
            severalTables();
            changes();
            withdrawals();
            leavers();
        }

        private void moment(String title) {
            governor.transcript.append("== ").append(title).append('\n');
            governor.writes();
        }

        private Endpoint replica(int number) {
            return governor.replicas.get("e-" + number);
        }

        private void level(int table, int product, double letIn, int retry) {
            RequestClass of = governor.products.get(product);
            governor.setAdmission(table, of, letIn, retry);
        }

        private void bind(int table, int proxy, BitSet classes) {
            governor.bindProxy(table, governor.proxies.get(proxy), classes);
        }

        private void numbers() {
            double[] weights = {1.5, 2e7, 0.1 + 0.2, 33.3333335, 123456789.123456789, 0.000001};
            for (int i = 0; i < weights.length; i++) {
                governor.setWeight(WIDE, replica(i + 1), weights[i]);
            }
            bind(WIDE, 0, ALL);
            moment("a whole table, numbers of many kinds");
            governor.setWeight(WIDE, replica(2), 0.9999999);
            governor.setWeight(WIDE, replica(3), 1e-9);
            governor.requestAcknowledgement(0);
            moment("changed lines and the least receipt");
        }

        private void levels() {
            for (int product = 0; product < 3; product++) {
                level(WIDE, product, 0.75, 1);
            }
            moment("one level for all classes");
            level(WIDE, 0, 0, 0);
            level(WIDE, 1, 1, 2);
            level(WIDE, 2, 0, 0);
            moment("levels that differ, two of them alike");
            governor.setWeight(WIDE, replica(1), 4);
            level(WIDE, 1, 0.333333333, 3);
            moment("a line and the level of one class");
            bind(WIDE, 1, ALL);
            governor.requestAcknowledgement(59_999);
            moment("a whole table with levels that differ");
        }

        private void severalTables() {
            governor.setWeight(NARROW, replica(5), 7);
            level(NARROW, 1, 0.5, 1);
            level(NARROW, 2, 0.5, 1);
            bind(NARROW, 2, LAST_TWO);
            bind(WIDE, 2, FIRST);
            governor.requestAcknowledgement(12);
            moment("two tables for one proxy");
            bind(NARROW, 0, FIRST);
            moment("one class goes to a table without a level for it");
            bind(WIDE, 0, FIRST);
            moment("and back");
        }

        private void changes() {
            governor.setWeight(WIDE, replica(4), 0);
            governor.setWeight(NARROW, replica(5), 8);
            governor.requestAcknowledgement(13);
            moment("changes of two tables");
            governor.setWeight(NARROW, replica(6), 2);
            governor.setWeight(NARROW, replica(6), 0);
            moment("a line that comes and goes in one moment");
            governor.clearTable(NARROW);
            moment("a table is cleared");
            governor.clearTable(WIDE);
            governor.setWeight(WIDE, replica(1), 3);
            governor.setWeight(WIDE, replica(2), 3);
            governor.setWeight(WIDE, replica(2), 0);
            moment("a table is cleared and laid anew");
            moment("nothing was ordered");
        }

        private void withdrawals() {
            governor.setEjected(replica(1), true);
            governor.setEjected(replica(6), true);
            moment("withdrawals");
            governor.setEjected(replica(1), false);
            moment("one is let back in");
            governor.setEjected(replica(1), true);
            governor.setEjected(replica(1), false);
            moment("out and back in one moment");
            governor.setWeight(WIDE, replica(1), 5);
            level(WIDE, 0, 0.25, 0);
            governor.setEjected(replica(1), true);
            governor.setEjected(replica(6), false);
            governor.requestAcknowledgement(14);
            moment("lines, a level, a withdrawal, a restoration and a receipt together");
        }

        private void leavers() {
            governor.leaves(1);
            governor.setWeight(WIDE, replica(1), 6);
            moment("one proxy has left");
            governor.joins(1, "south", 5, false);
            bind(WIDE, 1, ALL);
            moment("it comes back with tables of elsewhere");
            governor.setEjected(replica(1), false);
            governor.setEjected(replica(3), true);
            moment("and is told of withdrawals in any case");
            governor.discovery(list(42, false, endpoint(1, "draining", 0)), ListOrigin.DISCOVERY);
            governor.setWeight(WIDE, replica(1), 9);
            governor.setWeight(WIDE, replica(2), 9);
            bind(WIDE, 3, ALL);
            moment("an endpoint that left enters no table");
        }
    }
}
