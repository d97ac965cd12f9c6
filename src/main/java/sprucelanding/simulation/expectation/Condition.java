package sprucelanding.simulation.expectation;

import java.util.Arrays;
import java.util.Map;
import java.util.function.Function;
import java.util.stream.Collectors;

/** A condition that an expectation states, with its name in {@code expect.cue}. */
enum Condition {
    /** No proxy sends requests to an endpoint that has ended or is draining. */
    NO_TRAFFIC("noTraffic"),
    /** Each proxy has a table entry for a ready endpoint. */
    READY_ENTRY("aLine"),
    /** The zone's share of the traffic is within bounds. */
    ZONE_SHARE("zonePart"),
    /** Each ready endpoint's share of the traffic is close to its share of the capacity. */
    FOLLOWS_CAPACITY("follows"),
    /** Endpoints of the last event initially get at most a fraction of the mean traffic share. */
    GENTLE_START("gentle"),
    /** The share of requests that proxies admit is within bounds. */
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

    /** Returns whether every fleet must keep the condition regardless of its configuration. */
    boolean isGeneral() {
        return this == NO_TRAFFIC || this == READY_ENTRY;
    }

    /**
     * Returns the condition of an expectation.
     *
     * @throws IllegalArgumentException if no condition has the name; the message is the name
     */
    static Condition of(Expectations.Expectation expectation) {
        Condition condition = CONDITIONS_BY_WORD.get(expectation.expect());
        if (condition == null) {
            throw new IllegalArgumentException(expectation.expect());
        }
        return condition;
    }
}
