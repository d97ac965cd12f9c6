package sprucelanding.runtime.server;

import sprucelanding.control.decision.RoutingController;
import sprucelanding.runtime.eventloop.EventLoop;

/**
 * Has the controller decide after each input, yet at most once a tick: inputs that come within a
 * tick are decided on together. Event loop's thread only.
 */
final class DecisionScheduler {
    private final EventLoop loop;
    private final ControllerClock clock;
    private final RoutingController controller;
    private final double tickMillis;
    private final Runnable decision;
    private boolean scheduled;
    private double lastDecisionMillis;

    /**
     * Creates a scheduler with no decision scheduled.
     *
     * @param tickMillis least ms from one decision to the next
     * @param decision decides on what has come; the controller's time is set
     */
    DecisionScheduler(
            EventLoop loop,
            ControllerClock clock,
            RoutingController controller,
            double tickMillis,
            Runnable decision) {
        this.loop = loop;
        this.clock = clock;
        this.controller = controller;
        this.tickMillis = tickMillis;
        this.decision = decision;
    }

    /** The controller, its time set, for an input that comes now; a decision will follow. */
    RoutingController beginInput() {
        controller.setTime(clock.nowMillis());
        if (!scheduled) {
            scheduled = true;
            loop.scheduleAt(
                    Math.max(EventLoop.nowMillis(), lastDecisionMillis + tickMillis), this::decide);
        }
        return controller;
    }

    /** Has a timer of the controller fire at that time of its clock. */
    void setTimer(int timerId, double dueMillis) {
        loop.scheduleAt(clock.toLoopMillis(dueMillis), () -> beginInput().timerFired(timerId));
    }

    private void decide() {
        scheduled = false;
        lastDecisionMillis = EventLoop.nowMillis();
        controller.setTime(clock.nowMillis());
        decision.run();
    }
}
