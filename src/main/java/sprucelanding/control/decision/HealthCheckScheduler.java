package sprucelanding.control.decision;

import java.util.List;
import java.util.SplittableRandom;
import java.util.TreeSet;

/**
 * Scheduler of health checks and, at sites where the endpoint list is not pushed, of polls of the
 * endpoint list. Times are ms on the host's clock.
 */
final class HealthCheckScheduler {
    /** Tag of the timer for the next scheduled check or poll. */
    private static final int TIMER_TAG = 2;

    /** Minimum interval between two regular health checks of an endpoint. */
    static final double CHECK_INTERVAL_MS = 1000;

    /** Maximum number of health checks per request. */
    private static final double MAX_CHECKS_PER_REQUEST = 0.25;

    /** Maximum factor by which the check interval is extended at low demand. */
    private static final double MAX_INTERVAL_FACTOR = 4;

    /** Pause before a repeated check after a missed check, as a share of the check interval. */
    private static final double RECHECK_INTERVAL_SHARE = 0.25;

    /**
     * Share of the check interval over which the first checks of new endpoints are spread. The
     * first checks of the endpoints on the first list are spread over the whole interval.
     */
    private static final double FIRST_CHECK_SPREAD_SHARE = 0.25;

    /**
     * Minimum pause before the endpoint list is requested again, as a share of the check interval.
     */
    private static final double MIN_LIST_RETRY_SHARE = 0.3;

    private final EventTime time;
    private final SplittableRandom random;
    private final TreeSet<ScheduledCheck> scheduled = new TreeSet<>();
    private long nextSequence;
    private boolean enabled;

    /** Time at which the host's timer fires; infinite if no timer is set. */
    private double timerAt = Double.POSITIVE_INFINITY;

    HealthCheckScheduler(EventTime time, SplittableRandom random) {
        this.time = time;
        this.random = random;
    }

    /** Configures whether the site allows health checks. */
    void configure(boolean checksAllowed) {
        enabled = checksAllowed;
    }

    boolean isEnabled() {
        return enabled;
    }

    /** Schedules an immediate request for the endpoint list, which is not pushed. */
    void pollEndpointList() {
        schedule(EventTime.NEVER, null);
    }

    /** Schedules another request for the endpoint list after a random pause. */
    void retryEndpointList() {
        double pause = CHECK_INTERVAL_MS * (MIN_LIST_RETRY_SHARE + random.nextDouble());
        schedule(time.now() + pause, null);
    }

    /**
     * Schedules a check of each endpoint that has no check in progress.
     *
     * @param available the available endpoints
     * @param demand requests per second to all proxies
     * @param onFirstList whether the endpoint list is the first since the start
     */
    void scheduleChecks(List<Endpoint> available, double demand, boolean onFirstList) {
        if (!enabled) {
            return;
        }
        double intervalForDemand = available.size() / (MAX_CHECKS_PER_REQUEST * demand) * 1000;
        double lowDemandInterval =
                demand <= 0
                        ? 0
                        : Math.min(MAX_INTERVAL_FACTOR * CHECK_INTERVAL_MS, intervalForDemand);
        for (Endpoint endpoint : available) {
            if (!endpoint.healthChecks().isInProgress()) {
                endpoint.healthChecks().started();
                schedule(
                        time.now() + pauseBefore(endpoint, lowDemandInterval, onFirstList),
                        endpoint);
            }
        }
    }

    private double pauseBefore(Endpoint endpoint, double lowDemandInterval, boolean onFirstList) {
        if (endpoint.isEnteringService()) {
            double spread = random.nextDouble() * CHECK_INTERVAL_MS;
            return onFirstList ? spread : spread * FIRST_CHECK_SPREAD_SHARE;
        }
        boolean needsRecheck = endpoint.healthChecks().isUnresponsive() && !endpoint.isEjected();
        return needsRecheck
                ? CHECK_INTERVAL_MS * RECHECK_INTERVAL_SHARE
                : Math.max(CHECK_INTERVAL_MS, lowDemandInterval);
    }

    private void schedule(double dueAt, Endpoint endpoint) {
        scheduled.add(new ScheduledCheck(dueAt, nextSequence++, endpoint));
    }

    void timerFired(int tag) {
        timerAt = tag == TIMER_TAG ? Double.POSITIVE_INFINITY : timerAt;
    }

    /** Requests the next due check or list poll from the host; returns false if none is due. */
    boolean sendDueCheck(ControllerOutput output) {
        if (scheduled.isEmpty() || scheduled.first().dueAt() > time.now()) {
            return false;
        }
        ScheduledCheck next = scheduled.pollFirst();
        if (next.isListPoll()) {
            output.watchEndpointList();
        } else {
            output.checkHealth(next.endpoint());
        }
        return true;
    }

    /**
     * Sets the host's timer for the next check or list poll.
     *
     * @return false if nothing is scheduled or the timer already fires in time
     */
    boolean setTimer(ControllerOutput output) {
        if (scheduled.isEmpty() || scheduled.first().dueAt() >= timerAt) {
            return false;
        }
        timerAt = scheduled.first().dueAt();
        output.setTimer(TIMER_TAG, timerAt);
        return true;
    }
}
