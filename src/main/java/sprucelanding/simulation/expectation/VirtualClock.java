package sprucelanding.simulation.expectation;

import java.util.PriorityQueue;

/** A clock of virtual time that runs scheduled tasks. Times are in milliseconds. */
final class VirtualClock {
    private static final double START_TIME_MS = 1_000_000;

    /** A scheduled task. Tasks with the same time run in the order in which they were scheduled. */
    private record ScheduledTask(double at, long sequence, Runnable task)
            implements Comparable<ScheduledTask> {
        @Override
        public int compareTo(ScheduledTask other) {
            return at != other.at
                    ? Double.compare(at, other.at)
                    : Long.compare(sequence, other.sequence);
        }
    }

    private final PriorityQueue<ScheduledTask> tasks = new PriorityQueue<>();
    private long sequence;
    private double now = START_TIME_MS;

    double now() {
        return now;
    }

    /** Returns the next sequence number. Sequence numbers order tasks with the same time. */
    long nextSequence() {
        long next = sequence;
        sequence++;
        return next;
    }

    void schedule(double time, Runnable task) {
        tasks.add(new ScheduledTask(time, nextSequence(), task));
    }

    /**
     * Advances the time and runs the tasks that become due.
     *
     * @param durationMillis time by which the clock advances
     * @param afterEach task that runs after each due task
     */
    void advance(double durationMillis, Runnable afterEach) {
        double end = now + durationMillis;
        while (!tasks.isEmpty() && tasks.peek().at <= end) {
            ScheduledTask next = tasks.poll();
            now = Math.max(now, next.at);
            next.task.run();
            afterEach.run();
        }
        now = end;
    }
}
