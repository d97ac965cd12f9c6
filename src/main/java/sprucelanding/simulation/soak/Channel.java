package sprucelanding.simulation.soak;

import sprucelanding.runtime.eventloop.EventLoop;

/**
 * A governor's channel: messages leave one after the other at its rate and arrive a delay later.
 * Used on the loop of the soak only. Times are in milliseconds.
 */
final class Channel {
    private static final double DELAY = 200;

    /** By how much longer the slowest messages take, in equal steps. */
    private static final double DELAY_SPREAD = 150;

    private static final int DELAY_STEPS = 8;

    private final EventLoop loop;
    private final double linesPerMilli;
    private double nextFreeAt = Double.NEGATIVE_INFINITY;
    private double lastArrivalAt = Double.NEGATIVE_INFINITY;
    private long sent;

    Channel(EventLoop loop, double linesPerMilli) {
        this.loop = loop;
        this.linesPerMilli = linesPerMilli;
    }

    /** Returns the lines that wait, message overhead included. */
    double waitingLines() {
        return Math.max(0, nextFreeAt - EventLoop.nowMillis()) * linesPerMilli;
    }

    /**
     * Sends a message.
     *
     * @param lines its table entries and its overhead
     * @param apply runs when the message arrives
     */
    void send(int lines, Runnable apply) {
        nextFreeAt = Math.max(nextFreeAt, EventLoop.nowMillis()) + lines / linesPerMilli;
        double arrival = nextFreeAt + DELAY + DELAY_SPREAD * (sent % DELAY_STEPS) / DELAY_STEPS;
        sent++;
        lastArrivalAt = Math.max(lastArrivalAt, arrival); // messages arrive in order
        loop.scheduleAt(lastArrivalAt, apply);
    }

    /** Drops what waits, as its governor has ended. */
    void clear() {
        nextFreeAt = Double.NEGATIVE_INFINITY;
        lastArrivalAt = Double.NEGATIVE_INFINITY;
    }
}
