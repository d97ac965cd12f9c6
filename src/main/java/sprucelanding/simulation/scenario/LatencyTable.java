package sprucelanding.simulation.scenario;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Locale;
import org.HdrHistogram.Histogram;
import sprucelanding.simulation.rules.TraceEvent;
import sprucelanding.simulation.rules.TraceEvent.RequestOutcome;

/** A table of the outcomes and latencies of requests by request class. */
final class LatencyTable {
    private static final long MAX_LATENCY_MICROS = 3_600_000_000L;
    private static final int SIGNIFICANT_DIGITS = 3;

    private final List<String> requestClassNames;
    private final List<OutcomeCounts> outcomes = new ArrayList<>();

    /** Latencies of answered requests by request class, in microseconds. */
    private final List<Histogram> latencies = new ArrayList<>();

    LatencyTable(List<String> requestClassNames) {
        this.requestClassNames = requestClassNames;
        for (int i = 0; i < requestClassNames.size(); i++) {
            outcomes.add(new OutcomeCounts());
            latencies.add(new Histogram(MAX_LATENCY_MICROS, SIGNIFICANT_DIGITS));
        }
    }

    /** Counts a request that ended. */
    void add(TraceEvent.RequestEnded ended) {
        outcomes.get(ended.requestClass()).add(ended.outcome());
        if (OutcomeCounts.isAnswered(ended.outcome())) {
            latencies.get(ended.requestClass()).recordValue((long) (ended.latencyMillis() * 1000));
        }
    }

    /** Returns the latencies of answered requests by request class, in microseconds. */
    List<Histogram> latencies() {
        return Collections.unmodifiableList(latencies);
    }

    /** Appends the table to a text, with a header row and one row for each request class. */
    void appendTo(StringBuilder text) {
        text.append(
                String.format(
                        Locale.ROOT,
                        "%-14s %9s %9s %9s %9s %9s   %8s %8s %8s %8s %8s%n",
                        "product",
                        "txns",
                        "in time",
                        "late",
                        "declined",
                        "voided",
                        "p50 ms",
                        "p90",
                        "p99",
                        "p99.9",
                        "most"));
        for (int i = 0; i < requestClassNames.size(); i++) {
            text.append(row(requestClassNames.get(i), outcomes.get(i), latencies.get(i)));
        }
    }

    private static String row(String name, OutcomeCounts outcomes, Histogram latency) {
        return String.format(
                Locale.ROOT,
                "%-14s %9d %9d %9d %9d %9d   %8.1f %8.1f %8.1f %8.1f %8.1f%n",
                name,
                outcomes.total(),
                outcomes.count(RequestOutcome.IN_TIME),
                outcomes.count(RequestOutcome.LATE),
                outcomes.count(RequestOutcome.DECLINED),
                outcomes.count(RequestOutcome.VOIDED),
                latency.getValueAtPercentile(50) / 1000.0,
                latency.getValueAtPercentile(90) / 1000.0,
                latency.getValueAtPercentile(99) / 1000.0,
                latency.getValueAtPercentile(99.9) / 1000.0,
                latency.getMaxValue() / 1000.0);
    }
}
