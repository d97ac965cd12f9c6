package sprucelanding.control.membership;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * The streams of proxies that a governor has accepted, and what each waits for.
 *
 * <table>
 *   <caption>Transitions</caption>
 *   <tr><th>from</th><th>event</th><th>to</th></tr>
 *   <tr><td>none, any</td><td>the proxy connects and is accepted</td><td>OPEN</td></tr>
 *   <tr><td>OPEN</td><td>the governor decides to end it</td><td>ENDING</td></tr>
 *   <tr><td>OPEN, ENDING</td><td>the stream has ended</td><td>none</td></tr>
 * </table>
 *
 * <p>An open stream of a proxy that is not owned waits to be claimed, then for a majority's grants.
 */
final class ProxyStreams {
    private enum State {
        OPEN,
        ENDING
    }

    /**
     * A proxy that was accepted and is not claimed so far.
     *
     * @param proxy its key
     * @param zone its zone by position; -1 if it has none
     */
    record UnclaimedProxy(long proxy, int zone) {}

    private final Map<Long, State> statesByProxy = new HashMap<>();

    /** When each proxy connected that no majority has granted, the first one first; ms. */
    private final LinkedHashMap<Long, Double> awaitingGrantSince = new LinkedHashMap<>();

    /** Zones of proxies that are not claimed, the first one first. */
    private final LinkedHashMap<Long, Integer> zonesOfUnclaimed = new LinkedHashMap<>();

    boolean isConnected(long proxy) {
        return statesByProxy.containsKey(proxy);
    }

    boolean isEmpty() {
        return statesByProxy.isEmpty();
    }

    /** A proxy that this governor owns has opened a new stream. */
    void openOwned(long proxy) {
        statesByProxy.put(proxy, State.OPEN);
        awaitingGrantSince.remove(proxy);
    }

    /** A proxy has opened a stream and is to be claimed. */
    void openUnowned(long proxy, int zone, double now) {
        statesByProxy.put(proxy, State.OPEN);
        awaitingGrantSince.remove(proxy); // so that it becomes the last one
        awaitingGrantSince.put(proxy, now);
        zonesOfUnclaimed.put(proxy, zone);
    }

    /** The stream has ended; whether there was one. */
    boolean remove(long proxy) {
        zonesOfUnclaimed.remove(proxy);
        awaitingGrantSince.remove(proxy);
        return statesByProxy.remove(proxy) != null;
    }

    /** Takes the first proxy that is to be claimed. */
    Optional<UnclaimedProxy> takeUnclaimed() {
        if (zonesOfUnclaimed.isEmpty()) {
            return Optional.empty();
        }
        long proxy = zonesOfUnclaimed.keySet().iterator().next();
        return Optional.of(new UnclaimedProxy(proxy, zonesOfUnclaimed.remove(proxy)));
    }

    /** A majority has granted the proxy; false if its stream is gone. */
    boolean onGranted(long proxy) {
        if (!isConnected(proxy)) {
            return false;
        }
        awaitingGrantSince.remove(proxy);
        return true;
    }

    /** The stream is to end; false if there is none, or it is ending already. */
    boolean beginEnd(long proxy) {
        awaitingGrantSince.remove(proxy);
        return statesByProxy.replace(proxy, State.OPEN, State.ENDING);
    }

    /** The proxy that waits longest for a majority's grants, if longer than that. */
    OptionalLong waitingLongerThan(double millis, double now) {
        if (awaitingGrantSince.isEmpty()) {
            return OptionalLong.empty();
        }
        Map.Entry<Long, Double> longest = awaitingGrantSince.entrySet().iterator().next();
        return now - longest.getValue() > millis
                ? OptionalLong.of(longest.getKey())
                : OptionalLong.empty();
    }
}
