package sprucelanding.control.core;

import sprucelanding.control.decision.ControllerOutput;
import sprucelanding.control.decision.EndpointState;
import sprucelanding.control.decision.HealthCheckResult;
import sprucelanding.control.decision.RoutingController;

/**
 * The inputs of a {@link RoutingController}, which has a method of the same name for each. A host
 * calls the controller through this interface, so that a recorder can be put in between, which
 * passes each call on. Called from one thread; times are ms on the host's clock.
 */
public interface ControllerInput {
    /** Sets the time of all that is called next. */
    void setTime(double now);

    /** A timer that the controller set has fired. */
    void timerFired(int tag);

    /**
     * A list of endpoints follows.
     *
     * @param complete whether endpoints that it leaves out are gone
     * @param initial whether it is the first since the start
     */
    void endpointListStarted(boolean complete, boolean initial);

    /**
     * One endpoint of the list.
     *
     * @param zone index of its zone
     * @param machineKind index of its kind of machine
     * @param weight as listed; it counts against the others'
     * @param startedAt when it started; 0 if that is long past
     */
    void endpointListed(
            long endpointId,
            int zone,
            int machineKind,
            double weight,
            double startedAt,
            EndpointState state);

    /** The list has ended. */
    void endpointListCompleted();

    /** The list could not be had. */
    void endpointListFailed();

    /**
     * A health check has ended.
     *
     * @param load share of busy cores that the endpoint reported; NaN if none
     */
    void healthCheckCompleted(long endpointId, HealthCheckResult result, double load);

    /**
     * Proxies reported on an endpoint.
     *
     * @param attempts requests that were sent to it
     * @param failed those of them that failed
     * @param responseMillis mean response time of the others, ms
     * @param load share of busy cores that the endpoint reported; NaN if none
     */
    void endpointStatsReported(
            long endpointId, int attempts, int failed, double responseMillis, double load);

    /** The orders that an acknowledgement was requested for are in force at a proxy. */
    void acknowledged(int serial);

    /** Requests of a class arrived at a proxy within a span of ms. */
    void demandReported(int proxyId, int requestClass, int requestCount, double spanMillis);

    /**
     * A proxy joined.
     *
     * @param zone index of its zone
     * @param baselineDemand expected requests a second
     * @param withoutTables whether it holds no orders from before
     */
    void proxyJoined(int proxyId, int zone, double baselineDemand, boolean withoutTables);

    /** A proxy left. */
    void proxyLeft(int proxyId);

    /** Takes one decision; false if there is none now. */
    boolean decide(ControllerOutput output);
}
