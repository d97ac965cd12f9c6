package sprucelanding.simulation.simulator;

import java.util.Map;
import java.util.OptionalInt;
import sprucelanding.control.decision.EndpointState;
import sprucelanding.control.decision.HealthCheckResult;
import sprucelanding.control.decision.RoutingController;
import sprucelanding.control.settings.MalformedInputException;
import sprucelanding.control.settings.SettingsReader;

/**
 * A hosted controller. The instance passes the events of the simulator to the controller, and
 * writes the orders of the controller as commands.
 *
 * <p>A failure of the controller is reported as a command, and the instance continues. A malformed
 * event causes a {@link MalformedInputException}.
 */
final class ControllerInstance {
    private final RoutingController controller;
    private final CommandEncoder encoder;

    /** Column of the CPU utilization in a row of load values; empty if there is no such column. */
    private final OptionalInt loadColumn;

    /**
     * Creates an instance with a new controller.
     *
     * @param seed seed of all random numbers of the controller
     * @param encoder encoder that receives the orders of the controller
     */
    ControllerInstance(SettingsReader settings, long seed, CommandEncoder encoder) {
        this.controller = settings.newController(seed);
        this.encoder = encoder;
        this.loadColumn = settings.loadColumn();
    }

    /** Sets the time of the events that follow, in milliseconds. */
    void setTime(double nowMillis) {
        controller.setTime(nowMillis);
    }

    /**
     * Passes an event to the controller.
     *
     * @param endpointLists endpoint lists that the simulator has sent, by list id
     */
    void handle(SimulatorMessage event, Map<Integer, SimulatorMessage[]> endpointLists) {
        try {
            dispatch(event, endpointLists);
        } catch (MalformedInputException e) {
            throw e;
        } catch (RuntimeException e) {
            encoder.reportBug(e);
        }
    }

    /** Runs decisions of the controller until it has no more orders to give. */
    void decide() {
        try {
            while (controller.decide(encoder)) {
                continue;
            }
        } catch (RuntimeException e) {
            encoder.reportBug(e);
        }
    }

    private void dispatch(SimulatorMessage event, Map<Integer, SimulatorMessage[]> endpointLists) {
        switch (event.name()) {
            case SimulatorProtocol.TIMER_FIRED -> timerFired(event);
            case SimulatorProtocol.ENDPOINTS_LISTED -> endpointsListed(event, endpointLists);
            case SimulatorProtocol.HEALTH_CHECK_COMPLETED -> healthCheckCompleted(event);
            case SimulatorProtocol.ENDPOINT_STATS -> endpointStatsReported(event);
            case SimulatorProtocol.PROXY_DEMAND -> demandReported(event);
            case SimulatorProtocol.PROXY_JOINED -> proxyJoined(event);
            case SimulatorProtocol.PROXY_LEFT -> proxyLeft(event);
            case SimulatorProtocol.ACKNOWLEDGED -> acknowledged(event);
            case SimulatorProtocol.PEER_MESSAGE,
                    SimulatorProtocol.WEIGHT_OBSERVED,
                    SimulatorProtocol.CHARGED,
                    SimulatorProtocol.RECORDED -> {
                // The controller does not use these events.
            }
            default -> throw new MalformedInputException("unknown event " + event.name());
        }
    }

    private void timerFired(SimulatorMessage event) {
        event.requireFields(2);
        int timerId = event.intValue(2);
        controller.timerFired(timerId);
    }

    private void healthCheckCompleted(SimulatorMessage event) {
        event.requireFields(5);
        long endpointId = event.longValue(2);
        HealthCheckResult result = healthCheckResult(event.intValue(3));
        double load = event.rowValue(5, loadColumn);
        controller.healthCheckCompleted(endpointId, result, load);
    }

    private static HealthCheckResult healthCheckResult(int statusCode) {
        return switch (statusCode) {
            case SimulatorProtocol.STATUS_OK -> HealthCheckResult.OK;
            case SimulatorProtocol.STATUS_BUSY -> HealthCheckResult.BUSY;
            case SimulatorProtocol.STATUS_ERROR -> HealthCheckResult.ERROR;
            case SimulatorProtocol.STATUS_TIMED_OUT -> HealthCheckResult.TIMED_OUT;
            case SimulatorProtocol.STATUS_NOT_CONNECTED, SimulatorProtocol.STATUS_CONNECTION_LOST ->
                    HealthCheckResult.UNREACHABLE;
            default -> HealthCheckResult.NOT_PERFORMED;
        };
    }

    private void endpointStatsReported(SimulatorMessage event) {
        event.requireFields(8);
        long endpointId = event.longValue(3);
        int attempts = event.intValue(6);
        int failed = event.intValue(4);
        double responseMillis = event.millis(5);
        double load = event.rowValue(8, loadColumn);
        controller.endpointStatsReported(endpointId, attempts, failed, responseMillis, load);
    }

    private void demandReported(SimulatorMessage event) {
        event.requireFields(6);
        int proxyId = event.intValue(5);
        int classIndex = event.intValue(2);
        int requests = event.intValue(4);
        double spanMillis = event.millis(3);
        controller.demandReported(proxyId, classIndex, requests, spanMillis);
    }

    private void proxyJoined(SimulatorMessage event) {
        event.requireFields(5);
        int proxyId = event.intValue(3);
        int zone = event.intValue(4);
        double expectedDemand = event.doubleValue(2, 0);
        boolean unconfigured = event.booleanValue(5);
        controller.proxyJoined(proxyId, zone, expectedDemand, unconfigured);
    }

    private void proxyLeft(SimulatorMessage event) {
        event.requireFields(2);
        int proxyId = event.intValue(2);
        controller.proxyLeft(proxyId);
    }

    private void acknowledged(SimulatorMessage event) {
        event.requireFields(4);
        int acknowledgementId = event.intValue(3);
        controller.acknowledged(acknowledgementId);
    }

    private void endpointsListed(
            SimulatorMessage event, Map<Integer, SimulatorMessage[]> endpointLists) {
        event.requireFields(4);
        switch (event.text(2)) {
            case SimulatorProtocol.LIST_FAILED -> controller.endpointListFailed();
            case SimulatorProtocol.LIST_CHANGES,
                    SimulatorProtocol.LIST_FULL,
                    SimulatorProtocol.LIST_CACHED ->
                    applyEndpointList(event.text(2), itemsOf(event, endpointLists));
            default ->
                    throw new MalformedInputException(
                            event.name() + " of unknown form " + event.text(2));
        }
    }

    private static SimulatorMessage[] itemsOf(
            SimulatorMessage event, Map<Integer, SimulatorMessage[]> endpointLists) {
        SimulatorMessage[] items = endpointLists.get(event.intValue(4));
        if (items == null) {
            throw new MalformedInputException(
                    event.name() + " names list " + event.text(4) + ", which was not sent");
        }
        return items;
    }

    private void applyEndpointList(String form, SimulatorMessage[] items) {
        controller.endpointListStarted(
                !form.equals(SimulatorProtocol.LIST_CHANGES),
                form.equals(SimulatorProtocol.LIST_CACHED));
        for (SimulatorMessage item : items) {
            endpointListed(item);
        }
        controller.endpointListCompleted();
    }

    private void endpointListed(SimulatorMessage item) {
        EndpointState state = endpointState(item);
        long endpointId = item.longValue(3);
        int zone = item.isAbsent(7) ? 0 : item.intValue(7);
        int machineKind = item.isAbsent(2) ? 0 : item.intValue(2);
        double weight = item.doubleValue(1, 1);
        double startedAtMillis = item.millis(4);
        controller.endpointListed(endpointId, zone, machineKind, weight, startedAtMillis, state);
    }

    private static EndpointState endpointState(SimulatorMessage item) {
        return switch (item.text(6)) {
            case SimulatorProtocol.ENDPOINT_AVAILABLE -> EndpointState.AVAILABLE;
            case SimulatorProtocol.ENDPOINT_DRAINING -> EndpointState.DRAINING;
            case SimulatorProtocol.ENDPOINT_GONE -> EndpointState.GONE;
            default ->
                    throw new MalformedInputException(
                            item.name() + " of unknown state " + item.text(6));
        };
    }
}
