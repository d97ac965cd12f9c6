package sprucelanding.runtime.server;

import sprucelanding.runtime.eventloop.EventLoop;

/**
 * The controller's clock: Unix time in ms as of the start, going on with the monotonic clock of the
 * event loop, so that a wall clock that is set later does no harm.
 */
final class ControllerClock {
    private final double epochOffsetMillis = System.currentTimeMillis() - EventLoop.nowMillis();

    double nowMillis() {
        return EventLoop.nowMillis() + epochOffsetMillis;
    }

    /** A time of this clock on that of the event loop. */
    double toLoopMillis(double controllerMillis) {
        return controllerMillis - epochOffsetMillis;
    }
}
