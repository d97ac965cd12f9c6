package sprucelanding.control.decision;

import java.util.ArrayDeque;

/** Events that wait to be handed to the host for its log, oldest first. */
final class DecisionLog {
    private final ArrayDeque<DecisionEvent> events = new ArrayDeque<>();

    void add(DecisionEvent event) {
        events.add(event);
    }

    boolean isEmpty() {
        return events.isEmpty();
    }

    /** Takes the oldest event; null if there is none. */
    DecisionEvent poll() {
        return events.poll();
    }
}
