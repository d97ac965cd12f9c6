package sprucelanding.control.core;

import sprucelanding.control.delivery.ProxyStream;
import sprucelanding.control.delivery.ResourceUpdate;
import sprucelanding.control.discovery.ListedEndpoint;

/**
 * Environment of a {@link GovernorCore}: clock, timers, transports of the proxies, health checks,
 * peers and log.
 *
 * <p>The core makes all calls from its own thread. Times are ms on one monotonic clock.
 */
public interface GovernorHost {
    /** Returns the current time in ms. */
    double now();

    /**
     * Schedules a step on the core's thread for the given time. The step runs as soon as possible
     * if that time has passed.
     */
    void schedule(double time, Runnable step);

    /**
     * Sends an update.
     *
     * @param transport object that the host passed when the proxy connected
     */
    void send(Object transport, ResourceUpdate update);

    /**
     * Closes a stream.
     *
     * @param transport object that the host passed when the proxy connected
     * @param busy whether the only reason is that the governor has too many streams
     * @param reason reason that may be sent to the proxy
     */
    void closeStream(Object transport, ProxyStream stream, boolean busy, String reason);

    /**
     * Starts a health check. The host reports the result by {@link
     * GovernorCore#healthCheckCompleted}.
     */
    void startHealthCheck(ListedEndpoint endpoint);

    /** Sends the controller's payload to the other governors; the payload may be lost. */
    void broadcastToPeers(byte[] payload);

    /** Starts a watch on the endpoint list if discovery does not push the list. */
    void watchEndpointList();

    /**
     * Reports that the orders of a batch are in force at a proxy.
     *
     * @param transport object that the host passed when the proxy connected
     * @param delayMillis time since the start of the batch, in ms
     */
    void batchAcknowledged(Object transport, double delayMillis);

    /** Reports that an endpoint was listed or has changed. */
    void endpointListed(ListedEndpoint endpoint);

    /**
     * Reports statistics of an endpoint from this governor's own proxies for one period, as passed
     * to the controller.
     */
    default void endpointStatsReported(
            long endpointId, int attempts, int failed, double responseMillis, double load) {}

    /** Writes one line to the log; the fields are alternating keys and values. */
    void log(String event, Object... fields);

    /**
     * Reports that a decision threw an exception. The routing tables in force stay, and the next
     * event starts another attempt.
     */
    void decisionFailed(RuntimeException failure);
}
