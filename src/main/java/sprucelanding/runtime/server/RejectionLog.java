package sprucelanding.runtime.server;

/**
 * A counter of rejected connections and dropped messages. It logs the first of each with its
 * reason, and the totals after each further hundred.
 */
final class RejectionLog {
    private static final int EVENTS_PER_LINE = 100;

    private final EventLog eventLog;
    private long rejectedConnections;
    private long droppedMessages;
    private long rejectedConnectionsLogged;
    private long droppedMessagesLogged;

    RejectionLog(EventLog eventLog) {
        this.eventLog = eventLog;
    }

    void connectionRejected(String reason) {
        rejectedConnections++;
        if (rejectedConnections == 1) {
            eventLog.log(ServerEvent.CONNECTION_REJECTED, reason);
        }
    }

    void messageDropped(String reason) {
        droppedMessages++;
        if (droppedMessages == 1) {
            eventLog.log(ServerEvent.MESSAGE_DROPPED, reason);
        }
    }

    /** Logs the totals if either has grown by at least a hundred since the last log line. */
    void logIfDue() {
        if (rejectedConnections - rejectedConnectionsLogged < EVENTS_PER_LINE
                && droppedMessages - droppedMessagesLogged < EVENTS_PER_LINE) {
            return;
        }
        eventLog.log(
                new LogLine(ServerEvent.REJECTION_TOTALS)
                        .with("connections_rejected", rejectedConnections)
                        .with("messages_dropped", droppedMessages));
        rejectedConnectionsLogged = rejectedConnections;
        droppedMessagesLogged = droppedMessages;
    }
}
