package sprucelanding.simulation.scenario;

import java.util.stream.LongStream;
import sprucelanding.simulation.rules.TraceEvent.RequestOutcome;

/** Counters of the outcomes of the requests of one request class. */
final class OutcomeCounts {
    private final long[] counts = new long[RequestOutcome.values().length];

    void add(RequestOutcome outcome) {
        counts[outcome.ordinal()]++;
    }

    long count(RequestOutcome outcome) {
        return counts[outcome.ordinal()];
    }

    long total() {
        return LongStream.of(counts).sum();
    }

    /** Returns the number of requests that were answered, either in time or late. */
    long answered() {
        return count(RequestOutcome.IN_TIME) + count(RequestOutcome.LATE);
    }

    /** Returns whether a request with an outcome was answered and therefore has a latency. */
    static boolean isAnswered(RequestOutcome outcome) {
        return outcome == RequestOutcome.IN_TIME || outcome == RequestOutcome.LATE;
    }
}
