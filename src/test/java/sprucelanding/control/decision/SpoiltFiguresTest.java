package sprucelanding.control.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.BitSet;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
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

    /** Guards against levels that follow a usage report whose figures are out of range. */
    @ParameterizedTest
    @CsvSource({"8, 6.9e-310", "-5000, 1000", "2147483647, 1", "8, Infinity", "8, NaN", "8, -1"})
    void demandReportOutOfRangeChangesNoDecision(int count, double intervalMs) {
        FakeControllerHost host = hostWithOwnZoneClass();
        FakeControllerHost undisturbed = hostWithOwnZoneClass();
        for (FakeControllerHost each : List.of(host, undisturbed)) {
            each.runSeconds(6, () -> each.reportHealthy(ENDPOINTS, 0.8, 10));
        }
        host.controller.demandReported(9, 0, count, intervalMs);
        for (FakeControllerHost each : List.of(host, undisturbed)) {
            each.runSeconds(4, () -> each.reportHealthy(ENDPOINTS, 0.8, 10));
        }
        assertTrue(undisturbed.admittedByClass.get(0) < 1, "requests are shed");
        assertEquals(undisturbed.admittedByClass, host.admittedByClass);
        assertEquals(undisturbed.orders, host.orders);
    }

    /** Guards against a level of NaN after hundreds of endpoints have left within a moment. */
    @Test
    void manyLoadChangesAtOnceLeaveTheAdmittedSharesFinite() {
        RequestClass requestClass = FakeControllerHost.requestClass(0, true, 1);
        EventTime time = new EventTime();
        AdmissionController admission =
                new AdmissionController(time, new RequestClass[] {requestClass});
        List<Proxy> proxies = List.of(new Proxy(1, 0, true, 0, 100, 1));
        for (int update = 0; update < 6; update++) {
            time.updateStarted();
            admission.update(proxies, 0.9, 200, 0);
        }
        for (int left = 0; left < 400; left++) {
            admission.expectLoadChange(1);
        }
        for (int update = 0; update < 6; update++) {
            admission.update(proxies, 0, 200, 0);
            assertTrue(requestClass.admittedShare() > 0 && requestClass.admittedShare() <= 1);
        }
        for (int joined = 0; joined < 1200; joined++) {
            admission.expectLoadChange(-1);
        }
        admission.update(proxies, 0.9, 200, 0);
        assertTrue(requestClass.admittedShare() > 0 && requestClass.admittedShare() <= 1);
        assertEquals(List.of(), StateFigures.invalidFiguresOf(admission));
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
