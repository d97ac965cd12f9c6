package sprucelanding.control.decision;

import java.util.ArrayDeque;

/** A queue of the events that have not been passed to the host's log yet, oldest first. */
final class DecisionLog {
    private final ArrayDeque<DecisionEvent> events = new ArrayDeque<>();

    void add(DecisionEvent event) {
        events.add(event);
    }

    boolean isEmpty() {
        return events.isEmpty();
    }

    /** Removes and returns the oldest event; null if there is none. */
    DecisionEvent poll() {
        return events.poll();
    }
}
