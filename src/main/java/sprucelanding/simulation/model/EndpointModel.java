package sprucelanding.simulation.model;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.PriorityQueue;

/**
 * Models an endpoint's capacity: cores shared by the running jobs, slots, a bounded queue, a
 * warm-up after its start, and faults that slow it. The host calls {@link #advance} before anything
 * else at a time, and again at {@link #nextEventAt}. Work is in ms on a core of speed 1; times are
 * ms.
 *
 * @param <J> a job of the host
 */
public final class EndpointModel<J> {
    /**
     * The capacity of an endpoint.
     *
     * @param cores cores
     * @param speed speed of a core, 1 being usual
     * @param slots jobs that run at a time
     * @param queueCapacity jobs that wait
     * @param coldSpeedShare share of its speed right after a start
     * @param warmUpMillis ms until it has its full speed
     * @param maxConnections connections that it accepts
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
     * Notified when a job begins to run, and when it is done.
     *
     * @param <J> a job of the host
     */
    public interface JobListener<J> {
        /** A job left the queue, or needed not wait. */
        void onStarted(J job, double now);

        /** All of a job's work is done. */
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

    /** The ms between updates while its speed changes. */
    private static final double SPEED_UPDATE_MILLIS = 50;

    /** The ms of work of a health check. */
    private static final double HEALTH_CHECK_WORK = 2;

    private static final double WORK_EPSILON = 1e-6;
    private static final double MAX_STOLEN_SHARE = 0.99;
    private static final double SERVICE_TIME_SMOOTHING = 0.1;

    private final Capacity capacity;
    private final JobListener<J> listener;
    private final PriorityQueue<RunningJob<J>> runningJobs =
            new PriorityQueue<>(RunningJob::compare);
    private final ArrayDeque<QueuedJob<J>> queuedJobs = new ArrayDeque<>();
    private double startedAt;
    private double advancedAt;

    /** Work done of a job that ran since the start. */
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

    /** Its capacity. */
    public Capacity capacity() {
        return capacity;
    }

    /**
     * Starts it anew: without jobs and faults.
     *
     * @param processStartedAt when its process started, 0 for long ago: it has warmed up
     * @param now ms
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

    /** While it hangs, it takes jobs and runs none. */
    public void setHung(boolean enabled) {
        hung = enabled;
    }

    /** Its cores run slower by this factor; below 1 counts as 1. */
    public void setSlowdown(double factor) {
        slowdown = Math.max(1, factor);
    }

    /** Another program takes this share of its cores. */
    public void setStolenShare(double share) {
        stolenShare = Math.min(MAX_STOLEN_SHARE, share);
    }

    /** While it is paused, no job makes progress. */
    public void setPaused(boolean enabled) {
        paused = enabled;
    }

    /** Whether it hangs. */
    public boolean isHung() {
        return hung;
    }

    /** Whether it neither hangs nor is paused. */
    public boolean isResponsive() {
        return !hung && !paused;
    }

    /** When its process started; 0 for long ago. */
    public double startedAt() {
        return startedAt;
    }

    /** The share of busy cores, smoothed, from 0 to 1. */
    public double utilization() {
        return Math.min(1, utilization);
    }

    /** Jobs that run or wait. */
    public int inFlight() {
        return runningJobs.size() + queuedJobs.size();
    }

    /** The ms from a job's arrival to its end, smoothed. */
    public double meanServiceMillis() {
        return meanServiceMillis;
    }

    /** Counts a job that ended so many ms after its arrival. */
    public void recordServiceTime(double millis) {
        meanServiceMillis += (millis - meanServiceMillis) * SERVICE_TIME_SMOOTHING;
    }

    /** Whether its queue is full. */
    public boolean isFull() {
        return queuedJobs.size() >= capacity.queueCapacity;
    }

    /** Takes a health check: little work that runs at once, without a slot. */
    public void submitHealthCheck(J job, double now) {
        startJob(job, HEALTH_CHECK_WORK, now);
    }

    /**
     * Takes a job, which waits if no slot is free.
     *
     * @param work ms on a core of speed 1
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

    /** The ms of work per ms that it can do at this time, if enough jobs run. */
    public double maxWorkRate(double now) {
        return hung || paused
                ? 0
                : capacity.cores
                        * (1 - stolenShare)
                        * capacity.speed
                        / slowdown
                        * warmUpFactor(now);
    }

    /** The ms of work per ms that one running job gets done. */
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

    /** Brings it up to date: jobs end, and queued ones start. */
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
                        * (1 - Math.exp(-elapsedMillis / UTILIZATION_WINDOW_MILLIS));
        advancedAt = now;
        List<J> ended = null;
        while (!runningJobs.isEmpty()
                && runningJobs.peek().finishWork <= completedWork + WORK_EPSILON) {
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

    /** When to advance it next; infinite if no job would end. */
    public double nextEventAt(double now) {
        double rate = workRatePerJob(now);
        if (rate <= 0) {
            return Double.POSITIVE_INFINITY;
        }
        double remainingMillis = Math.max(0, runningJobs.peek().finishWork - completedWork) / rate;
        boolean changes = startedAt > 0 && now - startedAt < capacity.warmUpMillis;
        return now + (changes ? Math.min(SPEED_UPDATE_MILLIS, remainingMillis) : remainingMillis);
    }
}
