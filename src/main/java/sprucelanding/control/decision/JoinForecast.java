package sprucelanding.control.decision;

import java.util.ArrayDeque;

/**
 * A forecast of the number of proxies that will join soon. After a failover, one governor may take
 * over the proxies of all other governors within seconds.
 */
final class JoinForecast {
    /** Period in which joins are counted, ms. */
    private static final double BURST_WINDOW_MS = 1000;

    /** A burst has more joins than this share of the governor's usual proxies. */
    private static final double MIN_BURST_SHARE = 0.1;

    /** A burst has more joins than this number. */
    private static final int MIN_BURST_JOINS = 8;

    private final EventTime time;
    private final ProxyRegistry proxies;
    private final ArrayDeque<Double> recentJoins = new ArrayDeque<>();
    private int fleetProxies;
    private double usualProxies;

    JoinForecast(EventTime time, ProxyRegistry proxies) {
        this.time = time;
        this.proxies = proxies;
    }

    /**
     * Sets the size of the fleet.
     *
     * @param proxies number of proxies of all governors; 0 if unknown
     * @param governors number of governors that share the proxies
     */
    void configure(int proxies, int governors) {
        fleetProxies = proxies;
        usualProxies = (double) proxies / Math.max(1, governors);
    }

    /** Returns the number of proxies of one governor while all governors run. */
    double usualProxies() {
        return usualProxies;
    }

    void proxyJoined() {
        recentJoins.addLast(time.now());
    }

    /**
     * Returns the number of proxies that are expected to join soon. In a burst of joins, all
     * proxies of the other governors are expected.
     */
    int expectedJoins() {
        recentJoins.removeIf(joinedAt -> joinedAt < time.now() - BURST_WINDOW_MS);
        boolean isBurst =
                recentJoins.size() > Math.max(MIN_BURST_JOINS, MIN_BURST_SHARE * usualProxies);
        return isBurst ? Math.max(0, fleetProxies - proxies.size()) : 0;
    }
}
