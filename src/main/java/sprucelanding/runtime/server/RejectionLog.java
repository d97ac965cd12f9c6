package sprucelanding.runtime.server;

/**
 * Counts rejected connections and dropped messages. The first of each is logged with its reason,
 * later ones as totals after each hundred.
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

    /** Logs the totals if there were a hundred of either since they were last logged. */
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
