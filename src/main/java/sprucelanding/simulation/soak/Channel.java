package sprucelanding.simulation.soak;

import sprucelanding.runtime.eventloop.EventLoop;

/**
 * A governor's channel: messages leave one after the other at its pace and arrive a delay later.
 */
final class Channel {
    private static final double DELAY = 200; // ms on the way
    private static final double SPREAD = 150; // ms that some take longer than others

    private final EventLoop loop;
    private final double linesPerMs;
    private double nextFreeAt = Double.NEGATIVE_INFINITY;
    private double lastArrivalAt = Double.NEGATIVE_INFINITY;
    private long sent;

    Channel(EventLoop loop, double linesPerMs) {
        this.loop = loop;
        this.linesPerMs = linesPerMs;
    }

    /** Lines that wait, heads included. */
    double waitingLines() {
        return Math.max(0, nextFreeAt - EventLoop.nowMillis()) * linesPerMs;
    }

    /** Takes a message of so many lines, its head included; it is applied once it has arrived. */
    void send(int lines, Runnable apply) {
        nextFreeAt = Math.max(nextFreeAt, EventLoop.nowMillis()) + lines / linesPerMs;
        double arrival = nextFreeAt + DELAY + SPREAD * (sent++ % 8) / 8;
        lastArrivalAt = Math.max(lastArrivalAt, arrival); // messages arrive in order
        loop.scheduleAt(lastArrivalAt, apply);
    }

    /** What waits dies with its governor. */
    void clear() {
        nextFreeAt = Double.NEGATIVE_INFINITY;
        lastArrivalAt = Double.NEGATIVE_INFINITY;
    }
}
