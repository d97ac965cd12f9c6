package sprucelanding.control.membership;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.IntStream;

/**
 * How many proxies a governor should have, which it rejects and which it redirects. A proxy
 * connects to whichever governor it likes. It is rejected only by a governor that has much more
 * than its quota while another has room, and not twice: a proxy that comes again found no other
 * governor. Proxies are redirected only while there are many, and a few at a time.
 *
 * <p>Call {@link #advanceTo} and {@link #updateOtherLiveCount}, then {@link #checkAdmission} for
 * each proxy that connects, {@link #onProxyConnected} and {@link #onProxyDisconnected} for each
 * that came and went, and {@link #decide} until it is false. Not safe for use by several threads.
 */
public final class ProxyQuota {
    /** What the host is to do. */
    public interface Actions {
        /** The proxy's stream is to be ended, so that it connects to another governor. */
        void redirectProxy(long proxy, String reason);
    }

    /** What proxies are redirected for. */
    private enum Mode {
        /** To even out the load of governors: some of the proxies past the quota. */
        REBALANCING,
        /** Because this governor stops: all of them. */
        DRAINING
    }

    private record ConnectedProxy(long key, int zone, double connectedAt, long order) {}

    /** Multiple of the quota past which proxies are redirected. */
    private static final double REDIRECT_OVERLOAD_FACTOR = 1.25;

    /** Multiple of the quota past which proxies that connect are rejected. */
    private static final double REJECT_OVERLOAD_FACTOR = 2;

    /** Fraction of the capacity up to which no proxy is rejected or redirected. */
    private static final double MIN_CAPACITY_FRACTION = 0.5;

    /** How long no proxy is redirected for the load after a governor came or went. */
    private static final double STABLE_MEMBERSHIP_MILLIS = 3000;

    /** The least time between two redirects; more while proxies only come back. */
    private static final double REDIRECT_INTERVAL_MILLIS = 250;

    private static final double MAX_REDIRECT_INTERVAL_MILLIS = 60_000;

    /** How long a proxy stays at least before it is redirected for the load. */
    private static final double MIN_STAY_MILLIS = 10_000;

    private static final double MAX_DRAIN_INTERVAL_MILLIS = 20;

    /** Time in which a governor that stops redirects all its proxies. */
    private static final double DRAIN_MILLIS = 2000;

    /** Time in which a rejected proxy that comes again is accepted. */
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
     * The quota of one governor.
     *
     * @param selfId this governor
     * @param leases knows what the other governors reported of their load
     * @param capacity proxies that this governor is configured for
     * @param zone its zone, by position; -1 if it has none
     * @param now ms on its clock
     */
    public ProxyQuota(int selfId, Leases leases, int capacity, int zone, double now) {
        this.selfId = selfId;
        this.leases = leases;
        this.capacity = capacity;
        this.zone = zone;
        this.now = now;
        this.membershipChangedAt = now;
    }

    /** Sets the clock, ms; a time before the present one changes nothing. */
    public void advanceTo(double time) {
        now = Math.max(now, time);
    }

    /** How many other governors live. */
    public void updateOtherLiveCount(int count) {
        if (count != otherLiveCount) {
            otherLiveCount = count;
            membershipChangedAt = now;
            redirectIntervalMillis = REDIRECT_INTERVAL_MILLIS;
        }
    }

    /** This governor stops: all its proxies are redirected, a few at a time. */
    public void startDrain() {
        mode = Mode.DRAINING;
        int proxyCount = Math.max(1, proxiesByKey.size());
        drainIntervalMillis = Math.min(MAX_DRAIN_INTERVAL_MILLIS, DRAIN_MILLIS / proxyCount);
    }

    /** What this governor has, as it tells the others. */
    public GovernorLoad load() {
        return new GovernorLoad(proxiesByKey.size(), capacity, zone);
    }

    /** A proxy was accepted. */
    public void onProxyConnected(long proxy, int proxyZone) {
        ConnectedProxy connected = new ConnectedProxy(proxy, proxyZone, now, nextOrder);
        nextOrder++;
        boolean added = proxiesByKey.putIfAbsent(proxy, connected) == null;
        if (added && now - lastRedirectAt < RECONNECT_WINDOW_MILLIS) {
            // Others redirect theirs to here, or those redirected cannot reach another governor.
            redirectIntervalMillis =
                    Math.min(MAX_REDIRECT_INTERVAL_MILLIS, 2 * redirectIntervalMillis);
        }
    }

    /** A proxy's stream has ended. */
    public void onProxyDisconnected(long proxy) {
        proxiesByKey.remove(proxy);
    }

    /** Whether a proxy that connects is to be accepted. */
    public AdmissionDecision checkAdmission(long proxy) {
        if (proxiesByKey.containsKey(proxy)) {
            return AdmissionDecision.accepted();
        }
        if (mode == Mode.DRAINING) {
            return AdmissionDecision.rejected("this governor stops");
        }
        Double rejectedAt = rejectedAtByProxy.remove(proxy);
        boolean comesAgain = rejectedAt != null && now - rejectedAt < RECONNECT_WINDOW_MILLIS;
        if (comesAgain || !isOverQuota(proxiesByKey.size() + 1, REJECT_OVERLOAD_FACTOR)) {
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
     * Whether a number of proxies is more than a multiple of this governor's quota while another
     * governor has less than its own. The quota is the part of all proxies that is in proportion to
     * the capacity.
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

    /** What those of the others reported that were heard of late. */
    private List<GovernorLoad> otherLoads() {
        return IntStream.range(0, FailureDetector.MAX_GOVERNORS)
                .filter(governor -> governor != selfId)
                .mapToObj(leases::reportedLoad)
                .flatMap(Optional::stream)
                .toList();
    }

    /** Takes one decision; false if there is none to take now. */
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
     * One whose own zone has another governor if there is such a one, else the latest that came.
     */
    private Optional<ConnectedProxy> chooseProxyToRedirect() {
        Map<Integer, Boolean> governorByZone = new HashMap<>();
        ConnectedProxy chosen = null;
        boolean chosenHasHomeGovernor = false;
        for (ConnectedProxy candidate : proxiesByKey.values()) {
            if (mode == Mode.REBALANCING && now - candidate.connectedAt < MIN_STAY_MILLIS) {
                continue;
            }
            boolean hasHomeGovernor =
                    zone >= 0
                            && candidate.zone != zone
                            && governorByZone.computeIfAbsent(
                                    candidate.zone, this::hasGovernorInZone);
            if (chosen == null
                    || hasHomeGovernor && !chosenHasHomeGovernor
                    || hasHomeGovernor == chosenHasHomeGovernor && candidate.order > chosen.order) {
                chosen = candidate;
                chosenHasHomeGovernor = hasHomeGovernor;
            }
        }
        return Optional.ofNullable(chosen);
    }

    private boolean hasGovernorInZone(int zoneIndex) {
        return otherLoads().stream().anyMatch(load -> load.zone() == zoneIndex);
    }
}
