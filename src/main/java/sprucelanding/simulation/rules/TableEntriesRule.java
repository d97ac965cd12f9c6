package sprucelanding.simulation.rules;

import java.util.HashMap;
import java.util.Map;
import java.util.OptionalInt;
import java.util.Set;
import java.util.TreeMap;

/**
 * The rule that a proxy's table has no entries only for a limited time, while the proxy's governor
 * knows of an endpoint that is ready and warm.
 */
final class TableEntriesRule implements Rule {
    /** The tables of one proxy, by request class. */
    private static final class ProxyTables {
        private final Map<Integer, Integer> entries = new HashMap<>();

        /** Times from which tables have been empty although an endpoint was available. */
        private final Map<Integer, Double> emptySince = new HashMap<>();
    }

    private final RuleLimits limits;
    private final ObservedFleet fleet;
    private final ViolationCounter counter = new ViolationCounter("a line to pick");
    private final Map<Integer, ProxyTables> tablesByProxy = new TreeMap<>();

    TableEntriesRule(RuleLimits limits, ObservedFleet fleet) {
        this.limits = limits;
        this.fleet = fleet;
    }

    @Override
    public void accept(TraceEvent event) {
        if (event instanceof TraceEvent.TableChanged changed) {
            tablesOf(changed.proxy()).entries.put(changed.requestClass(), changed.entries());
        } else if (event instanceof TraceEvent.ProxyJoined joined) {
            tablesOf(joined.proxy()).emptySince.clear();
        } else if (event instanceof TraceEvent.ProxyLeft left) {
            tablesOf(left.proxy()).emptySince.clear();
        }
    }

    private ProxyTables tablesOf(int proxy) {
        return tablesByProxy.computeIfAbsent(proxy, key -> new ProxyTables());
    }

    /** Checks for how long tables have been empty at the time {@code now}. */
    void check(double now) {
        Set<Integer> governorsWithWarmEndpoint =
                fleet.governorsWithWarmEndpoint(now, limits.warmupMillis());
        tablesByProxy.forEach(
                (proxy, tables) -> {
                    OptionalInt governor = fleet.connection(proxy).governor();
                    boolean hasWarmEndpoint =
                            governor.isPresent()
                                    && governorsWithWarmEndpoint.contains(governor.getAsInt());
                    checkProxy(proxy, tables, hasWarmEndpoint, now);
                });
    }

    private void checkProxy(int proxy, ProxyTables tables, boolean hasWarmEndpoint, double now) {
        tables.entries.forEach(
                (requestClass, count) -> {
                    if (count > 0 || !hasWarmEndpoint) {
                        tables.emptySince.remove(requestClass);
                    } else {
                        double since = tables.emptySince.computeIfAbsent(requestClass, key -> now);
                        recordEmpty(proxy, requestClass, since, now);
                    }
                });
    }

    private void recordEmpty(int proxy, int requestClass, double since, double now) {
        counter.recordShare(
                (now - since) / limits.withoutEntriesMillis(),
                "at %.3f s proxy %d has had no line for product %d for %.2f s",
                fleet.seconds(now),
                proxy,
                requestClass,
                (now - since) / 1000);
    }

    @Override
    public Verdict verdict() {
        return counter.verdict();
    }
}
