package sprucelanding.control.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** The orders for one event end, even if a fault repeats an order. */
class OrderLimitTest {
    /** Guards against a decision that never returns to the host. */
    @Test
    void orderThatIsRepeatedWithoutEndEndsTheBatch() {
        FakeControllerHost host = FakeControllerHost.withEndpoints(9);
        host.controller.configureChannel(1e9, 0, 1e12, 0, 10_000);
        // a host that lets the proxy join again during each bind, so that the bind is repeated
        host.onBind = () -> host.controller.proxyJoined(9, 0, 100, true);
        host.controller.proxyJoined(9, 0, 100, true);
        host.decideAll();
        assertTrue(host.orders.stream().filter("bind"::equals).count() > 1000);
        host.onBind = () -> {};
        host.runSeconds(3, () -> host.reportHealthy(9, 0.5, 10));
        assertTrue(host.hasLogged("event=order_limit_reached"));
        assertEquals(3, host.boundClassesByProxy.get(9));
        assertTrue(host.weight(1) > 0);
    }

    @Test
    void failoverOfALargeFleetStaysBelowTheLimit() {
        FakeControllerHost host = FakeControllerHost.large(true, 200, 800);
        host.runSeconds(20, () -> host.reportHealthy(200, 0.5, 10));
        assertTrue(host.boundClassesByProxy.size() > 100);
        assertTrue(!host.hasLogged("order_limit_reached"));
    }
}
