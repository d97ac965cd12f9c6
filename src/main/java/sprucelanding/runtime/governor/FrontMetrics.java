package sprucelanding.runtime.governor;

import java.util.concurrent.atomic.LongAdder;
import org.HdrHistogram.Histogram;
import org.HdrHistogram.Recorder;
import org.slf4j.spi.LoggingEventBuilder;

/**
 * Metrics of one front's writes since they were last logged: counts, bytes and latencies. Safe for
 * use by any thread.
 */
final class FrontMetrics {
    private static final double MICROS_PER_MILLI = 1000;
    private static final int SIGNIFICANT_DIGITS = 3;
    private static final long MAX_LATENCY_MICROS = 3_600_000_000L;

    /** Microseconds from a decision until its bytes were passed to the transport. */
    private final Recorder writeLatencies = new Recorder(MAX_LATENCY_MICROS, SIGNIFICANT_DIGITS);

    /** Microseconds from a decision until its acknowledgement. */
    private final Recorder acknowledgementLatencies =
            new Recorder(MAX_LATENCY_MICROS, SIGNIFICANT_DIGITS);

    private final LongAdder bytes = new LongAdder();
    private final LongAdder tableEntries = new LongAdder();

    void recordWrite(double latencyMillis, long byteCount, int entryCount) {
        writeLatencies.recordValue((long) Math.max(0, latencyMillis * MICROS_PER_MILLI));
        bytes.add(byteCount);
        tableEntries.add(entryCount);
    }

    void recordAcknowledgement(double latencyMillis) {
        acknowledgementLatencies.recordValue((long) Math.max(0, latencyMillis * MICROS_PER_MILLI));
    }

    /** Adds the metrics since the previous call to a log event, and resets them to 0. */
    LoggingEventBuilder addTo(LoggingEventBuilder event) {
        Histogram writes = writeLatencies.getIntervalHistogram();
        Histogram acknowledgements = acknowledgementLatencies.getIntervalHistogram();
        return event.addKeyValue("messages", writes.getTotalCount())
                .addKeyValue("lines", tableEntries.sumThenReset())
                .addKeyValue("bytes", bytes.sumThenReset())
                .addKeyValue("writtenUsP50", writes.getValueAtPercentile(50))
                .addKeyValue("writtenUsP99", writes.getValueAtPercentile(99))
                .addKeyValue("writtenUsMax", writes.getMaxValue())
                .addKeyValue("ackedUsP50", acknowledgements.getValueAtPercentile(50))
                .addKeyValue("ackedUsP99", acknowledgements.getValueAtPercentile(99))
                .addKeyValue("ackedUsMax", acknowledgements.getMaxValue());
    }
}
