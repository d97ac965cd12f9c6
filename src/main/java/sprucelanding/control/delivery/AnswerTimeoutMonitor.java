package sprucelanding.control.delivery;

import java.util.OptionalDouble;

/**
 * Monitor for proxies that do not answer. It logs lagging proxies and closes streams whose answers
 * are overdue.
 *
 * <p>A proxy that does not read from its stream cannot receive a removal. After its stream is
 * closed, the proxy connects again and receives the removal immediately. Times are ms on the host's
 * clock.
 */
final class AnswerTimeoutMonitor {
    /** Fraction of the removal grace after which an unanswered removal closes the stream. */
    private static final double REMOVAL_TIMEOUT_SHARE = 0.6;

    private final double lagThresholdMillis;
    private final double answerTimeoutMillis;
    private final double removalTimeoutMillis;
    private final DeferredActions actions;

    AnswerTimeoutMonitor(
            double lagThresholdMillis,
            double answerTimeoutMillis,
            double removalGraceMillis,
            DeferredActions actions) {
        this.lagThresholdMillis = lagThresholdMillis;
        this.answerTimeoutMillis = answerTimeoutMillis;
        this.removalTimeoutMillis = REMOVAL_TIMEOUT_SHARE * removalGraceMillis;
        this.actions = actions;
    }

    /**
     * Returns whether the stream's answers are overdue. If so, queues the action that closes the
     * stream at the host; the caller has to discard the stream. Logs the proxy if it is lagging.
     */
    boolean closeIfOverdue(ProxyStream stream, double now) {
        OptionalDouble oldestSentAt = stream.unanswered().oldestSentAt();
        double unansweredMillis = oldestSentAt.isPresent() ? now - oldestSentAt.getAsDouble() : 0;
        boolean removalOverdue =
                stream.unanswered()
                        .oldestRemoval()
                        .filter(removal -> now - removal.sentAt > removalTimeoutMillis)
                        .isPresent();
        if (unansweredMillis > answerTimeoutMillis || removalOverdue) {
            String reason = removalOverdue ? "a removal unanswered, for " : "no answer for ";
            String fullReason = reason + Math.round(unansweredMillis) + " ms";
            actions.add(host -> host.closeStream(stream, fullReason));
            return true;
        }
        if (unansweredMillis > lagThresholdMillis && !stream.isLagging()) {
            stream.markLagging();
            actions.add(host -> logLagging(host, stream, unansweredMillis));
        }
        return false;
    }

    private static void logLagging(
            DeliveryActions host, ProxyStream stream, double unansweredMillis) {
        host.log(
                "proxy is lagging: updates are unanswered",
                "proxy",
                stream.proxyId,
                "waits",
                Math.round(unansweredMillis),
                "unanswered",
                stream.unanswered().size());
    }
}
