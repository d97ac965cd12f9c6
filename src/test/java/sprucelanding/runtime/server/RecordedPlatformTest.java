package sprucelanding.runtime.server;

import java.io.IOException;
import java.util.BitSet;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;
import sprucelanding.control.decision.Endpoint;
import sprucelanding.control.decision.HealthCheckResult;
import sprucelanding.control.decision.RequestClass;
import sprucelanding.simulation.simulator.WireRecording;

/**
 * Compares the bytes of the updates that a governor sends its proxies with a recording.
 *
 * <p>Run with {@code -Drecorded.write=true} to write the recordings. Recordings are never edited
 * later: a difference is a defect of the change that caused it.
 */
class RecordedPlatformTest {
    private static final double STEP_MS = 250;
    private static final int STEPS = 140;
    private static final int STEPS_PER_REPORT = 4;
    private static final int PROXIES = 8;
    private static final int MANY_ENDPOINTS = 4200; // more entries than one object holds

    /**
     * Covers joins, list changes, failing and unresponsive endpoints, overload, and proxies that
     * leave and return.
     */
    @Test
    void decidedUpdatesMatchTheRecording() throws IOException {
        int[] step = {0};
        VirtualGovernor governor =
                new VirtualGovernor(
                        endpoint ->
                                endpoint.equals("e-7") && step[0] >= 30 && step[0] < 50
                                        ? HealthCheckResult.UNREACHABLE
                                        : HealthCheckResult.OK);
        governor.applyList(VirtualGovernor.readyList(41, 10), ListOrigin.LAST_RUN);
        for (step[0] = 0; step[0] < STEPS; step[0]++) {
            governor.advance(STEP_MS);
            applyStep(governor, step[0]);
            if (step[0] % STEPS_PER_REPORT == 3) {
                reportLoad(governor, step[0]);
            }
            governor.decide();
        }
        WireRecording.check("platform/decided-updates.out", governor.transcript.toString());
    }

    private static void applyStep(VirtualGovernor governor, int step) {
        switch (step) {
            case 1 -> joinProxies(governor, 0, PROXIES, true);
            case 14 ->
                    governor.applyList(
                            VirtualGovernor.list(
                                    42,
                                    false,
                                    VirtualGovernor.entry(2, "draining", 0),
                                    VirtualGovernor.entry(3, "gone", 0)),
                            ListOrigin.DISCOVERY);
            case 18 ->
                    governor.applyList(
                            VirtualGovernor.list(
                                    43,
                                    false,
                                    VirtualGovernor.entry(11, "ready", 1_700_000_004_000L)),
                            ListOrigin.DISCOVERY);
            case 24 -> governor.removeProxy(2);
            case 27 -> joinProxies(governor, 2, 3, false);
            case 29 -> joinProxies(governor, 8, 11, false);
            case 55 ->
                    governor.applyList(
                            VirtualGovernor.list(44, false, VirtualGovernor.entry(2, "ready", 0)),
                            ListOrigin.DISCOVERY);
            case 60 ->
                    governor.applyList(
                            VirtualGovernor.list(
                                    45,
                                    false,
                                    VirtualGovernor.entry(5, "ready", 1_700_000_015_000L)),
                            ListOrigin.DISCOVERY);
            case 110 -> governor.applyList(VirtualGovernor.readyList(46, 6), ListOrigin.DISCOVERY);
            default -> {
                // only time passes
            }
        }
    }

    private static void joinProxies(
            VirtualGovernor governor, int from, int to, boolean withoutTables) {
        for (int proxy = from; proxy < to; proxy++) {
            governor.joinProxy(
                    proxy, proxy % 2 == 0 ? "north" : "south", 20 + proxy, withoutTables);
        }
    }

    private static void reportLoad(VirtualGovernor governor, int step) {
        boolean isOverloaded = step >= 70 && step < 95;
        for (int number = 1; number <= 10; number++) {
            boolean isFailing = number == 4 && step >= 32 && step < 48;
            boolean isUnresponsive = number == 7 && step >= 30 && step < 50;
            double load = isOverloaded ? 0.99 : 0.4 + 0.05 * (number % 4);
            int attempts = 30 + number;
            int failed = isUnresponsive ? attempts : isFailing ? 25 : isOverloaded ? 6 : 0;
            governor.reportStats(
                    "e-" + number, attempts, failed, isOverloaded ? 700 : 30 + number, load);
        }
        for (int proxy = 0; proxy < PROXIES; proxy++) {
            governor.controller.demandReported(proxy, proxy % 3, isOverloaded ? 90 : 25, 1000);
        }
    }

    /** Issues orders directly, for forms of updates that decisions rarely produce. */
    @Test
    void orderedUpdatesMatchTheRecording() throws IOException {
        VirtualGovernor governor = new VirtualGovernor(endpoint -> HealthCheckResult.OK);
        governor.applyList(VirtualGovernor.readyList(41, 6), ListOrigin.LAST_RUN);
        joinProxies(governor, 0, 4, true);
        governor.advance(STEP_MS);
        governor.decide();
        governor.advance(STEP_MS);
        new OrderScript(governor).run();
        WireRecording.check("platform/ordered-updates.out", governor.transcript.toString());
    }

    /** A table with more entries than one object holds is continued in a second object. */
    @Test
    void tableOfManyEntriesMatchesTheRecording() throws IOException {
        VirtualGovernor governor = new VirtualGovernor(endpoint -> HealthCheckResult.OK);
        governor.applyList(VirtualGovernor.readyList(41, MANY_ENDPOINTS), ListOrigin.LAST_RUN);
        governor.decide();
        governor.joinProxy(0, "north", 10, true);
        for (int step = 0; step < 60 && !governor.proxiesById.containsKey(0); step++) {
            governor.advance(STEP_MS);
            governor.decide();
        }
        governor.transcript.setLength(0);
        BitSet first = BitSet.valueOf(new long[] {1});
        governor.endpointsByUid.values().forEach(endpoint -> governor.setWeight(900, endpoint, 1));
        governor.bindProxy(900, governor.proxiesById.get(0), first);
        governor.writeUpdates();
        WireRecording.check("platform/many-lines.out", objectsByLine(governor.transcript));
    }

    /** Puts each endpoint of an object on a separate line. */
    private static String objectsByLine(StringBuilder transcript) {
        return transcript
                .toString()
                .lines()
                .map(line -> line.replace("],[", "],\n["))
                .collect(Collectors.joining("\n", "", "\n"));
    }

    /** A sequence of orders on tables that decisions do not use, batch by batch. */
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
            writeNumberFormats();
            writeAdmissions();
            writeSeveralTables();
            writeTableChanges();
            writeEjections();
            writeDepartures();
        }

        private void writeBatch(String title) {
            governor.transcript.append("== ").append(title).append('\n');
            governor.writeUpdates();
        }

        private Endpoint listedEndpoint(int number) {
            return governor.endpointsByUid.get("e-" + number);
        }

        private void setAdmission(
                int table, int classIndex, double admittedShare, int retryPolicy) {
            RequestClass requestClass = governor.requestClassesByIndex.get(classIndex);
            governor.setAdmission(table, requestClass, admittedShare, retryPolicy);
        }

        private void bind(int table, int proxy, BitSet classes) {
            governor.bindProxy(table, governor.proxiesById.get(proxy), classes);
        }

        private void writeNumberFormats() {
            double[] weights = {1.5, 2e7, 0.1 + 0.2, 33.3333335, 123456789.123456789, 0.000001};
            for (int i = 0; i < weights.length; i++) {
                governor.setWeight(WIDE, listedEndpoint(i + 1), weights[i]);
            }
            bind(WIDE, 0, ALL);
            writeBatch("a whole table, numbers of many kinds");
            governor.setWeight(WIDE, listedEndpoint(2), 0.9999999);
            governor.setWeight(WIDE, listedEndpoint(3), 1e-9);
            governor.requestAcknowledgement(0);
            writeBatch("changed lines and the least receipt");
        }

        private void writeAdmissions() {
            for (int classIndex = 0; classIndex < 3; classIndex++) {
                setAdmission(WIDE, classIndex, 0.75, 1);
            }
            writeBatch("one level for all classes");
            setAdmission(WIDE, 0, 0, 0);
            setAdmission(WIDE, 1, 1, 2);
            setAdmission(WIDE, 2, 0, 0);
            writeBatch("levels that differ, two of them alike");
            governor.setWeight(WIDE, listedEndpoint(1), 4);
            setAdmission(WIDE, 1, 0.333333333, 3);
            writeBatch("a line and the level of one class");
            bind(WIDE, 1, ALL);
            governor.requestAcknowledgement(59_999);
            writeBatch("a whole table with levels that differ");
        }

        private void writeSeveralTables() {
            governor.setWeight(NARROW, listedEndpoint(5), 7);
            setAdmission(NARROW, 1, 0.5, 1);
            setAdmission(NARROW, 2, 0.5, 1);
            bind(NARROW, 2, LAST_TWO);
            bind(WIDE, 2, FIRST);
            governor.requestAcknowledgement(12);
            writeBatch("two tables for one proxy");
            bind(NARROW, 0, FIRST);
            writeBatch("one class goes to a table without a level for it");
            bind(WIDE, 0, FIRST);
            writeBatch("and back");
        }

        private void writeTableChanges() {
            governor.setWeight(WIDE, listedEndpoint(4), 0);
            governor.setWeight(NARROW, listedEndpoint(5), 8);
            governor.requestAcknowledgement(13);
            writeBatch("changes of two tables");
            governor.setWeight(NARROW, listedEndpoint(6), 2);
            governor.setWeight(NARROW, listedEndpoint(6), 0);
            writeBatch("a line that comes and goes in one moment");
            governor.clearTable(NARROW);
            writeBatch("a table is cleared");
            governor.clearTable(WIDE);
            governor.setWeight(WIDE, listedEndpoint(1), 3);
            governor.setWeight(WIDE, listedEndpoint(2), 3);
            governor.setWeight(WIDE, listedEndpoint(2), 0);
            writeBatch("a table is cleared and laid anew");
            writeBatch("nothing was ordered");
        }

        private void writeEjections() {
            governor.setEjected(listedEndpoint(1), true);
            governor.setEjected(listedEndpoint(6), true);
            writeBatch("withdrawals");
            governor.setEjected(listedEndpoint(1), false);
            writeBatch("one is let back in");
            governor.setEjected(listedEndpoint(1), true);
            governor.setEjected(listedEndpoint(1), false);
            writeBatch("out and back in one moment");
            governor.setWeight(WIDE, listedEndpoint(1), 5);
            setAdmission(WIDE, 0, 0.25, 0);
            governor.setEjected(listedEndpoint(1), true);
            governor.setEjected(listedEndpoint(6), false);
            governor.requestAcknowledgement(14);
            writeBatch("lines, a level, a withdrawal, a restoration and a receipt together");
        }

        private void writeDepartures() {
            governor.removeProxy(1);
            governor.setWeight(WIDE, listedEndpoint(1), 6);
            writeBatch("one proxy has left");
            governor.joinProxy(1, "south", 5, false);
            bind(WIDE, 1, ALL);
            writeBatch("it comes back with tables of elsewhere");
            governor.setEjected(listedEndpoint(1), false);
            governor.setEjected(listedEndpoint(3), true);
            writeBatch("and is told of withdrawals in any case");
            governor.applyList(
                    VirtualGovernor.list(42, false, VirtualGovernor.entry(1, "draining", 0)),
                    ListOrigin.DISCOVERY);
            governor.setWeight(WIDE, listedEndpoint(1), 9);
            governor.setWeight(WIDE, listedEndpoint(2), 9);
            bind(WIDE, 3, ALL);
            writeBatch("an endpoint that left enters no table");
        }
    }
}
