package sprucelanding.simulation.model;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.PriorityQueue;

/**
 * Model of an endpoint's capacity: cores shared by the running jobs, slots, a bounded queue, a
 * warm-up after the start, and faults that slow the endpoint down. At each point in time the caller
 * calls {@link #advance} before any other method, and calls it again at the time given by {@link
 * #nextEventAt}. Work is measured in ms on a core of speed 1. Times are ms.
 *
 * @param <J> type of the caller's jobs
 */
public final class EndpointModel<J> {
    /**
     * Capacity of an endpoint.
     *
     * @param cores number of cores
     * @param speed speed of a core relative to the usual speed, 1
     * @param slots number of jobs that can run at the same time
     * @param queueCapacity number of jobs that can wait
     * @param coldSpeedShare share of the full speed right after a start
     * @param warmUpMillis ms from a start until the endpoint reaches its full speed
     * @param maxConnections number of connections that the endpoint accepts
     */
    public record Capacity(
            int cores,
            double speed,
            int slots,
            int queueCapacity,
            double coldSpeedShare,
            double warmUpMillis,
            int maxConnections) {}

    /**
     * Listener that is notified when a job starts to run and when the job is done.
     *
     * @param <J> type of the caller's jobs
     */
    public interface JobListener<J> {
        /** Called when a job starts to run, from the queue or without waiting. */
        void onStarted(J job, double now);

        /** Called when all work of a job is done. */
        void onCompleted(J job, double now);
    }

    private static final class RunningJob<J> {
        final J job;
        final double finishWork;
        final long sequence;

        RunningJob(J job, double finishWork, long sequence) {
            this.job = job;
            this.finishWork = finishWork;
            this.sequence = sequence;
        }

        private static int compare(RunningJob<?> first, RunningJob<?> second) {
            int byFinish = Double.compare(first.finishWork, second.finishWork);
            return byFinish != 0 ? byFinish : Long.compare(first.sequence, second.sequence);
        }
    }

    private record QueuedJob<J>(J job, double work) {}

    private static final double UTILIZATION_WINDOW_MILLIS = 1000;

    /** Interval at which the model is advanced while its speed changes. */
    private static final double SPEED_UPDATE_MILLIS = 50;

    /** Work of a health check, on a core of speed 1. */
    private static final double HEALTH_CHECK_WORK_MILLIS = 2;

    private static final double WORK_EPSILON_MILLIS = 1e-6;
    private static final double MAX_STOLEN_SHARE = 0.99;
    private static final double SERVICE_TIME_SMOOTHING = 0.1;

    private final Capacity capacity;
    private final JobListener<J> listener;
    private final PriorityQueue<RunningJob<J>> runningJobs =
            new PriorityQueue<>(RunningJob::compare);
    private final ArrayDeque<QueuedJob<J>> queuedJobs = new ArrayDeque<>();
    private double startedAt;
    private double advancedAt;

    /** Work that a job would have completed if it had run since the start, in ms. */
    private double completedWork;

    private long nextSequence;
    private double utilization;
    private double meanServiceMillis;
    private boolean hung;
    private double slowdown = 1;
    private double stolenShare;
    private boolean paused;

    /** Creates a model that has not been started. */
    public EndpointModel(Capacity capacity, JobListener<J> listener) {
        this.capacity = capacity;
        this.listener = listener;
    }

    /** Returns the capacity of the endpoint. */
    public Capacity capacity() {
        return capacity;
    }

    /**
     * Starts or restarts the endpoint without jobs and without faults.
     *
     * @param processStartedAt start time of the process; 0 for a process that has already warmed up
     * @param now current time in ms
     */
    public void start(double processStartedAt, double now) {
        runningJobs.clear();
        queuedJobs.clear();
        startedAt = processStartedAt;
        advancedAt = now;
        completedWork = 0;
        utilization = 0;
        hung = false;
        slowdown = 1;
        stolenShare = 0;
        paused = false;
    }

    /** Sets whether the endpoint hangs. A hung endpoint accepts jobs and runs none of them. */
    public void setHung(boolean enabled) {
        hung = enabled;
    }

    /** Sets the factor by which the cores run slower. A factor below 1 counts as 1. */
    public void setSlowdown(double factor) {
        slowdown = Math.max(1, factor);
    }

    /** Sets the share of the cores that another program uses. */
    public void setStolenShare(double share) {
        stolenShare = Math.min(MAX_STOLEN_SHARE, share);
    }

    /** Sets whether the endpoint is paused. No job makes progress during a pause. */
    public void setPaused(boolean enabled) {
        paused = enabled;
    }

    /** Returns whether the endpoint hangs. */
    public boolean isHung() {
        return hung;
    }

    /** Returns whether the endpoint neither hangs nor is paused. */
    public boolean isResponsive() {
        return !hung && !paused;
    }

    /** Returns the start time of the process; 0 for a process that has already warmed up. */
    public double startedAt() {
        return startedAt;
    }

    /** Returns the smoothed share of busy cores, from 0 to 1. */
    public double utilization() {
        return Math.min(1, utilization);
    }

    /** Returns the number of jobs that run or wait. */
    public int inFlight() {
        return runningJobs.size() + queuedJobs.size();
    }

    /** Returns the smoothed ms from a job's arrival to its end. */
    public double meanServiceMillis() {
        return meanServiceMillis;
    }

    /** Includes a service time, from a job's arrival to its end, in the smoothed mean. */
    public void recordServiceTime(double millis) {
        meanServiceMillis += (millis - meanServiceMillis) * SERVICE_TIME_SMOOTHING;
    }

    /** Returns whether the queue is full. */
    public boolean isQueueFull() {
        return queuedJobs.size() >= capacity.queueCapacity;
    }

    /** Accepts a health check. A health check is little work, and runs at once without a slot. */
    public void submitHealthCheck(J job, double now) {
        startJob(job, HEALTH_CHECK_WORK_MILLIS, now);
    }

    /**
     * Accepts a job. The job waits in the queue if no slot is free.
     *
     * @param work work of the job, in ms on a core of speed 1
     */
    public void submit(J job, double work, double now) {
        if (runningJobs.size() < capacity.slots) {
            startJob(job, work, now);
        } else {
            queuedJobs.add(new QueuedJob<>(job, work));
        }
    }

    private void startJob(J job, double work, double now) {
        runningJobs.add(new RunningJob<>(job, completedWork + work, nextSequence++));
        listener.onStarted(job, now);
    }

    private double warmUpFactor(double now) {
        double age = now - startedAt;
        return startedAt == 0 || age >= capacity.warmUpMillis
                ? 1
                : capacity.coldSpeedShare
                        + (1 - capacity.coldSpeedShare) * age / capacity.warmUpMillis;
    }

    /** Returns the ms of work per ms that the endpoint can do at this time if enough jobs run. */
    public double maxWorkRate(double now) {
        return hung || paused
                ? 0
                : capacity.cores
                        * (1 - stolenShare)
                        * capacity.speed
                        / slowdown
                        * warmUpFactor(now);
    }

    /** Returns the ms of work per ms that is done for each running job. */
    private double workRatePerJob(double now) {
        if (hung || paused || runningJobs.isEmpty()) {
            return 0;
        }
        double cores = capacity.cores * (1 - stolenShare);
        return capacity.speed
                / slowdown
                * warmUpFactor(now)
                * Math.min(1, cores / runningJobs.size());
    }

    /** Advances the model to this time: completes jobs and starts queued jobs. */
    public void advance(double now) {
        double elapsedMillis = now - advancedAt;
        if (elapsedMillis <= 0) {
            return;
        }
        completedWork += elapsedMillis * workRatePerJob(now);
        double busyShare =
                hung ? 0 : Math.min(1, runningJobs.size() / (capacity.cores * (1 - stolenShare)));
        utilization +=
                (busyShare - utilization)
                        * (1 - StrictMath.exp(-elapsedMillis / UTILIZATION_WINDOW_MILLIS));
        advancedAt = now;
        List<J> ended = null;
        while (!runningJobs.isEmpty()
                && runningJobs.peek().finishWork <= completedWork + WORK_EPSILON_MILLIS) {
            ended = ended == null ? new ArrayList<>() : ended;
            ended.add(runningJobs.poll().job);
        }
        if (ended != null) {
            for (J job : ended) {
                listener.onCompleted(job, now);
                QueuedJob<J> nextJob = queuedJobs.poll();
                if (nextJob != null) {
                    startJob(nextJob.job, nextJob.work, now);
                }
            }
        }
    }

    /** Returns the time at which to advance the model next; infinite if no job would end. */
    public double nextEventAt(double now) {
        double rate = workRatePerJob(now);
        if (rate <= 0) {
            return Double.POSITIVE_INFINITY;
        }
        double remainingMillis = Math.max(0, runningJobs.peek().finishWork - completedWork) / rate;
        boolean isWarmingUp = startedAt > 0 && now - startedAt < capacity.warmUpMillis;
        return now
                + (isWarmingUp ? Math.min(SPEED_UPDATE_MILLIS, remainingMillis) : remainingMillis);
    }
}
