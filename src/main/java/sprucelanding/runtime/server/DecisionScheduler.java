package sprucelanding.runtime.server;

import sprucelanding.control.decision.RoutingController;
import sprucelanding.runtime.eventloop.EventLoop;

/**
 * A scheduler of the controller's decisions. It schedules a decision after each input, but at most
 * one a tick, so that one decision covers all inputs within a tick. The scheduler is used on the
 * event loop's thread only.
 */
final class DecisionScheduler {
    private final EventLoop loop;
    private final ControllerClock clock;
    private final RoutingController controller;
    private final double tickMillis;
    private final Runnable decisionTask;
    private boolean isDecisionScheduled;
    private double lastDecisionMillis;

    /**
     * Creates a scheduler with no decision scheduled.
     *
     * @param tickMillis the minimum time between two decisions, ms
     * @param decisionTask runs the controller's decisions; the controller's time is set before
     */
    DecisionScheduler(
            EventLoop loop,
            ControllerClock clock,
            RoutingController controller,
            double tickMillis,
            Runnable decisionTask) {
        this.loop = loop;
        this.clock = clock;
        this.controller = controller;
        this.tickMillis = tickMillis;
        this.decisionTask = decisionTask;
    }

    /** Returns the controller with its time set, to pass an input to, and schedules a decision. */
    RoutingController beginInput() {
        controller.setTime(clock.nowMillis());
        if (!isDecisionScheduled) {
            isDecisionScheduled = true;
            loop.scheduleAt(
                    Math.max(EventLoop.nowMillis(), lastDecisionMillis + tickMillis), this::decide);
        }
        return controller;
    }

    /**
     * Schedules a timer of the controller.
     *
     * @param dueMillis when the timer fires, ms of the controller's clock
     */
    void setTimer(int timerId, double dueMillis) {
        loop.scheduleAt(clock.toLoopMillis(dueMillis), () -> beginInput().timerFired(timerId));
    }

    private void decide() {
        isDecisionScheduled = false;
        lastDecisionMillis = EventLoop.nowMillis();
        controller.setTime(clock.nowMillis());
        decisionTask.run();
    }
}
