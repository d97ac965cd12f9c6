package sprucelanding.control.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.BitSet;
import java.util.TreeSet;
import org.junit.jupiter.api.Test;

/** Stories of what the module met, told to a host without a bench. */
class RoutingControllerTest {
    /** All replicas report the load, and settle as many tries a second. */
    private static void well(FakeControllerHost host, int replicas, double load, int attempts) {
        for (long id = 1; id <= replicas; id++) {
            host.controller.endpointStatsReported(id, attempts, 0, load < 1 ? 200 : 700, load);
        }
        host.controller.demandReported(9, 0, 60, 1000);
        host.controller.demandReported(9, 1, 40, 1000);
    }

    @Test
    void linesAreLaidBeforeProxiesAreBound() {
        FakeControllerHost host = FakeControllerHost.ordinary(6);
        assertEquals(6, host.tables.get(0).size());
        assertEquals(3, host.boundClassesByProxy.get(9));
        assertEquals(6, host.orders.indexOf("bind"));
    }

    @Test
    void weightComesOutAsSpeed() {
        FakeControllerHost host = FakeControllerHost.ordinary(6);
        host.run(
                30,
                () -> {
                    well(host, 6, 0.5, 10);
                    host.controller.endpointStatsReported(1, 10, 0, 200, Double.NaN);
                });
        assertEquals(2, host.weight(1) / host.weight(2), 0.5);
        assertTrue(host.messages < 31, "one message a turn at most, for " + host.messages);
    }

    @Test
    void oddReportsNeverGiveOddWeights() {
        FakeControllerHost host = FakeControllerHost.ordinary(4);
        host.run(
                20,
                () -> {
                    host.controller.endpointStatsReported(1, 0, 0, 0, 0);
                    host.controller.endpointStatsReported(2, 5, 9, -3, Double.NaN);
                    host.controller.endpointStatsReported(3, -4, -9, 1e12, -1);
                    host.controller.endpointStatsReported(4, 1, 0, Double.MAX_VALUE, 1e300);
                    host.controller.endpointStatsReported(77, 1, 0, 1, 1);
                    host.controller.demandReported(9, 5, 1, 1000);
                    host.controller.demandReported(9, 0, -1, -1000);
                    host.controller.healthCheckCompleted(78, HealthCheckResult.OK, 0.5);
                });
        assertTrue(host.weight(1) > 0);
    }

    @Test
    void drainingAndGoneReplicasLeaveAtOnce() {
        FakeControllerHost host = FakeControllerHost.ordinary(4);
        host.changeEndpoint(1, 0, EndpointState.DRAINING);
        assertEquals(0, host.weight(1));
        host.controller.endpointListStarted(true, false);
        host.controller.endpointListed(3, 0, 0, 1, 0, EndpointState.AVAILABLE);
        host.controller.endpointListCompleted();
        host.settle();
        assertEquals(0, host.weight(2));
        assertTrue(host.weight(3) > 0);
    }

    @Test
    void aRestartedReplicaComesInSlowly() {
        FakeControllerHost host = FakeControllerHost.ordinary(6);
        host.run(5, () -> well(host, 6, 0.5, 10));
        double before = host.weight(1);
        host.changeEndpoint(1, host.now, EndpointState.AVAILABLE);
        assertTrue(host.weight(1) <= before / 8);
        host.run(2, () -> well(host, 6, 0.5, 10));
        assertTrue(host.weight(1) <= before / 3);
    }

    @Test
    void refusedProbesTakeOneOutAndTwoAnswersBringItBackAtATenth() {
        FakeControllerHost host = FakeControllerHost.ordinary(6);
        host.run(3, () -> well(host, 6, 0.5, 10));
        host.failingChecks.put(2L, HealthCheckResult.UNREACHABLE);
        host.run(2, () -> well(host, 6, 0.5, 10));
        assertEquals(0, host.weight(2));
        host.failingChecks.clear();
        host.run(4, () -> well(host, 6, 0.5, 10));
        assertTrue(host.weight(2) > 0 && host.weight(2) < host.weight(3) / 2);
    }

    @Test
    void aSilentZoneGoesOutTogether() {
        FakeControllerHost host = FakeControllerHost.ordinary(9);
        host.run(3, () -> well(host, 9, 0.73, 10));
        for (long id = 1; id <= 9; id += 3) {
            host.failingChecks.put(id, HealthCheckResult.TIMED_OUT);
        }
        host.run(3, () -> well(host, 9, 0.73, 10));
        assertEquals(0, host.weight(1) + host.weight(4) + host.weight(7));
        assertTrue(host.logged("nor from its zone"));
    }

    @Test
    void silenceHereAndThereIsFullQueuesNotSickness() {
        FakeControllerHost host = FakeControllerHost.ordinary(9);
        host.run(3, () -> well(host, 9, 0.7, 10));
        for (long id : new long[] {1, 2, 3, 4, 5}) {
            host.failingChecks.put(id, HealthCheckResult.TIMED_OUT);
        }
        host.run(6, () -> well(host, 9, Double.NaN, 10));
        for (long id = 1; id <= 9; id++) {
            assertTrue(host.weight(id) > 0, "replica " + id);
        }
    }

    @Test
    void whenNobodyAnswersAQuarterStays() {
        FakeControllerHost host = FakeControllerHost.ordinary(8);
        for (long id = 1; id <= 8; id++) {
            host.failingChecks.put(id, HealthCheckResult.UNREACHABLE);
        }
        host.run(10, () -> {});
        assertTrue(host.tables.get(0).values().stream().filter(w -> w > 0).count() >= 2);
        assertFalse(host.logged("back to the list"));
    }

    @Test
    void theLastListedReplicaComesBackWhenTheOthersDrain() {
        FakeControllerHost host = FakeControllerHost.ordinary(3);
        host.failingChecks.put(1L, HealthCheckResult.UNREACHABLE);
        host.run(4, () -> {});
        assertEquals(0, host.weight(1));
        host.changeEndpoint(2, 0, EndpointState.DRAINING);
        host.changeEndpoint(3, 0, EndpointState.DRAINING);
        assertTrue(host.weight(1) > 0);
        assertTrue(host.logged("back to the list"));
    }

    @Test
    void aQuickFailerAtLowLoadLosesItsLine() {
        FakeControllerHost host = FakeControllerHost.ordinary(6);
        host.run(4, () -> well(host, 6, 0.5, 10));
        host.run(
                3,
                () -> {
                    well(host, 5, 0.5, 10);
                    host.controller.endpointStatsReported(6, 30, 24, 5, 0.05);
                });
        assertEquals(0, host.weight(6));
        assertTrue(host.logged("voided"));
    }

    @Test
    void aSlowReplicaShrinksButNoisyLoadsDoNotZero() {
        FakeControllerHost host = FakeControllerHost.ordinary(6);
        host.run(4, () -> well(host, 6, 0.5, 10));
        host.run(
                6,
                () -> {
                    well(host, 5, 0.5, 10);
                    host.controller.endpointStatsReported(
                            6, 3, 0, 900, host.now % 2000 == 0 ? 1 : 0.85);
                });
        assertTrue(host.weight(6) > 0 && host.weight(6) < host.weight(1) / 2);
    }

    @Test
    void overloadDeclinesTheCheapProductAndStopsFurtherTries() {
        FakeControllerHost host = FakeControllerHost.ordinary(6);
        host.run(4, () -> well(host, 6, 0.6, 10));
        assertEquals(ControllerOutput.RETRY_IF_NOT_EXECUTED, host.retryPolicyByClass.get(1));
        host.run(6, () -> well(host, 6, 1, 10));
        assertTrue(host.admittedByClass.get(0) < 0.9);
        assertTrue(host.admittedByClass.get(1) > 2 * host.admittedByClass.get(0));
        assertEquals(ControllerOutput.RETRY_NEVER, host.retryPolicyByClass.get(0));
        host.run(20, () -> well(host, 6, 0.4, 10));
        assertEquals(1, host.admittedByClass.get(0));
        assertTrue(host.logged("declining") && host.logged("all let in"));
    }

    @Test
    void aRateSparesProxiesWithLittle() {
        FakeControllerHost host =
                new FakeControllerHost(
                        AdmissionMode.RATE, 0, FakeControllerHost.requestClass(0, true, 1));
        host.controller.configureEndpointList(true, false, 0.2, 16_000);
        host.listEndpoints(true, 4);
        host.controller.proxyJoined(1, 0, 90, true);
        host.controller.proxyJoined(2, 0, 10, true);
        host.settle();
        assertTrue(host.admittedByClass.get(0) > 1000);
        host.run(
                5,
                () -> {
                    for (long id = 1; id <= 4; id++) {
                        host.controller.endpointStatsReported(id, 25, 0, 700, 1);
                    }
                    host.controller.demandReported(1, 0, 90, 1000);
                    host.controller.demandReported(2, 0, 10, 1000);
                });
        assertTrue(host.admittedByClass.get(0) >= 10 && host.admittedByClass.get(0) < 85);
    }

    @Test
    void theMessageCapHoldsWhateverHappens() {
        FakeControllerHost host = capped();
        flutter(host, 40);
        assertTrue(host.messages > 3 && host.messages <= 12, "messages " + host.messages);
    }

    private static FakeControllerHost capped() {
        FakeControllerHost host =
                new FakeControllerHost(
                        AdmissionMode.SHARE, 12, FakeControllerHost.requestClass(0, true, 1));
        host.controller.configureEndpointList(true, false, 0.2, 16_000);
        host.listEndpoints(true, 9);
        host.controller.proxyJoined(9, 0, 100, true);
        host.settle();
        return host;
    }

    /** A replica drains and is back again, four times a second. */
    private static void flutter(FakeControllerHost host, int times) {
        for (int i = 0; i < times; i++) {
            host.now += 250;
            host.controller.setTime(host.now);
            host.changeEndpoint(
                    9, 0, i % 2 == 0 ? EndpointState.DRAINING : EndpointState.AVAILABLE);
            host.controller.healthCheckCompleted(9, HealthCheckResult.OK, Double.NaN);
            host.controller.timerFired(1);
            host.settle();
        }
    }

    @Test
    void aListThatMustBeAskedIsAskedAgainAfterAFailure() {
        FakeControllerHost host =
                new FakeControllerHost(
                        AdmissionMode.NONE, 0, FakeControllerHost.requestClass(0, true, 1));
        host.controller.configureEndpointList(false, false, 0.2, 16_000);
        host.listEndpoints(true, 3);
        host.settle();
        assertEquals(1, host.endpointListWatches);
        host.controller.endpointListFailed();
        host.run(2, () -> {});
        assertEquals(2, host.endpointListWatches);
    }

    @Test
    void aProductOpenToFewHasItsTableAndTheOthersLeaveRoom() {
        FakeControllerHost host =
                new FakeControllerHost(
                        AdmissionMode.SHARE,
                        0,
                        FakeControllerHost.requestClass(0, true, 1),
                        new RequestClass(
                                1,
                                false,
                                3,
                                600,
                                BitSet.valueOf(new long[] {2}),
                                new BitSet(),
                                false));
        host.controller.configureEndpointList(true, false, 0.2, 16_000);
        host.controller.endpointListStarted(true, true);
        for (long id = 1; id <= 6; id++) {
            host.controller.endpointListed(id, 0, id <= 3 ? 1 : 0, 1, 0, EndpointState.AVAILABLE);
        }
        host.controller.endpointListCompleted();
        host.controller.proxyJoined(9, 0, 100, true);
        host.settle();
        assertEquals(3, host.tables.get(1).size());
        host.run(20, () -> well(host, 6, 0.5, 10));
        assertTrue(host.weight(1) < host.weight(4) / 2);
        assertFalse(host.tables.get(1).containsKey(4L));
    }

    @Test
    void aGovernorThatStartsAnewEasesInWhatJustStarted() {
        FakeControllerHost host =
                new FakeControllerHost(
                        AdmissionMode.SHARE, 0, FakeControllerHost.requestClass(0, true, 1));
        host.controller.configureEndpointList(true, false, 0.2, 16_000);
        host.controller.endpointListStarted(true, true);
        host.controller.endpointListed(1, 0, 0, 1, host.now - 10_000, EndpointState.AVAILABLE);
        host.controller.endpointListed(2, 0, 0, 1, 0, EndpointState.AVAILABLE);
        host.controller.endpointListCompleted();
        host.controller.proxyJoined(9, 0, 100, true);
        host.settle();
        assertTrue(host.weight(1) > 0 && host.weight(1) < 0.8 * host.weight(2));
    }

    @Test
    void aGovernorThatStartsAnewLooksBeforeItTakesOverTheProxies() {
        FakeControllerHost host =
                new FakeControllerHost(
                        AdmissionMode.SHARE, 0, FakeControllerHost.requestClass(0, true, 1));
        host.controller.configureEndpointList(true, false, 0.2, 16_000);
        host.listEndpoints(true, 4);
        host.controller.proxyJoined(5, 0, 100, false);
        host.controller.proxyJoined(6, 0, 100, true);
        host.settle();
        assertFalse(host.boundClassesByProxy.containsKey(5));
        assertTrue(host.boundClassesByProxy.containsKey(6));
        assertEquals(ControllerOutput.RETRY_NEVER, host.retryPolicyByClass.get(0));
        host.run(2, () -> {});
        assertTrue(host.boundClassesByProxy.containsKey(5));
    }

    @Test
    void coldReplicasWaitOutAJamAndTheViewOfNewProxies() {
        FakeControllerHost host = FakeControllerHost.ordinary(6);
        host.run(5, () -> well(host, 6, 0.5, 10));
        host.run(
                2,
                () -> {
                    for (long id = 1; id <= 6; id++) {
                        host.controller.endpointStatsReported(id, 20, 12, 700, 1);
                    }
                });
        host.changeEndpoint(1, host.now, EndpointState.AVAILABLE);
        assertEquals(0, host.weight(1));
        host.run(6, () -> well(host, 6, 0.5, 10));
        assertTrue(host.weight(1) > 0);
        host.controller.proxyJoined(10, 0, 50, false);
        host.run(1, () -> well(host, 6, 0.5, 10));
        assertEquals(0, host.weight(1));
    }

    @Test
    void aFewProxiesThatComeAgainAndAgainDoNotHoldColdReplicasBack() {
        FakeControllerHost host = FakeControllerHost.ordinary(6);
        host.controller.proxyJoined(10, 0, 5, true);
        host.run(5, () -> well(host, 6, 0.5, 10));
        host.changeEndpoint(1, host.now, EndpointState.AVAILABLE);
        host.run(
                3,
                () -> {
                    host.controller.proxyJoined(10, 0, 5, false);
                    well(host, 6, 0.5, 10);
                });
        assertTrue(host.weight(1) > 0);
    }

    @Test
    void aReplicaThatStartedStartsAtWhatItCanDoAndOneThatWasOutAtATenth() {
        FakeControllerHost host =
                new FakeControllerHost(
                        AdmissionMode.SHARE,
                        0,
                        FakeControllerHost.requestClass(0, true, 1),
                        FakeControllerHost.requestClass(1, false, 2));
        host.controller.configureEndpointList(true, false, 0.8, 1000);
        host.listEndpoints(true, 6);
        host.controller.proxyJoined(9, 0, 100, true);
        host.settle();
        host.run(5, () -> well(host, 6, 0.5, 10));
        host.changeEndpoint(1, host.now, EndpointState.AVAILABLE);
        host.run(2, () -> well(host, 6, 0.5, 10));
        assertTrue(
                host.weight(1) > 0.7 * host.weight(2),
                "new at " + host.weight(1) + " beside " + host.weight(2));
        host.run(
                4,
                () -> {
                    well(host, 6, 0.5, 10);
                    host.controller.endpointStatsReported(3, 60, 60, 0, 0.5);
                });
        assertEquals(0, host.weight(3));
        for (int second = 0; host.weight(3) == 0 && second < 10; second++) {
            host.run(1, () -> well(host, 6, 0.5, 10));
        }
        assertTrue(
                host.weight(3) > 0 && host.weight(3) < 0.3 * host.weight(2),
                "back at " + host.weight(3));
    }

    @Test
    void whatComesAsOthersLeaveIsForeseenToo() {
        FakeControllerHost host =
                new FakeControllerHost(
                        AdmissionMode.SHARE,
                        0,
                        FakeControllerHost.requestClass(0, true, 1),
                        FakeControllerHost.requestClass(1, false, 2));
        host.controller.configureEndpointList(true, false, 0.9, 1000);
        host.listEndpoints(true, 8);
        host.controller.proxyJoined(9, 0, 100, true);
        host.settle();
        host.run(8, () -> well(host, 8, 0.65, 10));
        for (long id = 9; id <= 13; id++) {
            host.changeEndpoint(id, host.now - 2000, EndpointState.AVAILABLE);
        }
        host.run(2, () -> well(host, 8, 0.65, 10));
        assertTrue(host.weight(13) > 0);
        for (long id = 1; id <= 5; id++) {
            host.changeEndpoint(id, 0, EndpointState.DRAINING);
        }
        host.run(3, () -> well(host, 13, 0.65, 10));
        assertFalse(host.logged("declining"), host.log.toString());
    }

    @Test
    void nearSaturationNoReplicaIsZeroedOrStarved() {
        FakeControllerHost host = FakeControllerHost.ordinary(6);
        host.run(4, () -> well(host, 6, 0.8, 10));
        host.run(
                12,
                () -> {
                    for (long id = 1; id <= 6; id++) {
                        host.controller.endpointStatsReported(id, 10, 0, 700, id <= 3 ? 1 : 0.85);
                    }
                    host.controller.demandReported(9, 0, 100, 1000);
                });
        for (long id = 1; id <= 6; id++) {
            assertTrue(host.weight(id) > host.weight(6) / 2, "replica " + id);
        }
    }

    @Test
    void twoSilentZonesOfThreeAreACutSeenFromInside() {
        FakeControllerHost host = FakeControllerHost.ordinary(9);
        host.run(3, () -> well(host, 9, 0.5, 10));
        for (long id : new long[] {1, 2, 4, 5, 7, 8}) {
            host.failingChecks.put(id, HealthCheckResult.TIMED_OUT);
        }
        host.run(3, () -> well(host, 9, 0.5, 10));
        assertEquals(0, host.weight(1) + host.weight(5) + host.weight(8));
        assertTrue(host.weight(3) > 0);
    }

    @Test
    void theLossOfHalfTheFleetIsForeseenBeforeTheLoadShows() {
        FakeControllerHost host = FakeControllerHost.ordinary(8);
        host.run(6, () -> well(host, 8, 0.65, 10));
        for (long id = 1; id <= 4; id++) {
            host.controller.endpointListStarted(false, false);
            host.controller.endpointListed(id, (int) (id % 3), 0, 1, 0, EndpointState.DRAINING);
            host.controller.endpointListCompleted();
        }
        host.run(2, () -> well(host, 8, 0.65, 10));
        assertTrue(host.admittedByClass.get(0) < 0.9);
    }

    @Test
    void aProbesLoadIsNotOverwrittenByOlderSums() {
        FakeControllerHost host = FakeControllerHost.ordinary(6);
        host.run(
                12,
                () -> {
                    for (long id = 1; id <= 6; id++) {
                        host.controller.healthCheckCompleted(id, HealthCheckResult.OK, 0.4);
                    }
                    well(host, 6, 0.99, 10);
                });
        assertEquals(1, host.admittedByClass.get(0));
    }

    @Test
    void aFleetThatIsColdByHalfDoesNotWait() {
        FakeControllerHost host = FakeControllerHost.ordinary(6);
        host.run(5, () -> well(host, 6, 0.5, 10));
        for (long id = 1; id <= 4; id++) {
            host.changeEndpoint(id, host.now - 1, EndpointState.AVAILABLE);
        }
        host.run(
                3,
                () -> {
                    for (long id = 1; id <= 6; id++) {
                        host.controller.endpointStatsReported(id, 20, 12, 700, 1);
                    }
                });
        for (long id = 1; id <= 4; id++) {
            assertTrue(host.weight(id) > 0, "replica " + id);
        }
    }

    @Test
    void levelsGetThroughWhenCutsHaveUsedTheOrdinaryMessages() {
        FakeControllerHost host = capped();
        host.run(2, () -> well(host, 9, 0.6, 10));
        flutter(host, 12);
        host.run(3, () -> well(host, 9, 1, 10));
        assertTrue(host.admittedByClass.get(0) < 0.9);
    }

    /**
     * A site where a drop from the list does not bind, after its list lost replicas 1 to 3 of 6.
     */
    private static FakeControllerHost shrunk(long silent, long draining) {
        FakeControllerHost host = FakeControllerHost.ordinary(6);
        host.controller.configureEndpointList(true, true, 0.2, 16_000);
        host.run(5, () -> well(host, 6, 0.5, 10));
        if (silent > 0) {
            host.failingChecks.put(silent, HealthCheckResult.UNREACHABLE);
        }
        if (draining > 0) {
            host.changeEndpoint(draining, 0, EndpointState.DRAINING);
        }
        host.controller.endpointListStarted(true, false);
        for (long id = 4; id <= 6; id++) {
            host.controller.endpointListed(id, (int) (id % 3), 0, 1, 0, EndpointState.AVAILABLE);
        }
        host.controller.endpointListCompleted();
        host.run(4, () -> well(host, 6, 0.5, 10));
        return host;
    }

    @Test
    void aServerThatAWrongListDropsKeepsItsLineWhileItAnswers() {
        FakeControllerHost host = shrunk(2, 3);
        assertTrue(host.weight(1) > host.weight(4) / 2);
        assertEquals(0, host.weight(2), "it answers no more");
        assertEquals(0, host.weight(3), "it drained");
    }

    @Test
    void aStrangerOnTheListGetsNoLineBeforeItAnswers() {
        FakeControllerHost host = FakeControllerHost.ordinary(6);
        host.failingChecks.put(7L, HealthCheckResult.ERROR);
        host.changeEndpoint(7, 0, EndpointState.AVAILABLE);
        host.changeEndpoint(8, 0, EndpointState.AVAILABLE);
        host.run(4, () -> well(host, 6, 0.5, 10));
        assertEquals(0, host.weight(7));
        assertTrue(host.weight(8) > 0);
    }

    @Test
    void removalsFindRoomThoughTheChannelIsBusyWithBinds() {
        FakeControllerHost host = FakeControllerHost.large(false, 120, 100);
        host.run(3, () -> well(host, 120, 0.5, 10));
        assertTrue(host.boundClassesByProxy.size() < 100);
        host.controller.endpointListStarted(false, false);
        for (long id = 1; id <= 6; id++) {
            host.controller.endpointListed(id, 0, 0, 1, 0, EndpointState.GONE);
        }
        host.controller.endpointListCompleted();
        host.settle();
        for (long id = 1; id <= 6; id++) {
            assertTrue(host.orders.contains("bar " + id), "for those not yet bound as well: " + id);
        }
        host.changeEndpoint(1, host.now, EndpointState.AVAILABLE);
        assertTrue(host.orders.contains("lift 1"));
    }

    @Test
    void levelsGetThroughWhileProxiesAreStillBeingBound() {
        FakeControllerHost host = FakeControllerHost.large(false, 120, 100);
        host.run(5, () -> well(host, 120, 1, 10));
        assertTrue(host.boundClassesByProxy.size() < 100);
        assertTrue(host.admittedByClass.get(0) < 0.9);
    }

    @Test
    void receiptsOpenTheChannelSooner() {
        FakeControllerHost slow = FakeControllerHost.large(false, 120, 180);
        FakeControllerHost quick = FakeControllerHost.large(true, 120, 180);
        slow.run(4, () -> {});
        quick.run(4, () -> {});
        assertTrue(
                quick.boundClassesByProxy.size() > 1.5 * slow.boundClassesByProxy.size(),
                quick.boundClassesByProxy.size() + ", " + slow.boundClassesByProxy.size());
    }

    @Test
    void aLineThatBringsAServerInGoesBeforeThoseThatOnlyMoveWeight() {
        FakeControllerHost host = FakeControllerHost.large(true, 20, 240);
        Runnable uneven =
                () -> {
                    for (long id = 1; id <= 20; id++) {
                        boolean loaded = (id + (long) (host.now / 3000)) % 3 == 0;
                        host.controller.endpointStatsReported(
                                id, loaded ? 5 : 25, 0, 200, loaded ? 0.9 : 0.45);
                    }
                };
        host.run(12, uneven);
        host.changeEndpoint(21, host.now - 1000, EndpointState.AVAILABLE);
        host.run(3, uneven);
        assertTrue(host.weight(21) > 0, "five seconds without the order of ranks");
    }

    @Test
    void whenConnectionsRunShortProxiesShareTablesOfFewServers() {
        FakeControllerHost host = FakeControllerHost.large(true, 30, 24);
        host.run(10, () -> well(host, 30, 0.4, 10));
        host.run(
                10,
                () -> {
                    for (long id = 1; id <= 30; id++) {
                        host.controller.endpointStatsReported(id, 10, 7, 200, 0.4);
                    }
                });
        assertTrue(host.logged("tables of few"));
        assertTrue(new TreeSet<>(host.tableByProxy.values()).size() > 5);
        for (int place : host.tableByProxy.values()) {
            assertTrue(host.tables.get(place).size() >= 3 && host.tables.get(place).size() < 20);
        }
        host.run(90, () -> well(host, 30, 0.4, 10));
        assertTrue(host.logged("tables whole"));
        assertEquals(1, new TreeSet<>(host.tableByProxy.values()).size());
        assertEquals(30, host.tables.get(host.tableByProxy.get(0)).size());
        assertEquals(1, host.tables.size(), "what nobody goes by is cleared");
    }

    @Test
    void whereMessagesAreCappedOrdinaryOnesAreSpreadEvenly() {
        FakeControllerHost host = capped();
        int longest = 0;
        int still = 0;
        for (int second = 0; second < 30; second++) {
            int before = host.messages;
            host.changeEndpoint(10 + second, 0, EndpointState.AVAILABLE);
            host.run(1, () -> well(host, 9, 0.5, 10));
            still = host.messages == before ? still + 1 : 0;
            longest = Math.max(longest, still);
        }
        assertTrue(longest < 3, "nothing was ordered for " + longest + " turns");
    }

    @Test
    void productsKindsAndZonesPastAWordDoNotWrap() {
        RequestClass[] requestClasses = new RequestClass[70];
        for (int k = 0; k < requestClasses.length; k++) {
            BitSet kinds = new BitSet();
            kinds.set(k);
            requestClasses[k] = new RequestClass(k, true, 1, 800, kinds, new BitSet(), false);
        }
        FakeControllerHost host = new FakeControllerHost(AdmissionMode.SHARE, 0, requestClasses);
        host.controller.configureEndpointList(true, false, 0.2, 16_000);
        host.controller.endpointListStarted(true, true);
        host.controller.endpointListed(1, 68, 5, 1, 0, EndpointState.AVAILABLE);
        host.controller.endpointListed(2, 69, 69, 1, 0, EndpointState.AVAILABLE);
        host.controller.endpointListCompleted();
        host.controller.proxyJoined(9, 68, 100, true);
        host.settle();
        assertEquals(1, host.tables.get(5).size());
        assertTrue(host.tables.get(69).containsKey(2L));
        assertFalse(host.tables.containsKey(68));
        assertEquals(2, host.orders.stream().filter("bind"::equals).count());
    }

    @Test
    void aTableThatLostMostOfItsLinesIsFilledAtOnceAndNotByOneLine() {
        FakeControllerHost host = FakeControllerHost.large(true, 20, 100);
        host.run(2, () -> well(host, 40, 0.5, 10));
        host.controller.endpointListStarted(false, false);
        for (long id = 1; id <= 40; id++) {
            host.controller.endpointListed(
                    id, 0, 0, 1, 0, id <= 38 ? EndpointState.GONE : EndpointState.AVAILABLE);
            host.controller.endpointListed(id + 40, 0, 0, 1, 0, EndpointState.AVAILABLE);
        }
        host.controller.endpointListCompleted();
        host.run(3, () -> well(host, 80, 0.5, 10));
        long laid = host.tables.get(0).values().stream().filter(w -> w > 0).count();
        assertTrue(laid > 15, "lines laid: " + laid);
    }

    @Test
    void aReplicaThatKeepsFallingSilentEarnsTrustMoreSlowly() {
        FakeControllerHost host = FakeControllerHost.ordinary(6);
        host.run(3, () -> well(host, 6, 0.5, 10));
        int back = 0;
        for (int turn = 0; turn < 5; turn++) {
            host.failingChecks.put(2L, HealthCheckResult.UNREACHABLE);
            host.run(3, () -> well(host, 5, 0.5, 10));
            host.failingChecks.clear();
            host.run(6, () -> well(host, 5, 0.5, 10));
            back += host.weight(2) > 0 ? 1 : 0;
        }
        assertTrue(back > 0 && back < 5, "back in time " + back + " of five times");
    }

    @Test
    void proxiesThatJoinAfterAWithdrawalGetItAnew() {
        FakeControllerHost host = FakeControllerHost.large(true, 20, 100);
        host.run(3, () -> well(host, 20, 0.5, 10));
        host.changeEndpoint(3, 0, EndpointState.GONE);
        host.run(1, () -> well(host, 20, 0.5, 10));
        host.orders.clear();
        for (int id = 100; id < 180; id++) { // another governor died: its proxies hold its tables
            host.controller.proxyJoined(id, 0, 10, false);
        }
        host.settle();
        assertTrue(host.orders.contains("bar 3"), "withdrawn for those that joined");
        host.changeEndpoint(3, host.now, EndpointState.AVAILABLE);
        host.run(2, () -> well(host, 20, 0.5, 10));
        assertTrue(host.orders.contains("lift 3"), "and let back in when it is listed again");
    }

    @Test
    void replicasLongGoneAreForgotten() {
        FakeControllerHost host = FakeControllerHost.ordinary(6);
        for (long id = 7; id < 107; id++) {
            host.changeEndpoint(id, host.now, EndpointState.AVAILABLE);
            host.changeEndpoint(id - 6, 0, EndpointState.GONE);
            host.run(2, () -> well(host, 6, 0.5, 10));
        }
        assertTrue(
                host.controller.knownEndpoints() < 45,
                "it knows " + host.controller.knownEndpoints());
        assertEquals(
                6, host.tables.get(0).values().stream().filter(weight -> weight > 0).count(), 1);
    }

    /**
     * Proxies that a channel of 3 lines a ms cannot lay whole tables of 200 for within a grace of 4
     * s.
     */
    private static FakeControllerHost crowded() {
        FakeControllerHost host =
                new FakeControllerHost(
                        AdmissionMode.SHARE,
                        0,
                        FakeControllerHost.requestClass(0, true, 1),
                        FakeControllerHost.requestClass(1, false, 2));
        host.acknowledgesMessages = true;
        host.controller.configureEndpointList(true, false, 0.2, 16_000);
        host.controller.configureFleet(300, 5, 4000, 800);
        host.listEndpoints(true, 200);
        for (int id = 0; id < 120; id++) {
            host.controller.proxyJoined(id, 0, 10, false);
        }
        host.settle();
        host.run(5, () -> well(host, 200, 0.5, 10));
        return host;
    }

    private static void eachListedReplicaIsInATableOfSome(
            FakeControllerHost host, long from, long to) {
        TreeSet<Long> held = new TreeSet<>();
        for (int place : new TreeSet<>(host.tableByProxy.values())) {
            long lines = host.tables.get(place).values().stream().filter(w -> w > 0).count();
            assertTrue(lines >= 16 && lines < 100, lines + " lines in a table");
            host.tables
                    .get(place)
                    .forEach(
                            (id, weight) -> {
                                if (weight > 0) {
                                    held.add(id);
                                }
                            });
        }
        assertEquals(to - from + 1, held.size());
        assertEquals(from, held.first());
        assertEquals(to, held.last());
    }

    @Test
    void whereWholeTablesCannotReachAllWithinTheGraceEachProxyGoesByAPart() {
        FakeControllerHost host = crowded();
        assertEquals(120, host.boundClassesByProxy.size(), "all are bound, whatever they brought");
        eachListedReplicaIsInATableOfSome(host, 1, 200);
        int tables = new TreeSet<>(host.tableByProxy.values()).size();
        assertTrue(tables > 8, tables + " parts");
        for (int place : host.tableByProxy.values()) {
            long users = host.tableByProxy.values().stream().filter(p -> p == place).count();
            assertTrue(users <= 120 / tables + 1, users + " of 120 proxies on one of " + tables);
        }
    }

    @Test
    void aProxyThatJoinsPartsGoesWhereTheLeastTrafficIs() {
        FakeControllerHost host = crowded();
        host.controller.proxyLeft(50);
        int place = host.tableByProxy.remove(50);
        host.controller.proxyJoined(200, 1, 10, true);
        host.run(2, () -> well(host, 200, 0.5, 10));
        assertEquals(place, host.tableByProxy.get(200));
    }

    @Test
    void partsTakeNewServersForThoseThatLeft() {
        FakeControllerHost host = crowded();
        for (int step = 0; step < 10; step++) {
            host.controller.endpointListStarted(false, false);
            for (long id = 1 + 12 * step; id <= 12 + 12 * step; id++) {
                host.controller.endpointListed(id, (int) (id % 3), 0, 1, 0, EndpointState.DRAINING);
                host.controller.endpointListed(
                        200 + id, (int) (id % 3), 0, 1, host.now, EndpointState.AVAILABLE);
            }
            host.controller.endpointListCompleted();
            host.settle();
            host.run(1, () -> well(host, 320, 0.5, 10));
        }
        host.run(20, () -> well(host, 320, 0.5, 10));
        eachListedReplicaIsInATableOfSome(host, 121, 320);
    }

    @Test
    void aChannelThatHardlyMovesIsNotFilledFurther() {
        FakeControllerHost host = FakeControllerHost.large(false, 120, 180);
        int atOnce = host.boundClassesByProxy.size();
        for (int tenth = 0;
                tenth < 100;
                tenth++) { // the first of its messages is still being confirmed
            host.controller.acknowledged(1);
            host.run(1, () -> well(host, 120, 0.5, 10));
            assertTrue(
                    host.controller.queuedLines() <= 5000,
                    host.controller.queuedLines() + " lines wait");
        }
        assertTrue(
                host.boundClassesByProxy.size() < atOnce + 25,
                host.boundClassesByProxy.size() + " bound, " + atOnce + " at once");
    }

    @Test
    void aChannelSeenToRunSlowlyGetsShortQueues() {
        FakeControllerHost host = FakeControllerHost.large(false, 120, 180);
        for (int second = 0; second < 6; second++) { // only receipts of something older come
            host.controller.acknowledged(0);
            host.run(1, () -> well(host, 120, 0.5, 10));
        }
        for (int proxy = 0; proxy < 180; proxy++) {
            host.controller.acknowledged(host.lastAcknowledgementRequest);
        }
        host.settle();
        assertTrue(host.boundClassesByProxy.size() < 180, "some still wait for their table");
        assertTrue(
                host.controller.queuedLines() < 1000,
                host.controller.queuedLines() + " lines at once into a channel that hardly moved");
    }

    @Test
    void whereMostServersAreColdTheyStillGetTheirShareBesideTheWarm() {
        FakeControllerHost host =
                new FakeControllerHost(
                        AdmissionMode.SHARE,
                        0,
                        FakeControllerHost.requestClass(0, true, 1),
                        FakeControllerHost.requestClass(1, false, 2));
        host.acknowledgesMessages = true;
        host.controller.configureEndpointList(true, false, 0.4, 16_000);
        host.listEndpoints(true, 10);
        host.controller.proxyJoined(9, 0, 100, true);
        host.settle();
        host.run(10, () -> well(host, 10, 0.5, 10));
        double started = host.now;
        for (long id = 1; id <= 6; id++) {
            host.changeEndpoint(id, started, EndpointState.AVAILABLE);
        }
        host.run(6, () -> well(host, 10, 0.5, 10));
        double share = 0.4 + 0.6 * (host.now - started) / 16_000;
        assertTrue(
                host.weight(1) > 0.8 * share * host.weight(8),
                host.weight(1) + " beside " + host.weight(8) + ", can do " + share);
    }
}
