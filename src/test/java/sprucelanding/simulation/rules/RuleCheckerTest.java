package sprucelanding.simulation.rules;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** For each rule, events that violate it, and events that differ in one thing and keep it. */
class RuleCheckerTest {
    private static final RuleLimits LIMITS =
            new RuleLimits(
                    4000,
                    6000,
                    0.25,
                    12_000,
                    3,
                    2000,
                    100,
                    0.01,
                    6,
                    5,
                    10_000,
                    List.of(false, true),
                    false);
    private final List<TraceEvent> events = new ArrayList<>();

    private List<Verdict> check() {
        events.sort(Comparator.comparingDouble(TraceEvent::at));
        return RuleChecker.check(events, LIMITS);
    }

    private void violations(int rule) {
        List<Verdict> counts = check();
        for (int i = 0; i < 5; i++) {
            assertEquals(i != rule, counts.get(i).kept(), counts.get(i).toString());
        }
    }

    private void joined(double at) {
        events.add(new TraceEvent.ProxyJoined(at, 7, 0));
    }

    private void listed(double at, double started) {
        events.add(new TraceEvent.EndpointReported(at, 0, 1, true, started));
    }

    private void time(double until) {
        for (double at = 0; at <= until; at += 100) {
            events.add(
                    new TraceEvent.RequestEnded(
                            at, 0, (long) at, TraceEvent.RequestOutcome.IN_TIME, 5));
        }
    }

    @Test
    void proxyWithoutEntriesWhileAWarmEndpointIsListedViolates() {
        joined(0);
        listed(0, 0);
        time(20_000);
        events.add(new TraceEvent.TableChanged(1000, 7, 0, 0));
        events.add(new TraceEvent.TableChanged(6900, 7, 0, 3));
        violations(-1);
        events.add(new TraceEvent.TableChanged(8000, 7, 0, 0));
        violations(0);
    }

    @Test
    void proxyWithoutEntriesIsAllowedWhileAllEndpointsWarmUp() {
        joined(0);
        listed(0, 0);
        events.add(new TraceEvent.EndpointReported(100, 0, 1, true, 100));
        events.add(new TraceEvent.TableChanged(1000, 7, 0, 0));
        time(17_000);
        violations(-1);
        time(19_500);
        violations(0);
    }

    @Test
    void secondExecutionOfANonRetryableRequestViolates() {
        events.add(new TraceEvent.Executed(100, 1, 0, 5, 7, 1));
        events.add(new TraceEvent.Executed(200, 2, 0, 5, 7, 2));
        events.add(new TraceEvent.Executed(300, 1, 1, 6, 7, 1));
        violations(-1);
        events.add(new TraceEvent.Executed(400, 2, 1, 6, 7, 2));
        violations(1);
    }

    @Test
    void requestToARemovedEndpointViolatesAfterGrace() {
        joined(0);
        listed(0, 0);
        events.add(new TraceEvent.EndpointReported(1000, 0, 1, false, 0));
        events.add(new TraceEvent.AttemptSent(4900, 7, 1, 0, 5, 1, 10));
        violations(-1);
        events.add(new TraceEvent.AttemptSent(5100, 7, 1, 0, 6, 1, 10));
        violations(2);
    }

    @Test
    void graceStartsAtJoinAndOmissionFromAFullListMeansRemoval() {
        listed(0, 0);
        events.add(new TraceEvent.EndpointListReported(1000, 0, Set.of()));
        joined(4000);
        events.add(new TraceEvent.AttemptSent(7900, 7, 1, 0, 5, 1, 10));
        violations(-1);
        events.add(new TraceEvent.ProxyLeft(8200, 7));
        events.add(new TraceEvent.AttemptSent(9000, 7, 1, 0, 6, 1, 10));
        violations(-1);
        events.add(new TraceEvent.AttemptSent(8100, 7, 1, 0, 6, 1, 10));
        violations(2);
    }

    @Test
    void overloadingAWarmingEndpointByInformedProxiesViolates() {
        joined(0);
        events.add(new TraceEvent.EndpointStarted(1000, 1, 4));
        listed(1100, 1000);
        for (int i = 0; i < 58; i++) { // 4 cores at a quarter, times 3, for 2 s: 6,000 ms of work
            events.add(new TraceEvent.AttemptSent(1200 + i, 7, 1, 0, i, 1, 100));
        }
        violations(-1);
        for (int i = 58; i < 70; i++) {
            events.add(new TraceEvent.AttemptSent(1200 + i, 7, 1, 0, i, 1, 100));
        }
        violations(3);
    }

    @Test
    void loadFromUninformedProxiesIsAllowed() {
        events.add(
                new TraceEvent.ProxyJoined(0, 7, 1)); // its governor hears of the start much later
        events.add(new TraceEvent.EndpointStarted(1000, 1, 4));
        for (int i = 0; i < 200; i++) {
            events.add(new TraceEvent.AttemptSent(1200 + i, 7, 1, 0, i, 1, 100));
        }
        violations(-1);
    }

    @Test
    void exceedingChannelBudgetOrProxyMessageRateViolates() {
        joined(0);
        events.add(new TraceEvent.MessageSent(100, 7, 0, "xds", "LbEndpoint", 1, 90, ""));
        events.add(new TraceEvent.MessageSent(5100, 7, 0, "xds", "LbEndpoint", 2, 40, ""));
        violations(-1);
        events.add(new TraceEvent.MessageSent(5200, 7, 0, "xds", "LbEndpoint", 3, 60, ""));
        violations(4);
        events.removeIf(event -> event instanceof TraceEvent.MessageSent);
        for (int i = 0; i < 6; i++) {
            events.add(
                    new TraceEvent.MessageSent(
                            100 + i * 1000, 7, 0, "xds", "LbEndpoint", i, 1, ""));
        }
        violations(4);
    }

    @Test
    void overflowIsReported() {
        EventTrace small = new EventTrace(2);
        for (int i = 0; i < 3; i++) {
            small.record(new TraceEvent.ProxyLeft(i, 7));
        }
        assertTrue(small.hasOverflowed());
        assertEquals(2, small.inOrder().size());
    }
}
