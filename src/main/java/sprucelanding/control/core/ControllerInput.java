package sprucelanding.control.core;

import sprucelanding.control.decision.ControllerOutput;
import sprucelanding.control.decision.EndpointState;
import sprucelanding.control.decision.HealthCheckResult;

/**
 * What Choice is told, and how it is asked; each call is as Choice has it. One that overhears
 * passes each call on.
 */
public interface ControllerInput {
    void setTime(double now);

    void timerFired(int tag);

    void endpointListStarted(boolean complete, boolean initial);

    void endpointListed(
            long endpointId,
            int zone,
            int machineKind,
            double weight,
            double startedAt,
            EndpointState state);

    void endpointListCompleted();

    void endpointListFailed();

    void healthCheckCompleted(long endpointId, HealthCheckResult result, double load);

    void endpointStatsReported(
            long endpointId, int attempts, int failed, double responseMillis, double load);

    void acknowledged(int serial);

    void demandReported(int proxyId, int requestClass, int requestCount, double spanMillis);

    void proxyJoined(int proxyId, int zone, double baselineDemand, boolean withoutTables);

    void proxyLeft(int proxyId);

    boolean decide(ControllerOutput output);
}
