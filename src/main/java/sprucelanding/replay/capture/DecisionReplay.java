package sprucelanding.replay.capture;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import sprucelanding.control.core.ControllerInput;
import sprucelanding.control.decision.ControllerOutput;

/**
 * Makes a controller decide again from a capture. It is told what was recorded, asked for a
 * decision as often, and its orders are compared to the recorded ones, to the last bit. The replay
 * stops at the first difference or gap. Not thread safe.
 */
public final class DecisionReplay {
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
     * @param controller a controller that was told nothing yet, with the settings of the recorded
     *     one
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

    /** Orders that the controller gave so far. */
    public long orderCount() {
        return orderCount;
    }

    /** Decisions that the controller was asked for so far. */
    public long decisionCount() {
        return decisionCount;
    }

    /** Why the replay stopped; empty if it did not. */
    public Optional<String> stopReason() {
        return stopReason;
    }

    /**
     * Takes the next event; does nothing after the replay stopped.
     *
     * @param event the event; null for a gap
     */
    public void onEvent(CaptureEvent event) {
        if (stopReason.isPresent()) {
            return;
        }
        if (event == null) {
            stopReason =
                    Optional.of(
                            "events were dropped here: what was decided after it cannot be decided"
                                    + " again");
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
                // The controller knows nothing of other events.
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

    private void compareDecision(boolean recordedMore) {
        replayedOrders.clear();
        boolean replayedMore = controller.decide(DISCARDING_OUTPUT);
        decisionCount++;
        orderCount += replayedOrders.size();
        int longest = Math.max(recordedOrders.size(), replayedOrders.size());
        for (int i = 0; i < longest; i++) {
            Optional<CaptureEvent> recorded = elementAt(recordedOrders, i);
            Optional<CaptureEvent> replayed = elementAt(replayedOrders, i);
            if (!haveSameContent(recorded, replayed)) {
                stopAtDifference(
                        "order " + i + " of decision " + decisionCount, recorded, replayed);
                return;
            }
        }
        if (replayedMore != recordedMore) {
            stopAtDifference(
                    "whether decision " + decisionCount + " was the last",
                    Optional.of(CaptureEvent.of(EventType.DECIDED, now, recordedMore)),
                    Optional.of(CaptureEvent.of(EventType.DECIDED, now, replayedMore)));
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
                event -> text.append("  before  ").append(event.format(0)).append('\n'));
        text.append("  then    ").append(format(recorded)).append('\n');
        text.append("  again   ").append(format(replayed));
        stopReason = Optional.of(text.toString());
    }

    private static String format(Optional<CaptureEvent> order) {
        return order.map(event -> event.format(0)).orElse("nothing");
    }
}
