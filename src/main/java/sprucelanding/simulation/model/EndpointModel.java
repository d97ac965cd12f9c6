package sprucelanding.simulation.model;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.PriorityQueue;

/**
 * What a replica can do: cores shared by the jobs that run, slots, a waiting room, a cold start,
 * and what slows it. The host calls advance before anything else at a time, and again at next. Work
 * is ms on a core of speed 1; times are ms.
 */
public final class EndpointModel<J> {
    /**
     * What it can do.
     *
     * @param speed of a core, 1 being usual
     * @param slots jobs that run at a time
     * @param room jobs that wait
     * @param coldFrom share of its speed right after a start
     * @param warmAfter ms until it has all of it
     * @param connections it accepts
     */
    public record Capacity(
            int cores,
            double speed,
            int slots,
            int queueCapacity,
            double coldSpeedShare,
            double warmUpMillis,
            int maxConnections) {}

    /** Told when a job begins to run, and when it is done. */
    public interface JobListener<J> {
        void onStarted(J job, double now);

        void onCompleted(J job, double now);
    }

    private static final class RunningJob<J> implements Comparable<RunningJob<J>> {
        final J job;
        final double finishWork;
        final long sequence;

        RunningJob(J job, double end, long order) {
            this.job = job;
            this.finishWork = end;
            this.sequence = order;
        }

        @Override
        public int compareTo(RunningJob<J> other) {
            int byEnd = Double.compare(finishWork, other.finishWork);
            return byEnd != 0 ? byEnd : Long.compare(sequence, other.sequence);
        }
    }

    private record QueuedJob<J>(J job, double work) {}

    private static final double UTILIZATION_WINDOW_MILLIS = 1000;
    private static final double SPEED_UPDATE_MILLIS =
            50; // ms between looks while its speed changes
    private static final double WORK_EPSILON = 1e-6;

    public final Capacity capacity;
    private final JobListener<J> listener;
    private final PriorityQueue<RunningJob<J>> runningJobs = new PriorityQueue<>();
    private final ArrayDeque<QueuedJob<J>> queuedJobs = new ArrayDeque<>();
    private double startedAt;
    private double advancedAt;

    /** Work that a job which ran all the time has got done. */
    private double completedWork;

    private long nextSequence;
    private double utilization;
    private double meanServiceMillis;
    private boolean hung;
    private double slowdown = 1;
    private double stolenShare;
    private boolean paused;

    public EndpointModel(Capacity capacity, JobListener<J> listener) {
        this.capacity = capacity;
        this.listener = listener;
    }

    /**
     * @param since when its process began, 0 for long ago
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

    /** It takes jobs and does none. */
    public void hung(boolean enabled) {
        hung = enabled;
    }

    public void setSlowdown(double factor) {
        slowdown = Math.max(1, factor);
    }

    /** Another program takes this share of the machine. */
    public void setStolenShare(double share) {
        stolenShare = Math.min(0.99, share);
    }

    public void setPaused(boolean enabled) {
        paused = enabled;
    }

    public boolean hung() {
        return hung;
    }

    public boolean isResponsive() {
        return !hung && !paused;
    }

    public double startedAt() {
        return startedAt;
    }

    public double utilization() {
        return Math.min(1, utilization);
    }

    public int inFlight() {
        return runningJobs.size() + queuedJobs.size();
    }

    /** ms from a job's coming to its end, smoothed. */
    public double meanServiceMillis() {
        return meanServiceMillis;
    }

    /** A job was done, so long after it came. */
    public void recordServiceTime(double millis) {
        meanServiceMillis += (millis - meanServiceMillis) * 0.1;
    }

    public boolean isFull() {
        return queuedJobs.size() >= capacity.queueCapacity;
    }

    /** A job comes; a small one, as a probe, needs no slot. */
    public void submit(J job, double work, boolean needsNoSlot, double now) {
        if (needsNoSlot || runningJobs.size() < capacity.slots) {
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

    /** ms of work a ms that it can do at the moment, if enough jobs run. */
    public double maxWorkRate(double now) {
        return hung || paused
                ? 0
                : capacity.cores
                        * (1 - stolenShare)
                        * capacity.speed
                        / slowdown
                        * warmUpFactor(now);
    }

    /** ms of work a ms that one running job gets done. */
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

    /** Brings it up to now: jobs end, and others begin. */
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

    /** When to advance next; infinite if nothing would come of it. */
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
