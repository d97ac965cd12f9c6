package sprucelanding.replay.capture;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import sprucelanding.control.core.ControllerInput;
import sprucelanding.control.decision.ControllerOutput;

/**
 * A replay of the decisions in a capture. The replay passes the recorded inputs to a controller,
 * requests a decision at each recorded decision, and compares the orders of the controller with the
 * recorded orders, to the last bit. The replay stops at the first difference or gap. Not thread
 * safe.
 */
public final class DecisionReplay {
    /** Number of events before a difference that are reported with the difference. */
    private static final int CONTEXT_EVENTS = 12;

    private static final ControllerOutput DISCARDING_OUTPUT =
            (ControllerOutput)
                    java.lang.reflect.Proxy.newProxyInstance(
                            DecisionReplay.class.getClassLoader(),
                            new Class<?>[] {ControllerOutput.class},
                            (self, method, args) -> null);

    private final ControllerInput controller;
    private final InputReplayer inputReplayer;
    private final List<CaptureEvent> recordedOrders = new ArrayList<>();
    private final List<CaptureEvent> replayedOrders = new ArrayList<>();
    private final ArrayDeque<CaptureEvent> recentEvents = new ArrayDeque<>();
    private double now;
    private long orderCount;
    private long decisionCount;
    private Optional<String> stopReason = Optional.empty();

    /**
     * Starts a replay.
     *
     * @param controller a new controller without any input, with the settings of the recorded
     *     controller
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
        this.inputReplayer = new InputReplayer(this.controller);
    }

    /** Returns the number of orders that the controller has given so far. */
    public long orderCount() {
        return orderCount;
    }

    /** Returns the number of decisions that were requested from the controller so far. */
    public long decisionCount() {
        return decisionCount;
    }

    /** Returns why the replay stopped; empty if the replay has not stopped. */
    public Optional<String> stopReason() {
        return stopReason;
    }

    /**
     * Replays the next event. Does nothing after the replay has stopped.
     *
     * @param event the event; null for a gap in the capture
     */
    public void onEvent(CaptureEvent event) {
        if (stopReason.isPresent()) {
            return;
        }
        if (event == null) {
            stopReason =
                    Optional.of(
                            "events were dropped at this point of the capture: later decisions"
                                    + " cannot be replayed");
            return;
        }
        switch (event.type().source) {
            case INPUT -> {
                replayInput(event);
                addContext(event);
            }
            case ORDER -> {
                recordedOrders.add(event);
                addContext(event);
            }
            default -> {
                // Other events are neither inputs nor orders of the controller.
            }
        }
    }

    private void addContext(CaptureEvent event) {
        recentEvents.add(event);
        if (recentEvents.size() > CONTEXT_EVENTS) {
            recentEvents.poll();
        }
    }

    private void replayInput(CaptureEvent event) {
        if (event.type() == EventType.DECIDED) {
            compareDecision(event.booleanAt(0));
            return;
        }
        if (event.type() == EventType.CLOCK) {
            now = event.doubleAt(0);
        }
        inputReplayer.replay(event);
    }

    private void compareDecision(boolean recordedMoreToDecide) {
        replayedOrders.clear();
        boolean replayedMoreToDecide = controller.decide(DISCARDING_OUTPUT);
        decisionCount++;
        orderCount += replayedOrders.size();
        int longerLength = Math.max(recordedOrders.size(), replayedOrders.size());
        for (int i = 0; i < longerLength; i++) {
            Optional<CaptureEvent> recorded = elementAt(recordedOrders, i);
            Optional<CaptureEvent> replayed = elementAt(replayedOrders, i);
            if (!haveSameContent(recorded, replayed)) {
                stopAtDifference(
                        "order " + i + " of decision " + decisionCount, recorded, replayed);
                return;
            }
        }
        if (replayedMoreToDecide != recordedMoreToDecide) {
            stopAtDifference(
                    "whether more is to be decided after decision " + decisionCount,
                    Optional.of(CaptureEvent.of(EventType.DECIDED, now, recordedMoreToDecide)),
                    Optional.of(CaptureEvent.of(EventType.DECIDED, now, replayedMoreToDecide)));
        }
        recordedOrders.clear();
    }

    private static Optional<CaptureEvent> elementAt(List<CaptureEvent> events, int index) {
        return index < events.size() ? Optional.of(events.get(index)) : Optional.empty();
    }

    private static boolean haveSameContent(
            Optional<CaptureEvent> recorded, Optional<CaptureEvent> replayed) {
        return recorded.isPresent()
                && replayed.isPresent()
                && recorded.get().hasSameContent(replayed.get());
    }

    private void stopAtDifference(
            String location, Optional<CaptureEvent> recorded, Optional<CaptureEvent> replayed) {
        StringBuilder text = new StringBuilder(location).append(" differs\n");
        recentEvents.forEach(
                event -> text.append("  before    ").append(event.format(0)).append('\n'));
        text.append("  recorded  ").append(format(recorded)).append('\n');
        text.append("  replayed  ").append(format(replayed));
        stopReason = Optional.of(text.toString());
    }

    private static String format(Optional<CaptureEvent> order) {
        return order.map(event -> event.format(0)).orElse("nothing");
    }
}
