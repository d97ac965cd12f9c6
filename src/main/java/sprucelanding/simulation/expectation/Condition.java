package sprucelanding.simulation.expectation;

import java.util.Arrays;
import java.util.Map;
import java.util.function.Function;
import java.util.stream.Collectors;

/** What is expected to hold; the words are those of {@code expect.cue}. */
enum Condition {
    /** No proxy has an entry for an endpoint that has ended or drains. */
    NO_TRAFFIC("noTraffic"),
    /** Each proxy has an entry for a ready endpoint. */
    READY_ENTRY("aLine"),
    /** The share of traffic of a zone is within bounds. */
    ZONE_SHARE("zonePart"),
    /** The share of traffic of each ready endpoint is near its share of the capacity. */
    FOLLOWS_CAPACITY("follows"),
    /** Endpoints of the last event get less than the mean at first. */
    GENTLE_START("gentle"),
    /** The admitted share of requests is within bounds. */
    ADMITTED_SHARE("letIn");

    private static final Map<String, Condition> CONDITIONS_BY_WORD =
            Arrays.stream(values())
                    .collect(Collectors.toUnmodifiableMap(Condition::word, Function.identity()));

    private final String word;

    Condition(String word) {
        this.word = word;
    }

    String word() {
        return word;
    }

    /** Returns whether any fleet should keep it, whatever its configuration. */
    boolean isGeneral() {
        return this == NO_TRAFFIC || this == READY_ENTRY;
    }

    /**
     * Returns the condition of an expectation.
     *
     * @throws IllegalArgumentException if there is none of its word
     */
    static Condition of(Expectations.Expectation expectation) {
        Condition condition = CONDITIONS_BY_WORD.get(expectation.expect());
        if (condition == null) {
            throw new IllegalArgumentException(expectation.expect());
        }
        return condition;
    }
}
