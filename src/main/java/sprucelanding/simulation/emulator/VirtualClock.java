package sprucelanding.simulation.emulator;

import java.util.PriorityQueue;

/**
 * Virtual clock with a queue of tasks. Runs tasks in the order of their times. Tasks with the same
 * time run in the order in which they were scheduled. Times are ms.
 */
final class VirtualClock {
    /** Scheduled task that can be cancelled. */
    static final class ScheduledTask {
        private final double time;
        private final long sequence;
        private Runnable task;

        ScheduledTask(double time, long sequence, Runnable task) {
            this.time = time;
            this.sequence = sequence;
            this.task = task;
        }

        void cancel() {
            task = null;
        }

        private static int compare(ScheduledTask first, ScheduledTask second) {
            int byTime = Double.compare(first.time, second.time);
            return byTime != 0 ? byTime : Long.compare(first.sequence, second.sequence);
        }
    }

    private static final int INITIAL_QUEUE_CAPACITY = 4096;

    private final PriorityQueue<ScheduledTask> tasks =
            new PriorityQueue<>(INITIAL_QUEUE_CAPACITY, ScheduledTask::compare);
    private double now;
    private long nextSequence;

    /**
     * Creates a clock without tasks.
     *
     * @param now start time in ms; must be above 0, because a start time of 0 stands for a process
     *     that has already warmed up
     */
    VirtualClock(double now) {
        this.now = now;
    }

    double now() {
        return now;
    }

    /**
     * Schedules a task at a time. A task with a time in the past runs at the current time, after
     * the tasks that are already due.
     */
    ScheduledTask schedule(double time, Runnable task) {
        ScheduledTask scheduled = new ScheduledTask(Math.max(now, time), nextSequence++, task);
        tasks.add(scheduled);
        return scheduled;
    }

    /** Schedules a task this number of ms from now. */
    ScheduledTask scheduleAfter(double millis, Runnable task) {
        return schedule(now + millis, task);
    }

    /** Runs all tasks that are due up to a time, and then sets the clock to that time. */
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
