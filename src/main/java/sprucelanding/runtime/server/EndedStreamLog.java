package sprucelanding.runtime.server;

import java.util.Map;
import java.util.TreeMap;

/** Counts streams of proxies that ended, by reason, and logs them at most once a second. */
final class EndedStreamLog {
    private static final double LOG_INTERVAL_MILLIS = 1000;

    /** Reasons that are told apart; a peer can cause more of them. */
    private static final int MAX_REASONS = 16;

    private static final String OTHER_REASON = "other";

    private final EventLog eventLog;

    /** Those that ended since the last line. */
    private final Map<String, Integer> countByReason = new TreeMap<>();

    private double lastLoggedMillis;

    EndedStreamLog(EventLog eventLog) {
        this.eventLog = eventLog;
    }

    void streamEnded(String reason) {
        boolean toldApart = countByReason.size() < MAX_REASONS || countByReason.containsKey(reason);
        countByReason.merge(toldApart ? reason : OTHER_REASON, 1, Integer::sum);
    }

    /** Logs what there is, unless it did so within the last second. */
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
