package sprucelanding.control.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.BitSet;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Tables of endpoints that are warming up admit what these endpoints can serve. */
class WarmUpLimitDecisionsTest {
    private static final int ENDPOINTS = 12;
    private static final List<Long> LOST = List.of(1L, 4L, 7L, 10L);
    private static final double COLD_SHARE = 0.2;
    private static final double LOAD = 0.6;

    private static FakeControllerHost hostWithLostZone(double fallMultiple) {
        FakeControllerHost host =
                new FakeControllerHost(
                        AdmissionMode.SHARE,
                        0,
                        new RequestClass(0, true, 1, 800, new BitSet(), new BitSet(), true));
        host.controller.configureEndpointList(true, false, COLD_SHARE, 16_000);
        host.controller.configureWarmUpLimit(fallMultiple);
        host.listEndpoints(true, ENDPOINTS);
        host.controller.proxyJoined(9, 1, 60, true);
        host.decideAll();
        host.runSeconds(8, () -> host.reportHealthy(ENDPOINTS, LOAD, 15));
        LOST.forEach(id -> host.changeEndpoint(id, 0, EndpointState.GONE));
        host.runSeconds(5, () -> {});
        return host;
    }

    /** Guards against a level that follows the entry, or never comes. */
    @Test
    void levelComesWithTheFirstColdEndpointOfTheZone() {
        FakeControllerHost host = hostWithLostZone(3);
        assertEquals(1, host.admittedByClass.get(0));
        host.changeEndpoint(LOST.get(0), host.now, EndpointState.AVAILABLE);
        host.controller.healthCheckCompleted(LOST.get(0), HealthCheckResult.OK, Double.NaN);
        host.decideAll();
        assertTrue(host.weightsByTable.get(1).get(LOST.get(0)) > 0);
        double served = COLD_SHARE / (LOAD * LOST.size());
        assertEquals(served, host.admittedByClass.get(0), 0.1 * served);
    }

    /** Guards against a level that stays after the warm-up. */
    @Test
    void everythingIsAdmittedAgainAfterTheWarmUp() {
        FakeControllerHost host = hostWithLostZone(3);
        for (long id : LOST) {
            host.changeEndpoint(id, host.now, EndpointState.AVAILABLE);
        }
        host.runSeconds(2, () -> {});
        assertTrue(host.admittedByClass.get(0) < 0.6);
        host.runSeconds(18, () -> {});
        assertEquals(1, host.admittedByClass.get(0));
    }

    /** Guards against a limit where the site states that endpoints bear the load. */
    @Test
    void nothingIsLimitedBelowTheLoadAtWhichEndpointsFall() {
        FakeControllerHost host = hostWithLostZone(40);
        host.changeEndpoint(LOST.get(0), host.now, EndpointState.AVAILABLE);
        host.runSeconds(2, () -> {});
        assertEquals(1, host.admittedByClass.get(0));
    }
}
