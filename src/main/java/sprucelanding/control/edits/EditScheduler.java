package sprucelanding.control.edits;

import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/**
 * Which device is served next while many want an edit. So many are served at a time; removals go
 * beside them, up to as many again, for the grace does not wait behind forty devices that are laid
 * anew. Of the others, those come first that have no route yet, then those that asked first; one
 * that has waited long goes before any but removals, so that a stream of new devices never starves
 * the rest. Tell it wants, and done when an edit ended, however; then decide until it says false.
 */
public final class EditScheduler {
    /** Why a device wants an edit. */
    public enum Priority {
        REMOVAL,
        FIRST,
        ORDINARY
    }

    public interface Actions {
        void startEdit(int device);
    }

    private record PendingEdit(int device, Priority priority, double waitingSince, long sequence) {}

    private final int maxConcurrent;
    private final double starvationLimitMillis;
    private final Map<Integer, PendingEdit> pendingByDevice = new HashMap<>();
    private final TreeSet<PendingEdit> byPriority =
            new TreeSet<>(
                    Comparator.comparing(PendingEdit::priority)
                            .thenComparingLong(PendingEdit::sequence));
    private final TreeSet<PendingEdit> byAge =
            new TreeSet<>(Comparator.comparingLong(PendingEdit::sequence));
    private final Set<Integer> activeDevices = new HashSet<>();
    private final Set<Integer> extraRemovalDevices = new HashSet<>();
    private long nextSequence;
    private double now;

    /**
     * @param atOnce devices served at a time, removals aside
     * @param patience ms of waiting after which a device goes before others of any rank but
     *     removals
     */
    public EditScheduler(int maxConcurrent, double starvationLimitMillis) {
        this.maxConcurrent = maxConcurrent;
        this.starvationLimitMillis = starvationLimitMillis;
    }

    public void setTime(double now) {
        this.now = now;
    }

    /**
     * A device wants to be served. One that waits already keeps its place, and the more urgent of
     * its reasons.
     */
    public void request(int device, Priority priority) {
        PendingEdit previous = pendingByDevice.get(device);
        if (previous != null && previous.priority.compareTo(priority) <= 0) {
            return;
        }
        if (previous != null) {
            dequeue(previous);
        }
        PendingEdit edit =
                new PendingEdit(
                        device,
                        priority,
                        previous == null ? now : previous.waitingSince,
                        previous == null ? nextSequence++ : previous.sequence);
        pendingByDevice.put(device, edit);
        byPriority.add(edit);
        byAge.add(edit);
    }

    /** Its edit ended, or its session did: its place is free, and it wants nothing any more. */
    public void release(int device) {
        PendingEdit previous = pendingByDevice.remove(device);
        if (previous != null) {
            dequeue(previous);
        }
        activeDevices.remove(device);
        extraRemovalDevices.remove(device);
    }

    private void dequeue(PendingEdit edit) {
        byPriority.remove(edit);
        byAge.remove(edit);
    }

    public int waitingCount() {
        return pendingByDevice.size();
    }

    /** One decision; false if there is none now. */
    public boolean decide(Actions actions) {
        PendingEdit next = nextEdit();
        if (next == null) {
            return false;
        }
        pendingByDevice.remove(next.device);
        dequeue(next);
        (activeDevices.size() < maxConcurrent ? activeDevices : extraRemovalDevices)
                .add(next.device);
        actions.startEdit(next.device);
        return true;
    }

    private PendingEdit nextEdit() {
        if (byPriority.isEmpty()) {
            return null;
        }
        PendingEdit first = byPriority.first();
        if (first.priority == Priority.REMOVAL) {
            return activeDevices.size() < maxConcurrent
                            || extraRemovalDevices.size() < maxConcurrent
                    ? first
                    : null;
        }
        if (activeDevices.size() >= maxConcurrent) {
            return null;
        }
        PendingEdit oldest = byAge.first();
        return now - oldest.waitingSince > starvationLimitMillis ? oldest : first;
    }
}
