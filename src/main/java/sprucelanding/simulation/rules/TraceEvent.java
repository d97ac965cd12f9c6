package sprucelanding.simulation.rules;

import java.util.Set;

/**
 * An event that a simulated peer observed at a socket of its own, or that a script caused. Times
 * are milliseconds on the machine's monotonic clock.
 */
public sealed interface TraceEvent {
    /** Returns the time of the event. */
    double at();

    /**
     * An attempt of a request reached an endpoint.
     *
     * @param proxy the sender
     * @param attempt number of the attempt
     * @param workMillis work that the request takes
     */
    record AttemptSent(
            double at,
            int proxy,
            long endpointId,
            int requestClass,
            long requestId,
            int attempt,
            double workMillis)
            implements TraceEvent {}

    /** An endpoint executed a request. */
    record Executed(
            double at, long endpointId, int requestClass, long requestId, int proxy, int attempt)
            implements TraceEvent {}

    /**
     * A client sent a request to its proxy.
     *
     * @param workMillis work that the request takes
     */
    record RequestArrived(double at, int proxy, int requestClass, long requestId, double workMillis)
            implements TraceEvent {}

    /**
     * A client's request ended.
     *
     * @param latencyMillis time since the client first sent it
     */
    record RequestEnded(
            double at,
            int requestClass,
            long requestId,
            RequestOutcome outcome,
            double latencyMillis)
            implements TraceEvent {}

    /**
     * Discovery reported the state of an endpoint to a governor.
     *
     * @param startedAt start of the endpoint on the same clock; 0 if it started long ago
     */
    record EndpointReported(
            double at, int governor, long endpointId, boolean ready, double startedAt)
            implements TraceEvent {}

    /** Discovery reported a whole list to a governor: endpoints that aren't on it are removed. */
    record EndpointListReported(double at, int governor, Set<Long> endpointIds)
            implements TraceEvent {}

    /** A proxy received the first response on its stream to a governor. */
    record ProxyJoined(double at, int proxy, int governor) implements TraceEvent {}

    /** A proxy's stream to its governor ended. */
    record ProxyLeft(double at, int proxy) implements TraceEvent {}

    /**
     * A proxy read a message of a governor.
     *
     * @param front protocol of the message
     * @param kind resource type or operation
     * @param entries table entries in the message
     * @param governorEpoch writer and its epoch as the message states them, NAME#EPOCH; without an
     *     epoch where governors don't share the fleet
     */
    record MessageSent(
            double at,
            int proxy,
            int governor,
            String front,
            String kind,
            long nonce,
            int entries,
            String governorEpoch)
            implements TraceEvent {}

    /**
     * A script injected a fault into a governor.
     *
     * @param fault kill, pause, stop, cut (off from its proxies) or alone (cut off from the other
     *     governors)
     */
    record FaultInjected(double at, int governor, String fault) implements TraceEvent {}

    /** A proxy acknowledged or rejected a message. */
    record MessageAnswered(double at, int proxy, long nonce, boolean rejected)
            implements TraceEvent {}

    /**
     * A script made a proxy stop or resume reading; while it doesn't read it cannot learn anything.
     */
    record ReadingChanged(double at, int proxy, boolean reading) implements TraceEvent {}

    /** The number of entries that a proxy can select from for a request class changed. */
    record TableChanged(double at, int proxy, int requestClass, int entries)
            implements TraceEvent {}

    /**
     * An endpoint's process started.
     *
     * @param capacity work per millisecond, in milliseconds, once it is warm
     */
    record EndpointStarted(double at, long endpointId, double capacity) implements TraceEvent {}

    /** An endpoint's process ended. */
    record EndpointStopped(double at, long endpointId) implements TraceEvent {}

    /** How a client's request ended. */
    enum RequestOutcome {
        /** Answered within its time limit. */
        IN_TIME,
        /** Answered after its time limit. */
        LATE,
        /** Rejected by admission control. */
        DECLINED,
        /** Failed. */
        VOIDED
    }
}
