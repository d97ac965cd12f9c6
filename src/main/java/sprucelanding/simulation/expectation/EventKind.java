package sprucelanding.simulation.expectation;

import java.util.Arrays;
import java.util.Map;
import java.util.function.Function;
import java.util.stream.Collectors;

/** A kind of event, with its name in {@code expect.cue}. */
enum EventKind {
    /** An endpoint ends; the discovery service reports the end after a delay. */
    ENDPOINT_ENDS("dies"),
    /** An endpoint starts draining. */
    ENDPOINT_DRAINS("drains"),
    /** The endpoints of the previous event start again. */
    ENDPOINT_RETURNS("returns"),
    /** All endpoints of a zone end. */
    ZONE_ENDS("zoneLost"),
    /** The endpoints of the previous event start again, as for {@link #ENDPOINT_RETURNS}. */
    ZONE_RETURNS("zoneReturns"),
    /** An endpoint reports a fixed utilization regardless of its load. */
    UTILIZATION_FORCED("busy"),
    /** The request rate of the clients changes by a factor. */
    DEMAND_CHANGES("more"),
    /** The governor restarts, and the proxies keep their tables. */
    GOVERNOR_RESTARTS("restarts");

    private static final Map<String, EventKind> KINDS_BY_WORD =
            Arrays.stream(values())
                    .collect(Collectors.toUnmodifiableMap(EventKind::word, Function.identity()));

    private final String word;

    EventKind(String word) {
        this.word = word;
    }

    String word() {
        return word;
    }

    /**
     * Returns the kind with a name.
     *
     * @throws IllegalArgumentException if no kind has the name; the message is the name
     */
    static EventKind of(String word) {
        EventKind kind = KINDS_BY_WORD.get(word);
        if (kind == null) {
            throw new IllegalArgumentException(word);
        }
        return kind;
    }
}
