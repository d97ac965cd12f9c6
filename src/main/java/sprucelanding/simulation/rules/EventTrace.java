package sprucelanding.simulation.rules;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;

/** What was seen, from all threads; bounded, and it says when it overflowed. */
public final class EventTrace {
    private final int capacity;
    private final ConcurrentLinkedQueue<TraceEvent> events = new ConcurrentLinkedQueue<>();
    private final AtomicInteger size = new AtomicInteger();

    public EventTrace(int capacity) {
        this.capacity = capacity;
    }

    public void record(TraceEvent event) {
        if (size.incrementAndGet() <= capacity) {
            events.add(event);
        }
    }

    public boolean hasOverflowed() {
        return size.get() > capacity;
    }

    /** In the order of their times. */
    public List<TraceEvent> inOrder() {
        List<TraceEvent> sorted = new ArrayList<>(events);
        sorted.sort(Comparator.comparingDouble(TraceEvent::at));
        return sorted;
    }
}
