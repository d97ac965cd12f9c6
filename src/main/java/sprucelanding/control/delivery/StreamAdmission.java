package sprucelanding.control.delivery;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;

/**
 * Decides which streams are admitted, and when. After a governor's restart all proxies connect
 * within two seconds, and each that is admitted costs a table. So a limited number is initialized
 * at a time, and the others wait with the tables that they hold: those without tables come first,
 * then those that connected first. Past the limits a stream is rejected, to try another governor.
 *
 * <p>Called from one thread: {@link #setTime}, then what happened, then {@link #decide} until it
 * returns false.
 */
public final class StreamAdmission {
    /** What is decided; the host carries it out. */
    public interface Actions {
        /** Begins to send to the proxy. */
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
    private final List<WaitingStream> overLimit = new ArrayList<>();
    private long nextSequence;
    private double now;

    /**
     * Creates an admission without streams.
     *
     * @param maxInitializing streams that are initialized at a time
     * @param maxStreams streams in all, admitted or waiting
     * @param maxWaitMillis ms after which a waiting stream is rejected
     */
    public StreamAdmission(int maxInitializing, int maxStreams, double maxWaitMillis) {
        this.maxInitializing = maxInitializing;
        this.maxStreams = maxStreams;
        this.maxWaitMillis = maxWaitMillis;
    }

    /** Sets the time of all that is called next, ms on the host's clock. */
    public void setTime(double now) {
        this.now = now;
    }

    /** A proxy connected; a former stream of the same proxy is over. */
    public void proxyConnected(int proxyId, boolean withoutTables) {
        proxyDisconnected(proxyId);
        WaitingStream candidate = new WaitingStream(proxyId, withoutTables, now, nextSequence++);
        if (admitted.size() + waitingStreams.size() >= maxStreams) {
            overLimit.add(candidate);
        } else {
            waitingStreams.add(candidate);
        }
    }

    /** The proxy's first orders are in force: another may be admitted. */
    public void proxyInitialized(int proxyId) {
        initializing.remove(proxyId);
    }

    /** The proxy's stream has ended; one that is not known is ignored. */
    public void proxyDisconnected(int proxyId) {
        waitingStreams.removeIf(candidate -> candidate.proxyId == proxyId);
        overLimit.removeIf(candidate -> candidate.proxyId == proxyId);
        initializing.remove(proxyId);
        admitted.remove(proxyId);
    }

    /** Streams that wait to be admitted. */
    public int waitingCount() {
        return waitingStreams.size();
    }

    /** Takes one decision; false if there is none now. */
    public boolean decide(Actions actions) {
        if (!overLimit.isEmpty()) {
            actions.reject(overLimit.remove(0).proxyId, "more than " + maxStreams + " streams");
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
