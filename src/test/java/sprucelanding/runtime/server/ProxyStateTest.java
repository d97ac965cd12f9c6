package sprucelanding.runtime.server;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Proxies keep tables and ejections across streams and governors; nothing outlives its cause. */
class ProxyStateTest {
    private static final int ENDPOINTS = 12;
    private static final int PROXIES = 6;
    private static final List<Integer> SOUTH = VirtualFleet.endpointsOf("south", ENDPOINTS);

    private static VirtualFleet runningFleet() {
        VirtualFleet fleet = new VirtualFleet(ENDPOINTS, PROXIES);
        fleet.joinAll();
        fleet.run(6000);
        return fleet;
    }

    /** Guards against ejections by an earlier process that no governor ever lifts. */
    @Test
    void endpointsThatReturnAfterARestartAreRestoredAtAllProxies() {
        VirtualFleet fleet = runningFleet();
        fleet.list("gone", false, SOUTH);
        fleet.run(3000);
        fleet.stopGovernor();
        fleet.run(2000);
        fleet.startGovernor();
        fleet.joinAll();
        fleet.run(5000);
        fleet.list("ready", true, SOUTH);
        fleet.run(20_000);
    }

    /** Guards against ejections of an endpoint that returned while no governor was running. */
    @Test
    void endpointThatReturnedDuringARestartIsRestoredAtAllProxies() {
        VirtualFleet fleet = runningFleet();
        fleet.list("draining", false, SOUTH);
        fleet.run(3000);
        fleet.stopGovernor();
        fleet.run(1000);
        fleet.list("ready", false, SOUTH);
        fleet.run(1000);
        fleet.startGovernor();
        fleet.joinAll();
        fleet.run(20_000);
    }

    /** Guards against ejections of an endpoint that stops draining under a restarted governor. */
    @Test
    void endpointThatStopsDrainingAfterARestartIsRestoredAtAllProxies() {
        VirtualFleet fleet = runningFleet();
        fleet.list("draining", false, SOUTH);
        fleet.run(3000);
        fleet.stopGovernor();
        fleet.startGovernor();
        fleet.joinAll();
        fleet.run(8000);
        fleet.list("ready", false, SOUTH);
        fleet.run(20_000);
    }

    /** Guards against ejections of an endpoint whose name was forgotten before it returned. */
    @Test
    void endpointThatReturnsAfterItsNameWasForgottenIsRestored() {
        VirtualFleet fleet = runningFleet();
        fleet.list("gone", false, SOUTH);
        fleet.run(66_000);
        fleet.list("ready", true, SOUTH);
        fleet.run(20_000);
    }

    /** Guards against ejections at a proxy that reached no governor while the endpoint returned. */
    @Test
    void endpointThatReturnedWhileAProxyWasAwayIsRestoredThere() {
        VirtualFleet fleet = runningFleet();
        fleet.list("gone", false, SOUTH);
        fleet.run(3000);
        fleet.leaveZone("south");
        fleet.stopGovernor();
        fleet.startGovernor();
        fleet.run(3000);
        fleet.list("ready", true, SOUTH);
        fleet.run(5000);
        fleet.joinAll();
        fleet.run(20_000);
    }
}
