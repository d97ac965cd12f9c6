package sprucelanding.simulation.rules;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A bounded record of observed events. Any thread may add to it; events beyond the capacity are
 * dropped, which {@link #hasOverflowed} reports.
 */
public final class EventTrace {
    private final int capacity;
    private final ConcurrentLinkedQueue<TraceEvent> events = new ConcurrentLinkedQueue<>();
    private final AtomicInteger size = new AtomicInteger();

    /** Creates an empty trace that keeps up to {@code capacity} events. */
    public EventTrace(int capacity) {
        this.capacity = capacity;
    }

    /** Adds an event, or drops it if the trace is full. */
    public void record(TraceEvent event) {
        if (size.incrementAndGet() <= capacity) {
            events.add(event);
        }
    }

    /** Returns whether events were dropped. */
    public boolean hasOverflowed() {
        return size.get() > capacity;
    }

    /** Returns the recorded events in order of their times. */
    public List<TraceEvent> inOrder() {
        List<TraceEvent> sorted = new ArrayList<>(events);
        sorted.sort(Comparator.comparingDouble(TraceEvent::at));
        return sorted;
    }
}
