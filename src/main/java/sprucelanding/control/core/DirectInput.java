package sprucelanding.control.core;

import sprucelanding.control.decision.ControllerOutput;
import sprucelanding.control.decision.EndpointState;
import sprucelanding.control.decision.HealthCheckResult;
import sprucelanding.control.decision.RoutingController;

/**
 * Controller input that passes each call directly to the controller.
 *
 * @param controller the controller that receives the calls
 */
public record DirectInput(RoutingController controller) implements ControllerInput {
    @Override
    public void setTime(double now) {
        controller.setTime(now);
    }

    @Override
    public void timerFired(int tag) {
        controller.timerFired(tag);
    }

    @Override
    public void endpointListStarted(boolean complete, boolean initial) {
        controller.endpointListStarted(complete, initial);
    }

    @Override
    public void endpointListed(
            long endpointId,
            int zone,
            int machineKind,
            double weight,
            double startedAt,
            EndpointState state) {
        controller.endpointListed(endpointId, zone, machineKind, weight, startedAt, state);
    }

    @Override
    public void endpointListCompleted() {
        controller.endpointListCompleted();
    }

    @Override
    public void endpointListFailed() {
        controller.endpointListFailed();
    }

    @Override
    public void healthCheckCompleted(long endpointId, HealthCheckResult result, double load) {
        controller.healthCheckCompleted(endpointId, result, load);
    }

    @Override
    public void endpointStatsReported(
            long endpointId, int attempts, int failed, double responseMillis, double load) {
        controller.endpointStatsReported(endpointId, attempts, failed, responseMillis, load);
    }

    @Override
    public void acknowledged(int serial) {
        controller.acknowledged(serial);
    }

    @Override
    public void demandReported(int proxyId, int requestClass, int requestCount, double spanMillis) {
        controller.demandReported(proxyId, requestClass, requestCount, spanMillis);
    }

    @Override
    public void proxyJoined(int proxyId, int zone, double baselineDemand, boolean withoutTables) {
        controller.proxyJoined(proxyId, zone, baselineDemand, withoutTables);
    }

    @Override
    public void proxyLeft(int proxyId) {
        controller.proxyLeft(proxyId);
    }

    @Override
    public boolean decide(ControllerOutput output) {
        return controller.decide(output);
    }
}
