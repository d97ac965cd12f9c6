package sprucelanding.simulation.expectation;

import java.util.Arrays;
import java.util.Map;
import java.util.function.Function;
import java.util.stream.Collectors;

/** What an event does; the words are those of {@code expect.cue}. */
enum EventKind {
    /** An endpoint ends; discovery reports it later. */
    ENDPOINT_ENDS("dies"),
    /** An endpoint drains. */
    ENDPOINT_DRAINS("drains"),
    /** The endpoints of the event before start again. */
    ENDPOINT_RETURNS("returns"),
    /** All endpoints of a zone end. */
    ZONE_ENDS("zoneLost"),
    /** The endpoints of the event before start again. */
    ZONE_RETURNS("zoneReturns"),
    /** An endpoint reports a utilization, whatever it does. */
    UTILIZATION_FORCED("busy"),
    /** Clients send some times as many requests. */
    DEMAND_CHANGES("more"),
    /** The governor restarts; its proxies keep their tables. */
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
     * Returns the kind that a word names.
     *
     * @throws IllegalArgumentException if there is none; its message is the word
     */
    static EventKind of(String word) {
        EventKind kind = KINDS_BY_WORD.get(word);
        if (kind == null) {
            throw new IllegalArgumentException(word);
        }
        return kind;
    }
}
