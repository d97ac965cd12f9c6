package sprucelanding.simulation.expectation;

import java.util.List;

/**
 * A file of expectations. The components are bound by name to the records of {@code expect.cue},
 * which states bounds and defaults. Times are in milliseconds; shares are from 0 to 1.
 *
 * @param name name of the subject that the file describes
 * @param day scenario file that defines the fleet
 * @param expectations the expectations
 * @param search search for further failures; null for no search
 */
public record Expectations(String name, String day, List<Expectation> expectations, Search search) {
    /**
     * An event.
     *
     * @param what name of an {@link EventKind} in the configuration
     * @param one position of an endpoint or name of a zone; null to try all of them separately
     * @param after time since the previous event
     * @param size utilization or factor, depending on the kind
     */
    public record Event(String what, String one, double after, double size) {}

    /**
     * An expectation.
     *
     * @param events events that precede the check; empty for the settled fleet
     * @param product name of a request class; null for all request classes
     * @param expect name of a {@link Condition} in the configuration
     * @param zone name of a zone; null for all zones
     * @param atMost upper bound
     * @param atLeast lower bound
     * @param within time from the last event until the condition must hold; for a gentle start,
     *     time from the last event during which the condition must hold
     * @param holds time for which the condition must hold
     */
    public record Expectation(
            String name,
            List<Event> events,
            String product,
            String expect,
            String zone,
            double atMost,
            double atLeast,
            double within,
            double holds) {}

    /**
     * A search for sequences of events that violate general conditions and that no expectation
     * states.
     *
     * @param kinds configuration names of the kinds of events
     * @param depth maximum number of events in a sequence
     * @param apart time between two events
     * @param most maximum number of sequences
     */
    public record Search(List<String> kinds, int depth, double apart, int most) {}

    /** Name of the schema resource. */
    public static final String SCHEMA = "expect.cue";

    /** Name of the definition in the schema. */
    public static final String DEFINITION = "#Expectations";
}
