package sprucelanding.simulation.expectation;

import java.util.List;

/**
 * A file of expectations. The components are bound by name to the records of {@code expect.cue},
 * which states bounds and defaults. Times are in milliseconds; shares are from 0 to 1.
 *
 * @param name name of the file's subject
 * @param day file of the scenario whose fleet is used
 * @param expectations what is expected
 * @param search failures that are searched beside; null for none
 */
public record Expectations(String name, String day, List<Expectation> expectations, Search search) {
    /**
     * An event.
     *
     * @param what word of an {@link EventKind}
     * @param one position of an endpoint or name of a zone; null for each in turn
     * @param after time after the event before
     * @param size utilization or factor, depending on the kind
     */
    public record Event(String what, String one, double after, double size) {}

    /**
     * An expectation.
     *
     * @param events events that come before; empty for the settled fleet
     * @param product name of a request class; null for each
     * @param expect word of a {@link Condition}
     * @param zone name of a zone; null for each
     * @param atMost upper bound
     * @param atLeast lower bound
     * @param within time after the last event from which on it must hold
     * @param holds time that it must hold for
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
     * A search for failures one after the other that no expectation names.
     *
     * @param kinds words of the kinds of events
     * @param depth greatest number of events in a sequence
     * @param apart time between two events
     * @param most greatest number of sequences
     */
    public record Search(List<String> kinds, int depth, double apart, int most) {}

    /** Resource with the schema. */
    public static final String SCHEMA = "expect.cue";

    /** Definition in the schema. */
    public static final String DEFINITION = "#Expectations";
}
