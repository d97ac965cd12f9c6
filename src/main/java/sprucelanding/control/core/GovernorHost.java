package sprucelanding.control.core;

import sprucelanding.control.delivery.ProxyStream;
import sprucelanding.control.delivery.ResourceUpdate;
import sprucelanding.control.discovery.ListedEndpoint;

/**
 * What a {@link GovernorCore} needs of its environment: a clock, timers, the proxies' transports,
 * health checks, peers and a log. All calls come from the core's thread. Times are ms on one clock
 * that never goes back.
 */
public interface GovernorHost {
    /** The current time, ms. */
    double now();

    /** Runs a step on the core's thread at the given time, or soon if that has passed. */
    void schedule(double time, Runnable step);

    /**
     * Sends a response.
     *
     * @param transport what the host passed when the proxy connected
     */
    void send(Object transport, ResourceUpdate update);

    /**
     * Ends a stream.
     *
     * @param transport what the host passed when the proxy connected
     * @param busy whether the only reason is that there are too many streams
     */
    void closeStream(Object transport, ProxyStream stream, boolean busy, String reason);

    /** Starts a health check; its result comes by {@link GovernorCore#healthCheckCompleted}. */
    void startHealthCheck(ListedEndpoint endpoint);

    /** Sends the controller's payload to the other governors; it may be lost. */
    void broadcastToPeers(byte[] payload);

    /** Begins to watch the endpoint list, if it does not come unasked. */
    void watchEndpointList();

    /**
     * The orders of a batch are in force at a proxy.
     *
     * @param transport what the host passed when the proxy connected
     * @param delayMillis ms since they were decided
     */
    void batchAcknowledged(Object transport, double delayMillis);

    /** An endpoint was listed or has changed. */
    void endpointListed(ListedEndpoint endpoint);

    /** Own proxies' statistics of an endpoint for a period, as passed to the controller. */
    default void endpointStatsReported(
            long endpointId, int attempts, int failed, double responseMillis, double load) {}

    /** Writes one line to the log; fields are keys and values in turn. */
    void log(String event, Object... fields);

    /** A decision threw: the tables in force stay, and the next event tries again. */
    void decisionFailed(RuntimeException failure);
}
