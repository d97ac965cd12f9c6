package sprucelanding.runtime.server;

import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

/** Proxies keep tables and ejections across streams and governors; nothing outlives its cause. */
class ProxyStateTest {
    private static final int ENDPOINTS = 12;
    private static final int PROXIES = 6;
    private static final List<Integer> NORTH = VirtualFleet.endpointsOf("north", ENDPOINTS);
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

    /** Guards against requests to endpoints that left while their proxies reached no governor. */
    @Test
    void tableOfAZoneWithoutEndpointsIsEmptiedAfterARestart() {
        VirtualFleet fleet = runningFleet();
        fleet.leaveZone("south");
        fleet.list("draining", false, SOUTH);
        fleet.run(3000);
        fleet.list("gone", false, SOUTH);
        fleet.run(1000);
        fleet.stopGovernor();
        fleet.run(2000);
        fleet.startGovernor();
        fleet.run(3000);
        fleet.joinAll();
        fleet.run(20_000);
    }

    /** What happens next to the fleet. */
    enum Event {
        SOUTH_DRAINS,
        SOUTH_LEAVES,
        SOUTH_RETURNS,
        SOUTH_RETURNS_COLD,
        NORTH_LEAVES,
        NORTH_RETURNS_COLD,
        SOUTH_PROXIES_LEAVE,
        PROXY_LEAVES,
        PROXY_RESTARTS,
        PROXIES_JOIN,
        GOVERNOR_ENDS,
        GOVERNOR_STARTS,
        TIME_PASSES,
        NAMES_ARE_FORGOTTEN
    }

    /** Guards against any sequence that leaves an ejection, an entry or a class behind. */
    @Property(tries = 200, seed = "462", shrinking = ShrinkingMode.BOUNDED)
    void nothingOutlivesItsCause(@ForAll @Size(min = 2, max = 16) List<Event> events) {
        VirtualFleet fleet = runningFleet();
        for (Event event : events) {
            apply(event, fleet);
            fleet.run(1500);
        }
        fleet.startGovernor();
        fleet.joinAll();
        fleet.run(25_000);
    }

    private static void apply(Event event, VirtualFleet fleet) {
        switch (event) {
            case SOUTH_DRAINS -> fleet.list("draining", false, SOUTH);
            case SOUTH_LEAVES -> fleet.list("gone", false, SOUTH);
            case SOUTH_RETURNS -> fleet.list("ready", false, SOUTH);
            case SOUTH_RETURNS_COLD -> fleet.list("ready", true, SOUTH);
            case NORTH_LEAVES -> fleet.list("gone", false, NORTH);
            case NORTH_RETURNS_COLD -> fleet.list("ready", true, NORTH);
            case SOUTH_PROXIES_LEAVE -> fleet.leaveZone("south");
            case PROXY_LEAVES -> fleet.leave(0);
            case PROXY_RESTARTS -> fleet.restartProxy(1);
            case PROXIES_JOIN -> fleet.joinAll();
            case GOVERNOR_ENDS -> fleet.stopGovernor();
            case GOVERNOR_STARTS -> fleet.startGovernor();
            case TIME_PASSES -> fleet.run(6000);
            case NAMES_ARE_FORGOTTEN -> fleet.run(64_000);
            default -> throw new AssertionError(event);
        }
    }
}
