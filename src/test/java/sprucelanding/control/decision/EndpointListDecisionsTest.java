package sprucelanding.control.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.BitSet;
import org.junit.jupiter.api.Test;

/** The tables are updated from the endpoint list. */
class EndpointListDecisionsTest {
    /**
     * Returns a host with soft removal, after endpoints 1 to 3 of 6 have disappeared from the list.
     *
     * @param unreachable endpoint that became unreachable before; 0 for none
     * @param draining endpoint that was draining before; 0 for none
     */
    private static FakeControllerHost hostWithMissingEndpoints(long unreachable, long draining) {
        FakeControllerHost host = FakeControllerHost.withEndpoints(6);
        host.controller.configureEndpointList(true, true, 0.2, 16_000);
        host.runSeconds(5, () -> host.reportHealthy(6, 0.5, 10));
        if (unreachable > 0) {
            host.failingChecks.put(unreachable, HealthCheckResult.UNREACHABLE);
        }
        if (draining > 0) {
            host.changeEndpoint(draining, 0, EndpointState.DRAINING);
        }
        host.controller.endpointListStarted(true, false);
        for (long id = 4; id <= 6; id++) {
            host.controller.endpointListed(id, (int) (id % 3), 0, 1, 0, EndpointState.AVAILABLE);
        }
        host.controller.endpointListCompleted();
        host.runSeconds(4, () -> host.reportHealthy(6, 0.5, 10));
        return host;
    }

    @Test
    void drainingAndGoneEndpointsAreRemovedImmediately() {
        FakeControllerHost host = FakeControllerHost.withEndpoints(4);
        host.changeEndpoint(1, 0, EndpointState.DRAINING);
        assertEquals(0, host.weight(1));
        host.controller.endpointListStarted(true, false);
        host.controller.endpointListed(3, 0, 0, 1, 0, EndpointState.AVAILABLE);
        host.controller.endpointListCompleted();
        host.decideAll();
        assertEquals(0, host.weight(2));
        assertTrue(host.weight(3) > 0);
    }

    @Test
    void polledEndpointListIsRequestedAgainAfterAFailure() {
        FakeControllerHost host =
                new FakeControllerHost(
                        AdmissionMode.NONE, 0, FakeControllerHost.requestClass(0, true, 1));
        host.controller.configureEndpointList(false, false, 0.2, 16_000);
        host.listEndpoints(true, 3);
        host.decideAll();
        assertEquals(1, host.endpointListWatchCount);
        host.controller.endpointListFailed();
        host.runSeconds(2, () -> {});
        assertEquals(2, host.endpointListWatchCount);
    }

    @Test
    void missingEndpointStaysInTheTableWhileItPassesHealthChecks() {
        FakeControllerHost host = hostWithMissingEndpoints(2, 3);
        assertTrue(host.weight(1) > host.weight(4) / 2);
        assertEquals(0, host.weight(2), "endpoint 2 is unreachable");
        assertEquals(0, host.weight(3), "endpoint 3 was draining");
    }

    @Test
    void newEndpointGetsNoWeightBeforeItPassesAHealthCheck() {
        FakeControllerHost host = FakeControllerHost.withEndpoints(6);
        host.failingChecks.put(7L, HealthCheckResult.ERROR);
        host.changeEndpoint(7, 0, EndpointState.AVAILABLE);
        host.changeEndpoint(8, 0, EndpointState.AVAILABLE);
        host.runSeconds(4, () -> host.reportHealthy(6, 0.5, 10));
        assertEquals(0, host.weight(7));
        assertTrue(host.weight(8) > 0);
    }

    @Test
    void ejectionIsRepeatedForProxiesThatJoinLater() {
        FakeControllerHost host = FakeControllerHost.large(true, 20, 100);
        host.runSeconds(3, () -> host.reportHealthy(20, 0.5, 10));
        host.changeEndpoint(3, 0, EndpointState.GONE);
        host.runSeconds(1, () -> host.reportHealthy(20, 0.5, 10));
        host.orders.clear();
        // These proxies come from a failed governor and still use its tables.
        for (int id = 100; id < 180; id++) {
            host.controller.proxyJoined(id, 0, 10, false);
        }
        host.decideAll();
        assertTrue(
                host.orders.contains("eject 3"),
                "the ejection must be repeated for the new proxies");
        host.changeEndpoint(3, host.now, EndpointState.AVAILABLE);
        host.runSeconds(2, () -> host.reportHealthy(20, 0.5, 10));
        assertTrue(
                host.orders.contains("restore 3"),
                "the endpoint must be restored when it is listed again");
    }

    @Test
    void endpointsGoneForTheRetentionTimeAreForgotten() {
        FakeControllerHost host = FakeControllerHost.withEndpoints(6);
        for (long id = 7; id < 107; id++) {
            host.changeEndpoint(id, host.now, EndpointState.AVAILABLE);
            host.changeEndpoint(id - 6, 0, EndpointState.GONE);
            host.runSeconds(2, () -> host.reportHealthy(6, 0.5, 10));
        }
        assertTrue(
                host.controller.knownEndpointCount() < 45,
                "number of known endpoints: " + host.controller.knownEndpointCount());
        assertEquals(
                6,
                host.weightsByTable.get(0).values().stream().filter(weight -> weight > 0).count(),
                1);
    }

    /** Guards against memory that grows while endpoints are replaced under new names. */
    @Test
    void replacedEndpointsAreForgottenWhileNamesChangeForHours() {
        FakeControllerHost host =
                new FakeControllerHost(
                        AdmissionMode.SHARE,
                        0,
                        FakeControllerHost.requestClass(0, true, 1),
                        new RequestClass(1, false, 2, 800, new BitSet(), new BitSet(), true));
        host.controller.configureEndpointList(true, false, 0.31, 9000);
        host.listEndpoints(true, 9);
        host.controller.proxyJoined(9, 0, 100, false);
        host.controller.proxyJoined(10, 1, 100, true);
        host.decideAll();
        for (int id = 10; id < 400; id++) {
            host.changeEndpoint(id, host.now, EndpointState.AVAILABLE);
            host.changeEndpoint(id - 9, host.now, EndpointState.GONE);
            int first = id - 8;
            host.runSeconds(
                    20,
                    () -> {
                        for (long each = first; each < first + 9; each++) {
                            host.controller.endpointStatsReported(
                                    each, 10, 0, 200, 0.3 + each % 7 * 0.061);
                        }
                    });
            assertTrue(
                    host.controller.knownEndpointCount() < 20,
                    host.controller.knownEndpointCount() + " known endpoints of 9 listed");
        }
    }
}
