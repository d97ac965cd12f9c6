package sprucelanding.control.membership;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * The streams of proxies that a governor has accepted, and what each stream waits for.
 *
 * <table>
 *   <caption>Transitions</caption>
 *   <tr><th>from</th><th>event</th><th>to</th></tr>
 *   <tr><td>none, any</td><td>the proxy connects and is accepted</td><td>OPEN</td></tr>
 *   <tr><td>OPEN</td><td>the governor decides to end the stream</td><td>ENDING</td></tr>
 *   <tr><td>OPEN, ENDING</td><td>the stream has ended</td><td>none</td></tr>
 * </table>
 *
 * <p>An open stream of a proxy that is not owned waits until the proxy is claimed, and then for the
 * grants of a majority.
 */
final class ProxyStreams {
    private enum State {
        OPEN,
        ENDING
    }

    /**
     * A proxy that was accepted and is not yet claimed.
     *
     * @param proxy the proxy's key
     * @param zone the index of the proxy's zone; -1 if it has none
     */
    record UnclaimedProxy(long proxy, int zone) {}

    private final Map<Long, State> statesByProxy = new HashMap<>();

    /**
     * Connection times in ms of the proxies that no majority has granted yet, in order of
     * connection.
     */
    private final LinkedHashMap<Long, Double> connectedAtByUngrantedProxy = new LinkedHashMap<>();

    /** Zones of the proxies that are not yet claimed, in order of connection. */
    private final LinkedHashMap<Long, Integer> zonesByUnclaimedProxy = new LinkedHashMap<>();

    boolean isConnected(long proxy) {
        return statesByProxy.containsKey(proxy);
    }

    boolean isEmpty() {
        return statesByProxy.isEmpty();
    }

    /** Opens a new stream of a proxy that this governor owns. */
    void openOwned(long proxy) {
        statesByProxy.put(proxy, State.OPEN);
        connectedAtByUngrantedProxy.remove(proxy);
    }

    /** Opens a stream of a proxy that is still to be claimed. */
    void openUnowned(long proxy, int zone, double now) {
        statesByProxy.put(proxy, State.OPEN);
        connectedAtByUngrantedProxy.remove(proxy); // the proxy moves to the end of the order
        connectedAtByUngrantedProxy.put(proxy, now);
        zonesByUnclaimedProxy.put(proxy, zone);
    }

    /** Removes a stream that has ended. Returns whether there was one. */
    boolean remove(long proxy) {
        zonesByUnclaimedProxy.remove(proxy);
        connectedAtByUngrantedProxy.remove(proxy);
        return statesByProxy.remove(proxy) != null;
    }

    /** Removes and returns the first proxy that is still to be claimed; empty if there is none. */
    Optional<UnclaimedProxy> takeUnclaimed() {
        if (zonesByUnclaimedProxy.isEmpty()) {
            return Optional.empty();
        }
        long proxy = zonesByUnclaimedProxy.keySet().iterator().next();
        return Optional.of(new UnclaimedProxy(proxy, zonesByUnclaimedProxy.remove(proxy)));
    }

    /** Handles the grant of a proxy by a majority. Returns false if the proxy has no stream. */
    boolean onGranted(long proxy) {
        if (!isConnected(proxy)) {
            return false;
        }
        connectedAtByUngrantedProxy.remove(proxy);
        return true;
    }

    /** Starts to end a stream. Returns false if there is no stream or the stream already ends. */
    boolean beginEnd(long proxy) {
        connectedAtByUngrantedProxy.remove(proxy);
        return statesByProxy.replace(proxy, State.OPEN, State.ENDING);
    }

    /**
     * Returns the proxy that has waited longest for the grants of a majority; empty if no proxy has
     * waited longer than a time in ms.
     */
    OptionalLong waitingLongerThan(double millis, double now) {
        if (connectedAtByUngrantedProxy.isEmpty()) {
            return OptionalLong.empty();
        }
        Map.Entry<Long, Double> longest = connectedAtByUngrantedProxy.entrySet().iterator().next();
        return now - longest.getValue() > millis
                ? OptionalLong.of(longest.getKey())
                : OptionalLong.empty();
    }
}
