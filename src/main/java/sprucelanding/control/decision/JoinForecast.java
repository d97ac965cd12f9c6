package sprucelanding.control.decision;

import java.util.ArrayDeque;

/**
 * How many proxies are likely to join besides those that have. After a failover one governor may
 * inherit the proxies of all others within seconds.
 */
final class JoinForecast {
    /** Joins within that time, ms, tell whether there is a rush. */
    private static final double RUSH_WINDOW = 1000;

    /** They are a rush if they are more than that part of a governor's usual proxies. */
    private static final double RUSH_SHARE = 0.1;

    /** They are a rush only if they are more than that. */
    private static final int MIN_RUSH_JOINS = 8;

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
     * @param proxies of all governors; 0 if unknown
     * @param governors that share them
     */
    void configure(int proxies, int governors) {
        fleetProxies = proxies;
        usualProxies = (double) proxies / Math.max(1, governors);
    }

    /** Proxies of one governor while all governors run. */
    double usualProxies() {
        return usualProxies;
    }

    void proxyJoined() {
        recentJoins.addLast(time.now());
    }

    /** Proxies that are likely to join soon: in a rush, all that other governors had. */
    int expectedJoins() {
        recentJoins.removeIf(joinedAt -> joinedAt < time.now() - RUSH_WINDOW);
        boolean rush = recentJoins.size() > Math.max(MIN_RUSH_JOINS, RUSH_SHARE * usualProxies);
        return rush ? Math.max(0, fleetProxies - proxies.size()) : 0;
    }
}
