package sprucelanding.control.core;

import sprucelanding.control.decision.ControllerOutput;
import sprucelanding.control.decision.EndpointState;
import sprucelanding.control.decision.HealthCheckResult;
import sprucelanding.control.decision.RoutingController;

/**
 * Input side of a {@link RoutingController}, which has a method of the same name for each input.
 *
 * <p>A host calls the controller through this interface. A recorder can therefore be placed between
 * the two; it passes each call on. All methods are called from one thread; times are ms on the
 * host's clock.
 */
public interface ControllerInput {
    /** Sets the current time, which applies to all calls that follow. */
    void setTime(double now);

    /**
     * Notifies the controller that one of its timers has expired.
     *
     * @param tag tag that the controller gave the timer
     */
    void timerFired(int tag);

    /**
     * Starts an endpoint list; a call of {@link #endpointListed} follows for each entry.
     *
     * @param complete whether endpoints that are not in the list no longer exist
     * @param initial whether this is the first list since the governor started
     */
    void endpointListStarted(boolean complete, boolean initial);

    /**
     * Adds one endpoint of the list.
     *
     * @param zone index of the endpoint's zone
     * @param machineKind index of the endpoint's machine kind
     * @param weight weight from the list, relative to the weights of the other endpoints
     * @param startedAt time at which the endpoint started; 0 if it started long ago
     */
    void endpointListed(
            long endpointId,
            int zone,
            int machineKind,
            double weight,
            double startedAt,
            EndpointState state);

    /** Ends an endpoint list. */
    void endpointListCompleted();

    /** Notifies the controller that the endpoint list could not be retrieved. */
    void endpointListFailed();

    /**
     * Reports the result of a health check.
     *
     * @param load fraction of the endpoint's cores in use; NaN if it was not reported
     */
    void healthCheckCompleted(long endpointId, HealthCheckResult result, double load);

    /**
     * Reports the proxies' statistics of an endpoint.
     *
     * @param attempts number of attempts sent to the endpoint
     * @param failed number of these attempts that failed
     * @param responseMillis mean response time of the other attempts, in ms
     * @param load fraction of the endpoint's cores in use; NaN if it was not reported
     */
    void endpointStatsReported(
            long endpointId, int attempts, int failed, double responseMillis, double load);

    /**
     * Notifies the controller that the orders covered by an acknowledgement request are in force at
     * a proxy.
     *
     * @param serial serial number of the request
     */
    void acknowledged(int serial);

    /**
     * Reports the number of requests of a class that arrived at a proxy.
     *
     * @param spanMillis length of the period in which they arrived, in ms
     */
    void demandReported(int proxyId, int requestClass, int requestCount, double spanMillis);

    /**
     * Adds a proxy.
     *
     * @param zone index of the proxy's zone
     * @param baselineDemand expected requests per second
     * @param withoutTables whether the proxy holds no routing tables from an earlier connection
     */
    void proxyJoined(int proxyId, int zone, double baselineDemand, boolean withoutTables);

    /** Removes a proxy. */
    void proxyLeft(int proxyId);

    /**
     * Takes one decision and passes it to the output.
     *
     * @return false if there is no decision to take at present
     */
    boolean decide(ControllerOutput output);
}
