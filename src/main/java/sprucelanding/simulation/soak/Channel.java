package sprucelanding.simulation.soak;

import sprucelanding.runtime.eventloop.EventLoop;

/**
 * The simulated channel from a governor to its proxies. The channel sends messages one after the
 * other at a fixed rate and delivers each message after a delay. A channel is used only on the
 * soak's event loop. Times are in milliseconds.
 */
final class Channel {
    private static final double DELAY_MS = 200;

    /** Upper bound of the additional delay, which cycles through equal steps over the messages. */
    private static final double DELAY_SPREAD_MS = 150;

    private static final int DELAY_STEPS = 8;

    private final EventLoop loop;
    private final double entriesPerMs;
    private double nextFreeAt = Double.NEGATIVE_INFINITY;
    private double lastArrivalAt = Double.NEGATIVE_INFINITY;
    private long sentMessages;

    Channel(EventLoop loop, double entriesPerMs) {
        this.loop = loop;
        this.entriesPerMs = entriesPerMs;
    }

    /** Returns the number of table entries that wait to be sent, message overhead included. */
    double backlogEntries() {
        return Math.max(0, nextFreeAt - EventLoop.nowMillis()) * entriesPerMs;
    }

    /**
     * Sends a message.
     *
     * @param entries table entries of the message, plus its overhead in entries
     * @param onArrival task that runs when the message arrives
     */
    void send(int entries, Runnable onArrival) {
        nextFreeAt = Math.max(nextFreeAt, EventLoop.nowMillis()) + entries / entriesPerMs;
        double arrival =
                nextFreeAt
                        + DELAY_MS
                        + DELAY_SPREAD_MS * (sentMessages % DELAY_STEPS) / DELAY_STEPS;
        sentMessages++;
        lastArrivalAt = Math.max(lastArrivalAt, arrival); // messages arrive in order
        loop.scheduleAt(lastArrivalAt, onArrival);
    }

    /** Drops the backlog because the governor process has ended. */
    void dropBacklog() {
        nextFreeAt = Double.NEGATIVE_INFINITY;
        lastArrivalAt = Double.NEGATIVE_INFINITY;
    }
}
