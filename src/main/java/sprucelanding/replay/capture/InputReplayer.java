package sprucelanding.replay.capture;

import sprucelanding.control.core.ControllerInput;
import sprucelanding.control.decision.EndpointState;
import sprucelanding.control.decision.HealthCheckResult;

/**
 * A replayer that passes recorded inputs to a controller; the inverse of {@link RecordingInput}.
 */
final class InputReplayer {
    private static final EndpointState[] ENDPOINT_STATES = EndpointState.values();
    private static final HealthCheckResult[] HEALTH_CHECK_RESULTS = HealthCheckResult.values();

    private final ControllerInput controller;

    InputReplayer(ControllerInput controller) {
        this.controller = controller;
    }

    /**
     * Passes a recorded input to the controller.
     *
     * @throws IllegalArgumentException if the event is not an input, or is {@link
     *     EventType#DECIDED}
     */
    void replay(CaptureEvent event) {
        switch (event.type()) {
            case CLOCK -> controller.setTime(event.doubleAt(0));
            case BELL -> controller.timerFired(event.intAt(0));
            case LIST_OPENS ->
                    controller.endpointListStarted(event.booleanAt(0), event.booleanAt(1));
            case LISTED -> replayListedEndpoint(event);
            case LIST_CLOSES -> controller.endpointListCompleted();
            case LIST_FAILED -> controller.endpointListFailed();
            case PROBED -> replayHealthCheck(event);
            case MET -> replayEndpointStats(event);
            case IN_FORCE -> controller.acknowledged(event.intAt(0));
            case CAME -> replayDemand(event);
            case JOINED -> replayJoin(event);
            case LEFT -> controller.proxyLeft(event.intAt(0));
            default ->
                    throw new IllegalArgumentException(
                            "event type " + event.type() + " is not an input that can be replayed");
        }
    }

    private void replayListedEndpoint(CaptureEvent event) {
        controller.endpointListed(
                event.longAt(0),
                event.intAt(1),
                event.intAt(2),
                event.doubleAt(3),
                event.doubleAt(4),
                ENDPOINT_STATES[event.intAt(5)]);
    }

    private void replayHealthCheck(CaptureEvent event) {
        controller.healthCheckCompleted(
                event.longAt(0), HEALTH_CHECK_RESULTS[event.intAt(1)], event.doubleAt(2));
    }

    private void replayEndpointStats(CaptureEvent event) {
        controller.endpointStatsReported(
                event.longAt(0),
                event.intAt(1),
                event.intAt(2),
                event.doubleAt(3),
                event.doubleAt(4));
    }

    private void replayDemand(CaptureEvent event) {
        controller.demandReported(
                event.intAt(0), event.intAt(1), event.intAt(2), event.doubleAt(3));
    }

    private void replayJoin(CaptureEvent event) {
        controller.proxyJoined(
                event.intAt(0), event.intAt(1), event.doubleAt(2), event.booleanAt(3));
    }
}
