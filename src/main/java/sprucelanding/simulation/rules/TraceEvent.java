package sprucelanding.simulation.rules;

import java.util.Set;

/**
 * An event that a simulated peer observed at its socket, or that a scenario caused. Times are in
 * milliseconds on the machine's monotonic clock.
 */
public sealed interface TraceEvent {
    /** Returns the time of the event, in milliseconds. */
    double at();

    /**
     * An attempt of a request reached an endpoint.
     *
     * @param proxy proxy that sent the attempt
     * @param attempt number of the attempt
     * @param workMillis work that the request requires
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

    /** An endpoint executed an attempt of a request. */
    record Executed(
            double at, long endpointId, int requestClass, long requestId, int proxy, int attempt)
            implements TraceEvent {}

    /**
     * A client sent a request to its proxy.
     *
     * @param workMillis work that the request requires
     */
    record RequestArrived(double at, int proxy, int requestClass, long requestId, double workMillis)
            implements TraceEvent {}

    /**
     * A client's request ended.
     *
     * @param latencyMillis time since the client first sent the request
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
     * @param startedAt start of the endpoint's process on the same clock; 0 if the process started
     *     long ago
     */
    record EndpointReported(
            double at, int governor, long endpointId, boolean ready, double startedAt)
            implements TraceEvent {}

    /**
     * Discovery reported a complete endpoint list to a governor. Endpoints that are not in the list
     * are removed.
     */
    record EndpointListReported(double at, int governor, Set<Long> endpointIds)
            implements TraceEvent {}

    /** A proxy received the first response on its stream to a governor. */
    record ProxyJoined(double at, int proxy, int governor) implements TraceEvent {}

    /** A proxy's stream to its governor ended. */
    record ProxyLeft(double at, int proxy) implements TraceEvent {}

    /**
     * A proxy read a message that a governor had sent.
     *
     * @param front protocol of the message
     * @param kind resource type or operation
     * @param entries table entries in the message
     * @param governorEpoch name and epoch of the governor as the message states them, NAME#EPOCH;
     *     without an epoch if governors do not share the fleet
     */
    record MessageRead(
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
     * A scenario injected a fault into a governor.
     *
     * @param fault {@code kill}, {@code pause}, {@code stop}, {@code cut} (cut off from its
     *     proxies) or {@code alone} (cut off from the other governors)
     */
    record FaultInjected(double at, int governor, String fault) implements TraceEvent {}

    /** A proxy acknowledged or rejected a message. */
    record MessageAnswered(double at, int proxy, long nonce, boolean rejected)
            implements TraceEvent {}

    /**
     * A scenario made a proxy stop or resume reading. A proxy that does not read cannot learn of
     * changes.
     */
    record ReadingChanged(double at, int proxy, boolean reading) implements TraceEvent {}

    /** The number of entries that a proxy can select from for a request class changed. */
    record TableChanged(double at, int proxy, int requestClass, int entries)
            implements TraceEvent {}

    /**
     * An endpoint's process started.
     *
     * @param capacity milliseconds of work per millisecond, once the endpoint is warm
     */
    record EndpointStarted(double at, long endpointId, double capacity) implements TraceEvent {}

    /** An endpoint's process ended. */
    record EndpointStopped(double at, long endpointId) implements TraceEvent {}

    /** The outcome of a client's request. */
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
