package sprucelanding.simulation.expectation;

import java.util.List;

/** A file of expectations; expect.cue says what each field is. Times in ms. */
public record Expectations(String name, String day, List<Expectation> expectations, Search search) {
    public record Event(String what, String one, double after, double size) {}

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

    public record Search(List<String> kinds, int depth, double apart, int most) {}

    public static final String SCHEMA = "expect.cue";
    public static final String DEFINITION = "#Expectations";
}
