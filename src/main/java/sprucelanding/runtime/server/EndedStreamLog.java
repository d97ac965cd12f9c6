package sprucelanding.runtime.server;

import java.util.Map;
import java.util.TreeMap;

/** A counter of ended proxy streams, by reason. It logs its counts at most once a second. */
final class EndedStreamLog {
    private static final double LOG_INTERVAL_MILLIS = 1000;

    /**
     * Reasons that are counted separately. The number is limited, as a peer can cause any number of
     * different reasons.
     */
    private static final int MAX_REASONS = 16;

    private static final String OTHER_REASON = "other";

    private final EventLog eventLog;

    /** Streams that ended since the last log line. */
    private final Map<String, Integer> countByReason = new TreeMap<>();

    private double lastLoggedMillis;

    EndedStreamLog(EventLog eventLog) {
        this.eventLog = eventLog;
    }

    void streamEnded(String reason) {
        boolean isCountedSeparately =
                countByReason.size() < MAX_REASONS || countByReason.containsKey(reason);
        countByReason.merge(isCountedSeparately ? reason : OTHER_REASON, 1, Integer::sum);
    }

    /** Logs the counts, unless there are none or counts were logged within the last second. */
    void logIfDue(double nowMillis, int openStreams) {
        if (countByReason.isEmpty() || nowMillis - lastLoggedMillis < LOG_INTERVAL_MILLIS) {
            return;
        }
        eventLog.log(
                new LogLine(ServerEvent.STREAMS_ENDED)
                        .with("open", openStreams)
                        .with("reasons", countByReason.toString()));
        countByReason.clear();
        lastLoggedMillis = nowMillis;
    }
}
