package sprucelanding.runtime.server;

import sprucelanding.runtime.eventloop.EventLoop;

/**
 * The controller's clock. It starts at the Unix time in ms of the process's start and advances with
 * the event loop's monotonic clock. Later changes of the wall clock do not affect it.
 */
final class ControllerClock {
    private final double epochOffsetMillis = System.currentTimeMillis() - EventLoop.nowMillis();

    double nowMillis() {
        return EventLoop.nowMillis() + epochOffsetMillis;
    }

    /** Converts a time of this clock to a time of the event loop's clock, both in ms. */
    double toLoopMillis(double controllerMillis) {
        return controllerMillis - epochOffsetMillis;
    }
}
