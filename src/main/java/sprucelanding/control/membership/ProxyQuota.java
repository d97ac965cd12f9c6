package sprucelanding.control.membership;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.stream.IntStream;

/**
 * How many proxies a governor should have, and which it turns away or sends on. A proxy dials whom
 * it likes; it is turned away only by a governor that has more than its part while another has
 * room, and not twice: who knocks again found nobody else. Nobody is moved while there is little to
 * move, and never many at a time. Call clock and others, then admits for each that dials, in and
 * out for each that came and went, and decide until it says false.
 */
public final class ProxyQuota {
    public interface Actions {
        /** Its stream is to be ended: it dials another. */
        void redirectProxy(long proxy, String reason);
    }

    private record ConnectedProxy(int zone, double connectedAt, long order) {}

    private static final double REDIRECT_OVERLOAD_FACTOR =
            1.25; // of its part, past which it sends proxies on
    private static final double REJECT_OVERLOAD_FACTOR = 2; // past which it turns away who dials
    private static final double MIN_CAPACITY_FRACTION =
            0.5; // of what it was made for, below which nobody is moved
    private static final double STABLE_MEMBERSHIP_MILLIS =
            3000; // ms after a governor came or went, until proxies are moved for it
    private static final double REDIRECT_INTERVAL_MILLIS =
            250; // ms between two that are sent on; more while they only come round again
    private static final double MAX_REDIRECT_INTERVAL_MILLIS = 60_000;
    private static final double MIN_STAY_MILLIS =
            10_000; // ms after its coming in which a proxy is not sent on
    private static final double MAX_DRAIN_INTERVAL_MILLIS = 20;
    private static final double DRAIN_MILLIS =
            2000; // ms in which all of them are sent on by one that stops
    private static final double RECONNECT_WINDOW_MILLIS =
            10_000; // ms in which a second knock is let in
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
    private int drainStartCount = -1;

    /**
     * @param leases tells what the others said of their loads
     * @param room proxies that it was made for
     * @param zone its own, by position; -1 if it has none
     */
    public ProxyQuota(int selfId, Leases leases, int capacity, int zone, double now) {
        this.selfId = selfId;
        this.leases = leases;
        this.capacity = capacity;
        this.zone = zone;
        this.now = now;
        this.membershipChangedAt = now;
    }

    public void advanceTo(double time) {
        now = Math.max(now, time);
    }

    /** How many others live. */
    public void others(int count) {
        if (count != otherLiveCount) {
            otherLiveCount = count;
            membershipChangedAt = now;
            redirectIntervalMillis = REDIRECT_INTERVAL_MILLIS;
        }
    }

    /** It stops: all are sent on, a few at a time. */
    public void startDrain() {
        drainStartCount = Math.max(1, proxiesByKey.size());
    }

    public GovernorLoad load() {
        return new GovernorLoad(proxiesByKey.size(), capacity, zone);
    }

    public void onProxyConnected(long proxy, int proxyZone) {
        if (proxiesByKey.putIfAbsent(proxy, new ConnectedProxy(proxyZone, now, nextOrder++)) == null
                && now - lastRedirectAt < RECONNECT_WINDOW_MILLIS) {
            redirectIntervalMillis =
                    Math.min(
                            MAX_REDIRECT_INTERVAL_MILLIS,
                            2 * redirectIntervalMillis); // others send theirs here, or those
            // sent on find no
            // way there
        }
    }

    public void onProxyDisconnected(long proxy) {
        proxiesByKey.remove(proxy);
    }

    /** Null if a proxy that dials is to be taken; else why not. */
    public String checkAdmission(long proxy) {
        if (proxiesByKey.containsKey(proxy)) {
            return null;
        }
        if (drainStartCount >= 0) {
            return "this governor stops";
        }
        Double rejectedAt = rejectedAtByProxy.remove(proxy);
        if (rejectedAt != null && now - rejectedAt < RECONNECT_WINDOW_MILLIS
                || !isOverQuota(proxiesByKey.size() + 1, REJECT_OVERLOAD_FACTOR)) {
            return null;
        }
        rejectedAtByProxy.put(proxy, now);
        if (rejectedAtByProxy.size() > MAX_REJECTED_PROXIES) {
            rejectedAtByProxy.remove(rejectedAtByProxy.keySet().iterator().next());
        }
        return "others have more room than its " + proxiesByKey.size() + " proxies leave here";
    }

    /** Whether so many are more than its part, and another has less than its own. */
    private boolean isOverQuota(int count, double factor) {
        if (count <= MIN_CAPACITY_FRACTION * capacity) {
            return false;
        }
        List<GovernorLoad> others = others();
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

    /** What those of the others said that were heard of late. */
    private List<GovernorLoad> others() {
        return IntStream.range(0, FailureDetector.MAX_GOVERNORS)
                .filter(governor -> governor != selfId)
                .mapToObj(leases::reportedLoad)
                .filter(Objects::nonNull)
                .toList();
    }

    /** One decision; false if there is none now. */
    public boolean decide(Actions actions) {
        double intervalMillis =
                drainStartCount < 0
                        ? redirectIntervalMillis
                        : Math.min(MAX_DRAIN_INTERVAL_MILLIS, DRAIN_MILLIS / drainStartCount);
        if (proxiesByKey.isEmpty() || now - lastRedirectAt < intervalMillis) {
            return false;
        }
        boolean overQuota =
                otherLiveCount > 0
                        && now - membershipChangedAt > STABLE_MEMBERSHIP_MILLIS
                        && isOverQuota(proxiesByKey.size(), REDIRECT_OVERLOAD_FACTOR);
        if (drainStartCount < 0 && !overQuota) {
            return false;
        }
        Map<Integer, Boolean> zonesWithGovernor = new HashMap<>();
        long chosenProxy = 0;
        ConnectedProxy chosen = null;
        for (Map.Entry<Long, ConnectedProxy> entry :
                proxiesByKey
                        .entrySet()) { // one that has a governor at home, else the one that came
            // last
            ConnectedProxy candidate = entry.getValue();
            if (drainStartCount < 0 && now - candidate.connectedAt < MIN_STAY_MILLIS) {
                continue;
            }
            boolean hasHomeGovernor =
                    zone >= 0
                            && candidate.zone != zone
                            && zonesWithGovernor.computeIfAbsent(
                                    candidate.zone, this::hasGovernorInZone);
            boolean chosenHasHomeGovernor =
                    chosen != null
                            && chosen.zone != zone
                            && zonesWithGovernor.getOrDefault(chosen.zone, false);
            if (chosen == null
                    || hasHomeGovernor && !chosenHasHomeGovernor
                    || hasHomeGovernor == chosenHasHomeGovernor && candidate.order > chosen.order) {
                chosen = candidate;
                chosenProxy = entry.getKey();
            }
        }
        if (chosen == null) {
            return false;
        }
        lastRedirectAt =
                drainStartCount < 0
                        ? now
                        : Math.max(now - intervalMillis, lastRedirectAt + intervalMillis);
        proxiesByKey.remove(chosenProxy);
        actions.redirectProxy(
                chosenProxy, drainStartCount < 0 ? "others have more room" : "this governor stops");
        return true;
    }

    private boolean hasGovernorInZone(int zoneIndex) {
        return others().stream().anyMatch(load -> load.zone() == zoneIndex);
    }
}
