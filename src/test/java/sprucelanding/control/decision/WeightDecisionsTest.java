package sprucelanding.control.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.BitSet;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Weights follow the speed of the endpoints as far as load reports show it. */
class WeightDecisionsTest {
    @Test
    void weightsConvergeInProportionToSpeed() {
        FakeControllerHost host = FakeControllerHost.withEndpoints(6);
        host.runSeconds(
                30,
                () -> {
                    host.reportHealthy(6, 0.5, 10);
                    host.controller.endpointStatsReported(1, 10, 0, 200, Double.NaN);
                });
        assertEquals(2, host.weight(1) / host.weight(2), 0.5);
        assertTrue(
                host.messageCount < 31,
                "expected at most one message per second, sent " + host.messageCount);
    }

    @Test
    void implausibleReportsNeverLeadToImplausibleWeights() {
        FakeControllerHost host = FakeControllerHost.withEndpoints(4);
        host.runSeconds(
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
    void slowEndpointLosesWeightButIsNotEjectedForNoisyLoad() {
        FakeControllerHost host = FakeControllerHost.withEndpoints(6);
        host.runSeconds(4, () -> host.reportHealthy(6, 0.5, 10));
        host.runSeconds(
                6,
                () -> {
                    host.reportHealthy(5, 0.5, 10);
                    host.controller.endpointStatsReported(
                            6, 3, 0, 900, host.now % 2000 == 0 ? 1 : 0.85);
                });
        assertTrue(host.weight(6) > 0 && host.weight(6) < host.weight(1) / 2);
    }

    @Test
    void noEndpointLosesMostOfItsWeightNearSaturation() {
        FakeControllerHost host = FakeControllerHost.withEndpoints(6);
        host.runSeconds(4, () -> host.reportHealthy(6, 0.8, 10));
        host.runSeconds(
                12,
                () -> {
                    for (long id = 1; id <= 6; id++) {
                        host.controller.endpointStatsReported(id, 10, 0, 700, id <= 3 ? 1 : 0.85);
                    }
                    host.controller.demandReported(9, 0, 100, 1000);
                });
        for (long id = 1; id <= 6; id++) {
            assertTrue(host.weight(id) > host.weight(6) / 2, "weight of endpoint " + id);
        }
    }

    @Test
    void classWithFewEndpointsHasOwnTableAndOtherClassesLeaveThemCapacity() {
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
        host.decideAll();
        assertEquals(3, host.weightsByTable.get(1).size());
        host.runSeconds(20, () -> host.reportHealthy(6, 0.5, 10));
        assertTrue(host.weight(1) < host.weight(4) / 2);
        assertFalse(host.weightsByTable.get(1).containsKey(4L));
    }

    @Test
    void loadOfHealthCheckIsNotOverwrittenByOlderReport() {
        FakeControllerHost host = FakeControllerHost.withEndpoints(6);
        host.runSeconds(
                12,
                () -> {
                    for (long id = 1; id <= 6; id++) {
                        host.controller.healthCheckCompleted(id, HealthCheckResult.OK, 0.4);
                    }
                    host.reportHealthy(6, 0.99, 10);
                });
        assertEquals(1, host.admittedByClass.get(0));
    }

    @Test
    void moreThanSixtyFourClassesKindsAndZonesAreDistinguished() {
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
        host.decideAll();
        assertEquals(1, host.weightsByTable.get(5).size());
        assertTrue(host.weightsByTable.get(69).containsKey(2L));
        assertEquals(Set.of(5, 69), host.weightsByTable.keySet());
        assertEquals(70, host.orders.stream().filter("bind"::equals).count());
    }

    @Test
    void newEndpointIsSentBeforeOrdinaryWeightChanges() {
        FakeControllerHost host = FakeControllerHost.large(true, 20, 240);
        Runnable reportUnevenLoad =
                () -> {
                    for (long id = 1; id <= 20; id++) {
                        boolean loaded = (id + (long) (host.now / 3000)) % 3 == 0;
                        host.controller.endpointStatsReported(
                                id, loaded ? 5 : 25, 0, 200, loaded ? 0.9 : 0.45);
                    }
                };
        host.runSeconds(12, reportUnevenLoad);
        host.changeEndpoint(21, host.now - 1000, EndpointState.AVAILABLE);
        host.runSeconds(3, reportUnevenLoad);
        assertTrue(
                host.weight(21) > 0, "without ranking, the new endpoint would be sent after 5 s");
    }
}
