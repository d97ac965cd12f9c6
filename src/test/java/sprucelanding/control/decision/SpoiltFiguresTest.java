package sprucelanding.control.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.BitSet;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Figures that are out of range never enter the state of the decisions. */
class SpoiltFiguresTest {
    /** Smallest positive interval: dividing a count by it gives an infinite rate. */
    private static final double DENORMAL_MS = 6.9e-310;

    private static final int ENDPOINTS = 9;

    /** Creates a host whose second request class has one table for each zone. */
    private static FakeControllerHost hostWithOwnZoneClass() {
        FakeControllerHost host =
                new FakeControllerHost(
                        AdmissionMode.SHARE,
                        0,
                        FakeControllerHost.requestClass(0, true, 1),
                        new RequestClass(1, false, 2, 800, new BitSet(), new BitSet(), true));
        host.controller.configureEndpointList(true, false, 0.2, 16_000);
        host.listEndpoints(true, ENDPOINTS);
        host.controller.proxyJoined(9, 0, 100, true);
        host.decideAll();
        return host;
    }

    /** Guards against a governor that hangs after one usage report with a denormal window. */
    @Test
    void demandReportOverDenormalIntervalIsIgnored() {
        FakeControllerHost host = hostWithOwnZoneClass();
        host.runSeconds(6, () -> host.reportHealthy(ENDPOINTS, 0.6, 10));
        host.controller.demandReported(9, 1, 8, DENORMAL_MS);
        host.runSeconds(12, () -> host.reportHealthy(ENDPOINTS, 0.78, 10));
        assertTrue(host.admittedByClass.get(0) < 1, "load above 75% is shed");
        assertEquals(1, host.admittedByClass.get(1), "the class with more revenue is admitted");
    }

    /** Guards against a governor that hangs when an idle proxy returns under load. */
    @Test
    void returnOfAnIdleProxyUnderLoadLeavesTheAdmittedSharesFinite() {
        FakeControllerHost host = hostWithOwnZoneClass();
        host.controller.proxyLeft(9);
        for (int proxy = 0; proxy < ENDPOINTS; proxy++) {
            host.controller.proxyJoined(proxy, 0, 0.0, true);
        }
        host.runSeconds(6, () -> host.reportHealthy(ENDPOINTS, 0.82, 10));
        host.controller.proxyLeft(1);
        host.runSeconds(2, () -> host.reportHealthy(ENDPOINTS, 0.82, 10));
        host.controller.proxyJoined(1, 0, 0.0, true);
        host.runSeconds(6, () -> host.reportHealthy(ENDPOINTS, 0.82, 10));
        assertEquals(List.of(), StateFigures.invalidFiguresOf(host.controller));
    }

    /** Guards against weights that are lost for good after a long time without requests. */
    @Test
    void weightsSurviveTwoHoursWithoutRequests() {
        FakeControllerHost host = FakeControllerHost.withEndpoints(ENDPOINTS);
        host.runSeconds(10, () -> host.reportHealthy(ENDPOINTS, 0.5, 10));
        for (int minute = 0; minute < 120; minute++) {
            host.runSeconds(60, () -> reportIdle(host));
            assertEquals(List.of(), StateFigures.invalidFiguresOf(host.controller));
        }
        host.runSeconds(10, () -> host.reportHealthy(ENDPOINTS, 0.5, 10));
        assertEquals(1, host.weight(1) / host.weight(2), 0.2);
    }

    /** Reports health checks of endpoints without requests, whose load is low but not zero. */
    private static void reportIdle(FakeControllerHost host) {
        for (long id = 1; id <= ENDPOINTS; id++) {
            host.controller.healthCheckCompleted(id, HealthCheckResult.OK, 0.01 * id);
        }
    }

    /** Guards against weights that are not finite because a listed weight is out of range. */
    @ParameterizedTest
    @ValueSource(doubles = {Double.POSITIVE_INFINITY, Double.NaN, Double.MIN_VALUE, 1e300, -1, 0})
    void listedWeightOutOfRangeLeavesTheFiguresFinite(double weight) {
        FakeControllerHost host = FakeControllerHost.withEndpoints(ENDPOINTS);
        host.runSeconds(4, () -> host.reportHealthy(ENDPOINTS, 0.5, 10));
        host.controller.endpointListStarted(false, false);
        host.controller.endpointListed(2, 2, 1, weight, 0, EndpointState.AVAILABLE);
        host.controller.endpointListCompleted();
        host.runSeconds(6, () -> host.reportHealthy(ENDPOINTS, 0.5, 10));
        assertEquals(List.of(), StateFigures.invalidFiguresOf(host.controller));
        assertTrue(host.weight(1) > 0 && host.weight(2) > 0);
    }

    /** Guards against a weight of NaN at sites without warm-up, if a clock is slightly behind. */
    @ParameterizedTest
    @ValueSource(doubles = {0, 200, 16_000})
    void startAheadOfTheClockLeavesTheFiguresFinite(double warmupTimeMs) {
        FakeControllerHost host = FakeControllerHost.withEndpoints(ENDPOINTS);
        host.controller.configureEndpointList(true, false, 0.2, warmupTimeMs);
        host.runSeconds(4, () -> host.reportHealthy(ENDPOINTS, 0.5, 10));
        host.changeEndpoint(2, host.now + 2500, EndpointState.AVAILABLE);
        host.runSeconds(6, () -> host.reportHealthy(ENDPOINTS, 0.5, 10));
        assertEquals(List.of(), StateFigures.invalidFiguresOf(host.controller));
        assertTrue(host.weight(1) > 0 && host.weight(2) > 0);
    }
}
