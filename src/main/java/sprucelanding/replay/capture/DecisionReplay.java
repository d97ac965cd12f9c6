package sprucelanding.replay.capture;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import sprucelanding.control.core.ControllerInput;
import sprucelanding.control.decision.ControllerOutput;
import sprucelanding.control.decision.EndpointState;
import sprucelanding.control.decision.HealthCheckResult;

/**
 * Decides again: give it the events one by one, and it tells the module what it was told then, asks
 * it as often, and compares its orders, to the last bit. After the first difference, or a gap, it
 * goes no further.
 */
public final class DecisionReplay {
    private static final int CONTEXT_EVENTS = 12;
    private static final EndpointState[] ENDPOINT_STATES = EndpointState.values();
    private static final HealthCheckResult[] HEALTH_CHECK_RESULTS = HealthCheckResult.values();
    private static final ControllerOutput DISCARDING_OUTPUT =
            (ControllerOutput)
                    java.lang.reflect.Proxy.newProxyInstance(
                            DecisionReplay.class.getClassLoader(),
                            new Class<?>[] {ControllerOutput.class},
                            (self, method, args) -> null);

    private final ControllerInput controller;
    private final List<CaptureEvent> recordedOrders = new ArrayList<>();
    private final List<CaptureEvent> replayedOrders = new ArrayList<>();
    private final ArrayDeque<CaptureEvent> recentEvents = new ArrayDeque<>();
    private double now;
    private long orderCount;
    private long decisionCount;
    private String stopReason;

    /**
     * @param choice as it was set up then
     */
    public DecisionReplay(ControllerInput controller) {
        this.controller =
                new RecordingInput(
                        controller,
                        (at, type, fields) -> {
                            if (type.source == EventType.EventSource.ORDER) {
                                replayedOrders.add(CaptureEvent.of(type, at, fields));
                            }
                        });
    }

    public long orderCount() {
        return orderCount;
    }

    public long decisionCount() {
        return decisionCount;
    }

    /** Why it went no further; null if it did not stop. */
    public String stopReason() {
        return stopReason;
    }

    /** Null for a gap. */
    public void onEvent(CaptureEvent event) {
        if (stopReason != null) {
            return;
        }
        if (event == null) {
            stopReason =
                    "events were dropped here: what was decided after it cannot be decided again";
            return;
        }
        if (event.type().source == EventType.EventSource.ORDER) {
            recordedOrders.add(event);
        } else if (event.type().source == EventType.EventSource.INPUT) {
            replayInput(event);
        }
        if (event.type().source == EventType.EventSource.INPUT
                || event.type().source == EventType.EventSource.ORDER) {
            recentEvents.add(event);
            if (recentEvents.size() > CONTEXT_EVENTS) {
                recentEvents.poll();
            }
        }
    }

    private void replayInput(CaptureEvent event) {
        switch (event.type()) {
            case CLOCK -> {
                now = event.doubleAt(0);
                controller.setTime(now);
            }
            case BELL -> controller.timerFired(event.intAt(0));
            case LIST_OPENS ->
                    controller.endpointListStarted(event.booleanAt(0), event.booleanAt(1));
            case LISTED ->
                    controller.endpointListed(
                            event.longAt(0),
                            event.intAt(1),
                            event.intAt(2),
                            event.doubleAt(3),
                            event.doubleAt(4),
                            ENDPOINT_STATES[event.intAt(5)]);
            case LIST_CLOSES -> controller.endpointListCompleted();
            case LIST_FAILED -> controller.endpointListFailed();
            case PROBED ->
                    controller.healthCheckCompleted(
                            event.longAt(0),
                            HEALTH_CHECK_RESULTS[event.intAt(1)],
                            event.doubleAt(2));
            case MET ->
                    controller.endpointStatsReported(
                            event.longAt(0),
                            event.intAt(1),
                            event.intAt(2),
                            event.doubleAt(3),
                            event.doubleAt(4));
            case IN_FORCE -> controller.acknowledged(event.intAt(0));
            case CAME ->
                    controller.demandReported(
                            event.intAt(0), event.intAt(1), event.intAt(2), event.doubleAt(3));
            case JOINED ->
                    controller.proxyJoined(
                            event.intAt(0), event.intAt(1), event.doubleAt(2), event.booleanAt(3));
            case LEFT -> controller.proxyLeft(event.intAt(0));
            default -> compareDecision(event.booleanAt(0));
        }
    }

    private void compareDecision(boolean recordedMore) {
        replayedOrders.clear();
        boolean replayedMore = controller.decide(DISCARDING_OUTPUT);
        decisionCount++;
        orderCount += replayedOrders.size();
        int orderCount = Math.max(recordedOrders.size(), replayedOrders.size());
        for (int i = 0; i < orderCount; i++) {
            CaptureEvent recorded = i < recordedOrders.size() ? recordedOrders.get(i) : null;
            CaptureEvent replayed = i < replayedOrders.size() ? replayedOrders.get(i) : null;
            if (recorded == null || replayed == null || !recorded.hasSameContent(replayed)) {
                reportDifference(
                        "order " + i + " of decision " + decisionCount, recorded, replayed);
                return;
            }
        }
        if (replayedMore != recordedMore) {
            reportDifference(
                    "whether decision " + decisionCount + " was the last",
                    CaptureEvent.of(EventType.DECIDED, this.now, recordedMore),
                    CaptureEvent.of(EventType.DECIDED, this.now, replayedMore));
        }
        recordedOrders.clear();
    }

    private void reportDifference(String location, CaptureEvent recorded, CaptureEvent replayed) {
        StringBuilder text = new StringBuilder(location).append(" differs\n");
        recentEvents.forEach(
                event -> text.append("  before  ").append(event.format(0)).append('\n'));
        text.append("  then    ")
                .append(recorded == null ? "nothing" : recorded.format(0))
                .append('\n');
        stopReason =
                text.append("  again   ")
                        .append(replayed == null ? "nothing" : replayed.format(0))
                        .toString();
    }
}
