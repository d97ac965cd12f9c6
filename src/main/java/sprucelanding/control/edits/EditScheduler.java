package sprucelanding.control.edits;

import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/**
 * Scheduler of device edits: decides which device is served next when many devices request an edit.
 *
 * <p>The number of devices that are served at the same time is limited. Removals may use the same
 * number of slots in addition, because the removal grace leaves no time to wait for devices that
 * are being initialized. Among the other devices, those without a route come first, then the others
 * in the order of their requests. A device that has waited longer than a limit goes ahead of all
 * but removals, so that a steady arrival of new devices does not starve the others.
 *
 * <p>Called from one thread: {@link #setTime}, then {@link #request} and {@link #release}, then
 * {@link #decide} until it returns false. Times are ms on the host's clock.
 */
public final class EditScheduler {
    /** Priority of a requested edit, highest first. */
    public enum Priority {
        /** The edit takes traffic away from an endpoint. */
        REMOVAL,
        /** The device has no route yet. */
        INITIAL,
        /** All other changes. */
        ORDINARY
    }

    /** Action that the scheduler decides on; the front executes it. */
    public interface Actions {
        /** Starts the device's edit, which ends with {@link #release}. */
        void startEdit(int device);
    }

    private record PendingEdit(int device, Priority priority, double waitingSince, long sequence) {}

    private final int maxConcurrent;
    private final double starvationLimitMillis;
    private final Map<Integer, PendingEdit> pendingByDevice = new HashMap<>();
    private final TreeSet<PendingEdit> pendingByPriority =
            new TreeSet<>(
                    Comparator.comparing(PendingEdit::priority)
                            .thenComparingLong(PendingEdit::sequence));
    private final TreeSet<PendingEdit> pendingByAge =
            new TreeSet<>(Comparator.comparingLong(PendingEdit::sequence));
    private final Set<Integer> activeDevices = new HashSet<>();
    private final Set<Integer> extraRemovalDevices = new HashSet<>();
    private long nextSequence;
    private double now;

    /**
     * Creates a scheduler without devices.
     *
     * @param maxConcurrent maximum number of devices served at the same time, excluding additional
     *     removals
     * @param starvationLimitMillis waiting time after which a device goes ahead of all but
     *     removals, in ms
     */
    public EditScheduler(int maxConcurrent, double starvationLimitMillis) {
        this.maxConcurrent = maxConcurrent;
        this.starvationLimitMillis = starvationLimitMillis;
    }

    /** Sets the current time, which applies to all calls that follow. */
    public void setTime(double now) {
        this.now = now;
    }

    /**
     * Requests an edit for a device. A device that is already waiting keeps its position and the
     * higher of the two priorities.
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
        pendingByPriority.add(edit);
        pendingByAge.add(edit);
    }

    /**
     * Handles the end of a device's edit or session: releases the device's slot and discards its
     * pending request.
     */
    public void release(int device) {
        PendingEdit previous = pendingByDevice.remove(device);
        if (previous != null) {
            dequeue(previous);
        }
        activeDevices.remove(device);
        extraRemovalDevices.remove(device);
    }

    private void dequeue(PendingEdit edit) {
        pendingByPriority.remove(edit);
        pendingByAge.remove(edit);
    }

    /** Returns the number of devices that wait for an edit. */
    public int waitingCount() {
        return pendingByDevice.size();
    }

    /**
     * Takes one decision and passes it to the actions.
     *
     * @return false if there is no decision to take at present
     */
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
        if (pendingByPriority.isEmpty()) {
            return null;
        }
        PendingEdit first = pendingByPriority.first();
        if (first.priority == Priority.REMOVAL) {
            return activeDevices.size() < maxConcurrent
                            || extraRemovalDevices.size() < maxConcurrent
                    ? first
                    : null;
        }
        if (activeDevices.size() >= maxConcurrent) {
            return null;
        }
        PendingEdit oldest = pendingByAge.first();
        return now - oldest.waitingSince > starvationLimitMillis ? oldest : first;
    }
}
