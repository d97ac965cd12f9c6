package sprucereview2;

import java.util.ArrayDeque;
import java.util.function.BooleanSupplier;

/**
 * The channel of one governor, as the protocol page has it: messages leave one after the other, at
 * so many lines a second.
 */
final class Channel implements AutoCloseable {
    private record Waiting(int lines, BooleanSupplier counts, Runnable whenLeft) {}

    private final ArrayDeque<Waiting> queue = new ArrayDeque<>();
    private final double linesPerMs;
    private volatile double factor = 1;
    private final Thread thread;
    private volatile int most;

    Channel(String name, double linesPerSecond) {
        linesPerMs = linesPerSecond / 1000;
        thread = new Thread(this::run, name);
        thread.setDaemon(true);
        thread.start();
    }

    /** Sets how fast the channel is, as a part of its usual rate. */
    void setFactor(double newFactor) {
        factor = newFactor;
    }

    /**
     * Adds a message. Returns the number of lines that wait now.
     *
     * @param counts whether the message still waits, because its stream has not broken
     */
    synchronized int add(int lines, BooleanSupplier counts, Runnable whenLeft) {
        queue.add(new Waiting(lines, counts, whenLeft));
        notifyAll();
        int waiting = 0;
        for (Waiting message : queue) { // the first one is being sent and does not wait
            boolean isWaiting = message != queue.peek() && message.counts.getAsBoolean();
            waiting += isWaiting ? message.lines : 0;
        }
        most = Math.max(most, waiting);
        return waiting;
    }

    /** Returns the most lines that have waited. */
    int most() {
        return most;
    }

    private void run() {
        double freeAt = Recorder.now();
        try {
            while (true) {
                Waiting next;
                synchronized (this) {
                    while (queue.isEmpty()) {
                        wait();
                        freeAt = Math.max(freeAt, Recorder.now());
                    }
                    next = queue.peek();
                }
                if (next.counts.getAsBoolean()) {
                    freeAt += next.lines / (linesPerMs * factor);
                    double pause = freeAt - Recorder.now();
                    if (pause > 0) {
                        Thread.sleep((long) pause, (int) (pause % 1 * 1e6));
                    }
                    next.whenLeft.run();
                }
                synchronized (this) {
                    queue.poll();
                }
            }
        } catch (InterruptedException e) {
            return; // closed
        }
    }

    @Override
    public void close() {
        thread.interrupt();
    }
}
