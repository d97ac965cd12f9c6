package sprucelanding.runtime.governor;

import java.util.concurrent.atomic.LongAdder;
import org.HdrHistogram.Histogram;
import org.HdrHistogram.Recorder;
import org.slf4j.spi.LoggingEventBuilder;

/** What one front wrote, and how long it took, since the last line with the figures. Any thread. */
final class FrontMetrics {
    private static final long MAX_LATENCY_MICROS = 3_600_000_000L;

    /** us from a decision to its bytes at the transport, and to its acknowledgement. */
    private final Recorder writeLatencies = new Recorder(MAX_LATENCY_MICROS, 3);

    private final Recorder acknowledgementLatencies = new Recorder(MAX_LATENCY_MICROS, 3);
    private final LongAdder bytes = new LongAdder();
    private final LongAdder tableEntries = new LongAdder();

    void recordWrite(double latencyMillis, long byteCount, int entryCount) {
        writeLatencies.recordValue((long) Math.max(0, latencyMillis * 1000));
        bytes.add(byteCount);
        tableEntries.add(entryCount);
    }

    void recordAcknowledgement(double latencyMillis) {
        acknowledgementLatencies.recordValue((long) Math.max(0, latencyMillis * 1000));
    }

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
