package sprucelanding.simulation.emulator;

import java.util.PriorityQueue;

/**
 * Virtual time: what is due next happens next; what is due at the same time happens in the order in
 * which it was set.
 */
final class VirtualClock {
    /** Something due; it can be called off. */
    static final class ScheduledTask implements Comparable<ScheduledTask> {
        private final double time;
        private final long sequence;
        private Runnable task;

        ScheduledTask(double at, long order, Runnable task) {
            this.time = at;
            this.sequence = order;
            this.task = task;
        }

        void cancel() {
            task = null;
        }

        @Override
        public int compareTo(ScheduledTask other) {
            return time < other.time
                    ? -1
                    : time > other.time ? 1 : Long.compare(sequence, other.sequence);
        }
    }

    private final PriorityQueue<ScheduledTask> tasks = new PriorityQueue<>(4096);
    private double now;
    private long nextSequence;

    /**
     * @param now ms; above 0, for 0 stands for long ago
     */
    VirtualClock(double now) {
        this.now = now;
    }

    double now() {
        return now;
    }

    ScheduledTask schedule(double time, Runnable task) {
        ScheduledTask scheduled = new ScheduledTask(Math.max(now, time), nextSequence++, task);
        tasks.add(scheduled);
        return scheduled;
    }

    ScheduledTask scheduleAfter(double millis, Runnable task) {
        return schedule(now + millis, task);
    }

    void runUntil(double deadline) {
        while (!tasks.isEmpty() && tasks.peek().time <= deadline) {
            ScheduledTask nextTask = tasks.poll();
            if (nextTask.task != null) {
                now = nextTask.time;
                nextTask.task.run();
            }
        }
        now = deadline;
    }
}
