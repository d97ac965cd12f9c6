package sprucelanding.control.decision;

import java.util.List;
import java.util.SplittableRandom;
import java.util.TreeSet;

/** Schedules health checks of endpoints, and polls of the endpoint list where it must be asked. */
final class HealthCheckScheduler {
    /** The tag of the timer for what is scheduled. */
    static final int TIMER = 2;

    /** ms between two health checks of an endpoint at the soonest. */
    static final double CHECK_INTERVAL = 1000;

    /** Health checks for each request at the most. */
    private static final double CHECKS_PER_REQUEST = 0.25;

    /** Where requests are few, checks are at most that many times further apart. */
    private static final double MAX_INTERVAL_FACTOR = 4;

    /** An endpoint that missed its last check is checked again after that part of the interval. */
    private static final double RECHECK_PART = 0.25;

    /** The first checks of endpoints that come in service later are spread over that part. */
    private static final double FIRST_CHECK_SPREAD = 0.25;

    /** The endpoint list is asked for again after that part of the interval at least. */
    private static final double MIN_LIST_RETRY_PART = 0.3;

    private final EventTime time;
    private final SplittableRandom random;
    private final TreeSet<ScheduledCheck> scheduled = new TreeSet<>();
    private long scheduledSoFar;
    private boolean enabled;

    /** When the host's timer fires, ms; infinite if none is set. */
    private double timerAt = Double.POSITIVE_INFINITY;

    HealthCheckScheduler(EventTime time, SplittableRandom random) {
        this.time = time;
        this.random = random;
    }

    /** Sets whether the site allows health checks. */
    void configure(boolean checksAllowed) {
        enabled = checksAllowed;
    }

    boolean isEnabled() {
        return enabled;
    }

    /** The endpoint list is not pushed: it is asked for at once. */
    void pollEndpointList() {
        schedule(EventTime.NEVER, null);
    }

    /** The endpoint list could not be had: it is asked for again after a random pause. */
    void retryEndpointList() {
        double pause = CHECK_INTERVAL * (MIN_LIST_RETRY_PART + random.nextDouble());
        schedule(time.now() + pause, null);
    }

    /**
     * Schedules a check of each endpoint that has none under way.
     *
     * @param available the endpoints on the list
     * @param demand requests a second of all proxies
     * @param onFirstList whether the list is the first since the start
     */
    void scheduleChecks(List<Endpoint> available, double demand, boolean onFirstList) {
        if (!enabled) {
            return;
        }
        double perCheck = available.size() / (CHECKS_PER_REQUEST * demand) * 1000;
        double sparse = demand <= 0 ? 0 : Math.min(MAX_INTERVAL_FACTOR * CHECK_INTERVAL, perCheck);
        for (Endpoint endpoint : available) {
            if (!endpoint.healthChecks().isInProgress()) {
                endpoint.healthChecks().started();
                schedule(time.now() + pauseBefore(endpoint, sparse, onFirstList), endpoint);
            }
        }
    }

    private double pauseBefore(Endpoint endpoint, double sparse, boolean onFirstList) {
        if (endpoint.isEnteringService()) {
            double spread = random.nextDouble() * CHECK_INTERVAL;
            return onFirstList ? spread : spread * FIRST_CHECK_SPREAD;
        }
        boolean suspect = endpoint.healthChecks().isUnresponsive() && !endpoint.isEjected();
        return suspect ? CHECK_INTERVAL * RECHECK_PART : Math.max(CHECK_INTERVAL, sparse);
    }

    private void schedule(double at, Endpoint endpoint) {
        scheduled.add(new ScheduledCheck(at, scheduledSoFar++, endpoint));
    }

    void timerFired() {
        timerAt = Double.POSITIVE_INFINITY;
    }

    /** Orders the next check, or poll of the list, that is due; false if none is. */
    boolean sendDueCheck(ControllerOutput output) {
        if (scheduled.isEmpty() || scheduled.first().at() > time.now()) {
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

    /** Sets the host's timer for the next check; false if it is set soon enough. */
    boolean setTimer(ControllerOutput output) {
        if (scheduled.isEmpty() || scheduled.first().at() >= timerAt) {
            return false;
        }
        timerAt = scheduled.first().at();
        output.setTimer(TIMER, timerAt);
        return true;
    }
}
