package sprucelanding.simulation.expectation;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * A sequence of events that starts with a settled fleet.
 *
 * @param events events ordered by time
 */
record EventSequence(List<InjectedEvent> events) {
    static final EventSequence EMPTY = new EventSequence(List.of());

    /** Returns this sequence with an additional event at the end. */
    EventSequence with(InjectedEvent event) {
        List<InjectedEvent> extended = new ArrayList<>(events);
        extended.add(event);
        return new EventSequence(extended);
    }

    /** Returns this sequence without the event at a position. */
    EventSequence without(int position) {
        List<InjectedEvent> shorter = new ArrayList<>(events);
        shorter.remove(position);
        return new EventSequence(shorter);
    }

    Optional<InjectedEvent> last() {
        return events.isEmpty() ? Optional.empty() : Optional.of(events.get(events.size() - 1));
    }

    /** Returns whether an event repeats an event of this sequence. */
    boolean containsRepetitionOf(InjectedEvent event) {
        return events.stream().anyMatch(event::repeats);
    }

    /** Returns a description of the sequence. */
    String describe() {
        return events.isEmpty()
                ? "the calm fleet"
                : String.join(", ", events.stream().map(InjectedEvent::describe).toList());
    }
}
