package sprucelanding.control.delivery;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;

/**
 * Admission of streams: decides which streams are admitted, and when.
 *
 * <p>After a restart of the governor, all proxies connect within two seconds, and each admitted
 * proxy has to be sent a table. The number of proxies that are initialized at the same time is
 * therefore limited. The other proxies wait and continue with the tables that they hold. Proxies
 * without tables are admitted first, then the others in the order in which they connected. Streams
 * above the limits are rejected, so that the proxies try another governor.
 *
 * <p>Called from one thread: {@link #setTime}, then the methods that report events, then {@link
 * #decide} until it returns false.
 */
public final class StreamAdmission {
    /** Actions that the admission decides on; the host executes them. */
    public interface Actions {
        /** Starts sending to the proxy. */
        void admit(int proxyId);

        /** Closes the proxy's stream. */
        void reject(int proxyId, String reason);
    }

    private record WaitingStream(
            int proxyId, boolean withoutTables, double waitingSince, long sequence) {}

    private static final Comparator<WaitingStream> ADMISSION_ORDER =
            Comparator.comparing((WaitingStream candidate) -> !candidate.withoutTables)
                    .thenComparingLong(WaitingStream::sequence);

    private final int maxInitializing;
    private final int maxStreams;
    private final double maxWaitMillis;
    private final TreeSet<WaitingStream> waitingStreams = new TreeSet<>(ADMISSION_ORDER);
    private final Set<Integer> initializing = new HashSet<>();
    private final Set<Integer> admitted = new HashSet<>();
    private final List<WaitingStream> streamsOverLimit = new ArrayList<>();
    private long nextSequence;
    private double now;

    /**
     * Creates an admission without streams.
     *
     * @param maxInitializing maximum number of streams that are initialized at the same time
     * @param maxStreams maximum number of streams, admitted or waiting
     * @param maxWaitMillis time after which a waiting stream is rejected, in ms
     */
    public StreamAdmission(int maxInitializing, int maxStreams, double maxWaitMillis) {
        this.maxInitializing = maxInitializing;
        this.maxStreams = maxStreams;
        this.maxWaitMillis = maxWaitMillis;
    }

    /** Sets the current time, in ms on the host's clock, which applies to all calls that follow. */
    public void setTime(double now) {
        this.now = now;
    }

    /** Handles a new stream of a proxy; an earlier stream of the same proxy is removed. */
    public void proxyConnected(int proxyId, boolean withoutTables) {
        proxyDisconnected(proxyId);
        WaitingStream candidate = new WaitingStream(proxyId, withoutTables, now, nextSequence++);
        if (admitted.size() + waitingStreams.size() >= maxStreams) {
            streamsOverLimit.add(candidate);
        } else {
            waitingStreams.add(candidate);
        }
    }

    /**
     * Handles the end of a proxy's initialization: its first orders are in force, and another
     * stream may be admitted.
     */
    public void proxyInitialized(int proxyId) {
        initializing.remove(proxyId);
    }

    /** Handles the end of a proxy's stream; ignored if the proxy is unknown. */
    public void proxyDisconnected(int proxyId) {
        waitingStreams.removeIf(candidate -> candidate.proxyId == proxyId);
        streamsOverLimit.removeIf(candidate -> candidate.proxyId == proxyId);
        initializing.remove(proxyId);
        admitted.remove(proxyId);
    }

    /** Returns the number of streams that wait for admission. */
    public int waitingCount() {
        return waitingStreams.size();
    }

    /**
     * Takes one decision and passes it to the actions.
     *
     * @return false if there is no decision to take at present
     */
    public boolean decide(Actions actions) {
        if (!streamsOverLimit.isEmpty()) {
            actions.reject(
                    streamsOverLimit.remove(0).proxyId, "more than " + maxStreams + " streams");
            return true;
        }
        if (!waitingStreams.isEmpty() && initializing.size() < maxInitializing) {
            WaitingStream next = waitingStreams.pollFirst();
            initializing.add(next.proxyId);
            admitted.add(next.proxyId);
            actions.admit(next.proxyId);
            return true;
        }
        WaitingStream expired =
                waitingStreams.stream()
                        .filter(candidate -> now - candidate.waitingSince > maxWaitMillis)
                        .findFirst()
                        .orElse(null);
        if (expired != null) {
            waitingStreams.remove(expired);
            actions.reject(
                    expired.proxyId,
                    "waited for " + Math.round(now - expired.waitingSince) + " ms behind others");
            return true;
        }
        return false;
    }
}
