package sprucelanding.control.delivery;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;

/**
 * Which streams are let in, and when. After a governor's restart all proxies dial within two
 * seconds; each that is let in costs a table. So at most some are being laid at once, and the
 * others wait with the tables they hold: those that hold none come first, then those that dialled
 * first. Past the bounds a stream is turned away, to try another governor.
 */
public final class StreamAdmission {
    public interface Actions {
        void admit(int proxyId);

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
     * @param atOnce streams that are being laid at a time
     * @param most streams in all
     * @param longestWait ms
     */
    public StreamAdmission(int maxInitializing, int maxStreams, double maxWaitMillis) {
        this.maxInitializing = maxInitializing;
        this.maxStreams = maxStreams;
        this.maxWaitMillis = maxWaitMillis;
    }

    public void setTime(double now) {
        this.now = now;
    }

    public void proxyConnected(int proxyId, boolean withoutTables) {
        proxyDisconnected(proxyId);
        WaitingStream candidate = new WaitingStream(proxyId, withoutTables, now, nextSequence++);
        if (admitted.size() + waitingStreams.size() >= maxStreams) {
            overLimit.add(candidate);
        } else {
            waitingStreams.add(candidate);
        }
    }

    /** Its first orders are in force: another may come in. */
    public void proxyInitialized(int proxyId) {
        initializing.remove(proxyId);
    }

    public void proxyDisconnected(int proxyId) {
        waitingStreams.removeIf(candidate -> candidate.proxyId == proxyId);
        overLimit.removeIf(candidate -> candidate.proxyId == proxyId);
        initializing.remove(proxyId);
        admitted.remove(proxyId);
    }

    public int waitingCount() {
        return waitingStreams.size();
    }

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
