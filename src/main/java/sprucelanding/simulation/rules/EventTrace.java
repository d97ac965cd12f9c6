package sprucelanding.simulation.rules;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A bounded list of observed events. Any thread may add events. Events beyond the capacity are
 * dropped, and {@link #hasOverflowed} then returns true.
 */
public final class EventTrace {
    private final int capacity;
    private final ConcurrentLinkedQueue<TraceEvent> events = new ConcurrentLinkedQueue<>();
    private final AtomicInteger size = new AtomicInteger();

    /** Creates an empty trace that holds at most {@code capacity} events. */
    public EventTrace(int capacity) {
        this.capacity = capacity;
    }

    /** Adds an event, or drops the event if the trace is full. */
    public void record(TraceEvent event) {
        if (size.incrementAndGet() <= capacity) {
            events.add(event);
        }
    }

    /** Returns whether the trace dropped events because it was full. */
    public boolean hasOverflowed() {
        return size.get() > capacity;
    }

    /** Returns the recorded events, sorted by their times. */
    public List<TraceEvent> eventsInTimeOrder() {
        List<TraceEvent> sorted = new ArrayList<>(events);
        sorted.sort(Comparator.comparingDouble(TraceEvent::at));
        return sorted;
    }
}
