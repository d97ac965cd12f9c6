package sprucelanding.control.membership;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.IntStream;

/**
 * The quota of proxies of one governor, which determines which proxies the governor rejects and
 * which it redirects.
 *
 * <p>A proxy connects to any governor. A governor rejects a proxy only if the governor has far more
 * proxies than its quota and another governor is below its own quota. A proxy is not rejected
 * twice: a proxy that returns has found no other governor. Proxies are redirected only while the
 * governor has many of them, and only a few at a time.
 *
 * <p>Call {@link #advanceTo} and {@link #updateOtherLiveCount}. Then call {@link #checkAdmission}
 * for each proxy that connects, and {@link #onProxyConnected} and {@link #onProxyDisconnected} for
 * each proxy that has connected or disconnected. Then call {@link #decide} until it returns false.
 * Not safe for use by several threads.
 */
public final class ProxyQuota {
    /** The actions that the host performs. */
    public interface Actions {
        /** Ends the proxy's stream, so that the proxy connects to another governor. */
        void redirectProxy(long proxy, String reason);
    }

    /** The reason for which proxies are redirected. */
    private enum Mode {
        /** Balances the load of governors: some of the proxies above the quota are redirected. */
        REBALANCING,
        /** Drains this governor, which stops: all its proxies are redirected. */
        DRAINING
    }

    private record ConnectedProxy(long key, int zone, double connectedAt, long order) {}

    /** Multiple of the quota above which proxies are redirected. */
    private static final double REDIRECT_OVERLOAD_FACTOR = 1.25;

    /** Multiple of the quota above which connecting proxies are rejected. */
    private static final double REJECT_OVERLOAD_FACTOR = 2;

    /** Fraction of the capacity up to which no proxy is rejected or redirected. */
    private static final double MIN_CAPACITY_FRACTION = 0.5;

    /**
     * Time after a governor joined or left during which no proxy is redirected to balance the load.
     */
    private static final double STABLE_MEMBERSHIP_MILLIS = 3000;

    /**
     * Minimum time between two redirects. The interval grows while redirected proxies keep
     * returning.
     */
    private static final double REDIRECT_INTERVAL_MILLIS = 250;

    private static final double MAX_REDIRECT_INTERVAL_MILLIS = 60_000;

    /** Minimum time that a proxy stays connected before it is redirected to balance the load. */
    private static final double MIN_STAY_MILLIS = 10_000;

    private static final double MAX_DRAIN_INTERVAL_MILLIS = 20;

    /** Time within which a stopping governor redirects all its proxies. */
    private static final double DRAIN_MILLIS = 2000;

    /**
     * Time after a rejection within which the proxy is accepted if it returns. Also the time after
     * a redirect within which a connecting proxy counts as a return.
     */
    private static final double RECONNECT_WINDOW_MILLIS = 10_000;

    private static final int MAX_REJECTED_PROXIES = 65_536;

    private final int selfId;
    private final Leases leases;
    private final int capacity;
    private final int zone;
    private final Map<Long, ConnectedProxy> proxiesByKey = new LinkedHashMap<>();
    private final LinkedHashMap<Long, Double> rejectedAtByProxy = new LinkedHashMap<>();
    private int otherLiveCount;
    private double membershipChangedAt;
    private double lastRedirectAt = Double.NEGATIVE_INFINITY;
    private double now;
    private double redirectIntervalMillis = REDIRECT_INTERVAL_MILLIS;
    private long nextOrder;
    private Mode mode = Mode.REBALANCING;
    private double drainIntervalMillis = MAX_DRAIN_INTERVAL_MILLIS;

    /**
     * Creates the quota of one governor.
     *
     * @param selfId this governor's id
     * @param leases the source of the loads that the other governors report
     * @param capacity number of proxies that this governor is configured for
     * @param zone the index of this governor's zone; -1 if it has none
     * @param now current time in ms on this governor's clock
     */
    public ProxyQuota(int selfId, Leases leases, int capacity, int zone, double now) {
        this.selfId = selfId;
        this.leases = leases;
        this.capacity = capacity;
        this.zone = zone;
        this.now = now;
        this.membershipChangedAt = now;
    }

    /** Sets the clock to a time in ms. A time before the current one changes nothing. */
    public void advanceTo(double time) {
        now = Math.max(now, time);
    }

    /** Updates the number of other live governors. */
    public void updateOtherLiveCount(int count) {
        if (count != otherLiveCount) {
            otherLiveCount = count;
            membershipChangedAt = now;
            redirectIntervalMillis = REDIRECT_INTERVAL_MILLIS;
        }
    }

    /** Starts to redirect all proxies, a few at a time, because this governor stops. */
    public void startDrain() {
        mode = Mode.DRAINING;
        int proxyCount = Math.max(1, proxiesByKey.size());
        drainIntervalMillis = Math.min(MAX_DRAIN_INTERVAL_MILLIS, DRAIN_MILLIS / proxyCount);
    }

    /** Returns the load that this governor reports to the others. */
    public GovernorLoad load() {
        return new GovernorLoad(proxiesByKey.size(), capacity, zone);
    }

    /** Handles the connection of a proxy that was accepted. */
    public void onProxyConnected(long proxy, int proxyZone) {
        ConnectedProxy connected = new ConnectedProxy(proxy, proxyZone, now, nextOrder);
        nextOrder++;
        boolean added = proxiesByKey.putIfAbsent(proxy, connected) == null;
        if (added && now - lastRedirectAt < RECONNECT_WINDOW_MILLIS) {
            // Either other governors redirect proxies to this one, or redirected proxies can reach
            // no other governor.
            redirectIntervalMillis =
                    Math.min(MAX_REDIRECT_INTERVAL_MILLIS, 2 * redirectIntervalMillis);
        }
    }

    /** Handles the end of a proxy's stream. */
    public void onProxyDisconnected(long proxy) {
        proxiesByKey.remove(proxy);
    }

    /** Returns whether a connecting proxy is accepted. */
    public AdmissionDecision checkAdmission(long proxy) {
        if (proxiesByKey.containsKey(proxy)) {
            return AdmissionDecision.accepted();
        }
        if (mode == Mode.DRAINING) {
            return AdmissionDecision.rejected("this governor stops");
        }
        Double rejectedAt = rejectedAtByProxy.remove(proxy);
        boolean hasReturned = rejectedAt != null && now - rejectedAt < RECONNECT_WINDOW_MILLIS;
        if (hasReturned || !isOverQuota(proxiesByKey.size() + 1, REJECT_OVERLOAD_FACTOR)) {
            return AdmissionDecision.accepted();
        }
        rejectedAtByProxy.put(proxy, now);
        if (rejectedAtByProxy.size() > MAX_REJECTED_PROXIES) {
            rejectedAtByProxy.remove(rejectedAtByProxy.keySet().iterator().next());
        }
        return AdmissionDecision.rejected(
                "others have more room than its " + proxiesByKey.size() + " proxies leave here");
    }

    /**
     * Returns whether a number of proxies exceeds a multiple of this governor's quota while another
     * governor is below its own quota. A governor's quota is its share of all proxies in proportion
     * to its capacity.
     */
    private boolean isOverQuota(int count, double factor) {
        if (count <= MIN_CAPACITY_FRACTION * capacity) {
            return false;
        }
        List<GovernorLoad> others = otherLoads();
        double totalCapacity = capacity + others.stream().mapToDouble(GovernorLoad::capacity).sum();
        double totalStreams = count + others.stream().mapToDouble(GovernorLoad::streams).sum();
        boolean otherHasRoom =
                others.stream()
                        .anyMatch(
                                load ->
                                        load.streams() + 1
                                                <= totalStreams * load.capacity() / totalCapacity);
        return otherHasRoom && count > Math.ceil(factor * totalStreams * capacity / totalCapacity);
    }

    /** Returns the loads that other governors reported within a lease. */
    private List<GovernorLoad> otherLoads() {
        return IntStream.range(0, FailureDetector.MAX_GOVERNORS)
                .filter(governor -> governor != selfId)
                .mapToObj(leases::reportedLoad)
                .flatMap(Optional::stream)
                .toList();
    }

    /** Takes one decision. Returns false if no decision is due now. */
    public boolean decide(Actions actions) {
        boolean draining = mode == Mode.DRAINING;
        double intervalMillis = draining ? drainIntervalMillis : redirectIntervalMillis;
        if (proxiesByKey.isEmpty() || now - lastRedirectAt < intervalMillis) {
            return false;
        }
        if (!draining && !isRebalancingDue()) {
            return false;
        }
        Optional<ConnectedProxy> chosen = chooseProxyToRedirect();
        if (chosen.isEmpty()) {
            return false;
        }
        lastRedirectAt =
                draining ? Math.max(now - intervalMillis, lastRedirectAt + intervalMillis) : now;
        proxiesByKey.remove(chosen.get().key());
        actions.redirectProxy(
                chosen.get().key(), draining ? "this governor stops" : "others have more room");
        return true;
    }

    private boolean isRebalancingDue() {
        return otherLiveCount > 0
                && now - membershipChangedAt > STABLE_MEMBERSHIP_MILLIS
                && isOverQuota(proxiesByKey.size(), REDIRECT_OVERLOAD_FACTOR);
    }

    /**
     * Returns the proxy to redirect: preferably a proxy whose own zone has another governor,
     * otherwise the proxy that connected last.
     */
    private Optional<ConnectedProxy> chooseProxyToRedirect() {
        Map<Integer, Boolean> hasGovernorByZone = new HashMap<>();
        ConnectedProxy chosen = null;
        boolean chosenHasGovernorInOwnZone = false;
        for (ConnectedProxy candidate : proxiesByKey.values()) {
            if (mode == Mode.REBALANCING && now - candidate.connectedAt < MIN_STAY_MILLIS) {
                continue;
            }
            boolean hasGovernorInOwnZone =
                    zone >= 0
                            && candidate.zone != zone
                            && hasGovernorByZone.computeIfAbsent(
                                    candidate.zone, this::hasGovernorInZone);
            if (chosen == null
                    || hasGovernorInOwnZone && !chosenHasGovernorInOwnZone
                    || hasGovernorInOwnZone == chosenHasGovernorInOwnZone
                            && candidate.order > chosen.order) {
                chosen = candidate;
                chosenHasGovernorInOwnZone = hasGovernorInOwnZone;
            }
        }
        return Optional.ofNullable(chosen);
    }

    private boolean hasGovernorInZone(int zoneIndex) {
        return otherLoads().stream().anyMatch(load -> load.zone() == zoneIndex);
    }
}
