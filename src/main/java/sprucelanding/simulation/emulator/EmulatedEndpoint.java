package sprucelanding.simulation.emulator;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import sprucelanding.simulation.model.EndpointModel;
import sprucelanding.simulation.rules.TraceEvent;

/**
 * An endpoint on virtual time: an {@link EndpointModel} with connections and faults. It responds
 * with status 200 when the work is done, 500 for an injected failure, or 503 with proof that
 * nothing was executed when its queue is full; each response reports its utilization.
 */
final class EmulatedEndpoint {
    /** Who sent a request or a health check. */
    interface ResponseListener {
        /**
         * The response arrived.
         *
         * @param utilization share of busy cores, from 0 to 1
         */
        void onResponse(int status, boolean notExecuted, double utilization);

        /** The connection broke. */
        void onConnectionBroken();
    }

    /** As request class of a job: a health check. */
    private static final int HEALTH_CHECK = -1;

    private static final int NO_PROXY = -1;
    private static final int NO_ZONE = -1;
    private static final int OK = 200;
    private static final int INTERNAL_ERROR = 500;
    private static final int UNAVAILABLE = 503;

    /** An attempt or a health check that runs or waits. */
    private record Job(
            ResponseListener listener,
            int requestClass,
            long requestId,
            int proxy,
            int attempt,
            double arrivedAt) {}

    final int number;
    final long id;
    final String key;
    final int zone;
    final int kind;
    private final EmulatedFleet fleet;
    private final EndpointModel<Job> model;
    private final SplittableRandom random;

    /** Those whose requests are in flight. */
    private final Set<ResponseListener> pendingListeners = new LinkedHashSet<>();

    private VirtualClock.ScheduledTask nextAdvance;
    private boolean up;
    private double startedAt;
    private double failureShare;
    private int ignoredZone = NO_ZONE;

    /** Set by a fault; 0: as many as its capacity says. */
    private int connectionLimit;

    private int connections;

    /** How often its process has started. */
    private int incarnation;

    EmulatedEndpoint(EmulatedFleet fleet, int number, EndpointSpec spec, long seed) {
        this.fleet = fleet;
        this.number = number;
        this.id = spec.id();
        this.key = Long.toString(id);
        this.zone = spec.zone();
        this.kind = spec.kind();
        this.random = new SplittableRandom(seed);
        this.model = new EndpointModel<>(spec.capacity(), new CompletionListener());
    }

    /** Records the jobs that start, and sends the responses of those that end. */
    private final class CompletionListener implements EndpointModel.JobListener<Job> {
        @Override
        public void onStarted(Job job, double now) {
            if (job.requestClass != HEALTH_CHECK) {
                fleet.record(
                        new TraceEvent.Executed(
                                now, id, job.requestClass, job.requestId, job.proxy, job.attempt));
            }
        }

        @Override
        public void onCompleted(Job job, double now) {
            if (job.requestClass != HEALTH_CHECK) {
                model.recordServiceTime(now - job.arrivedAt);
            }
            respond(job.listener, OK, false);
        }
    }

    boolean isUp() {
        return up;
    }

    double startedAt() {
        return startedAt;
    }

    /** The ms of work per ms that it can do now; 0 if it does not respond. */
    double maxWorkRate() {
        return up && model.isResponsive()
                ? model.maxWorkRate(fleet.clock.now()) * (1 - failureShare)
                : 0;
    }

    double utilization() {
        return model.utilization();
    }

    /** Starts it as one that has been running for long: at its full speed. */
    void startWarm() {
        if (!up) {
            start(0);
        }
    }

    /** Starts its process now: it has to warm up. */
    void startCold() {
        if (!up) {
            start(fleet.clock.now());
            fleet.record(
                    new TraceEvent.EndpointStarted(
                            startedAt, id, model.capacity().cores() * model.capacity().speed()));
        }
    }

    private void start(double processStartedAt) {
        up = true;
        incarnation++;
        connections = 0;
        startedAt = processStartedAt;
        model.start(startedAt, fleet.clock.now());
    }

    /** Its process dies: connections break, what ran or waited is lost. */
    void crash() {
        if (!up) {
            return;
        }
        up = false;
        connections = 0;
        fleet.record(new TraceEvent.EndpointStopped(fleet.clock.now(), id));
        model.start(0, fleet.clock.now());
        scheduleAdvance();
        failureShare = 0;
        ignoredZone = NO_ZONE;
        List<ResponseListener> brokenListeners = new ArrayList<>(pendingListeners);
        pendingListeners.clear();
        fleet.clock.scheduleAfter(
                EmulatedNetwork.HOP_MILLIS,
                () -> {
                    brokenListeners.forEach(ResponseListener::onConnectionBroken);
                    fleet.clearIdleConnections(this);
                });
    }

    /** Applies a fault to its model, or removes one. */
    void update(Consumer<EndpointModel<?>> change) {
        model.advance(fleet.clock.now());
        change.accept(model);
        scheduleAdvance();
    }

    void setFailureShare(double share) {
        failureShare = share;
    }

    void ignoreZone(int zone) {
        ignoredZone = zone;
    }

    void setConnectionLimit(int limit) {
        connectionLimit = limit;
    }

    /** How often its process has started. */
    int incarnation() {
        return incarnation;
    }

    /** A connection was accepted. */
    void connectionOpened() {
        connections++;
    }

    /** A connection was closed; one of an earlier incarnation broke with it. */
    void connectionClosed(int openedIncarnation) {
        if (openedIncarnation == incarnation) {
            connections--;
        }
    }

    /** A proxy closed idle connections. */
    void idleConnectionsClosed(int count) {
        if (up) {
            connections -= count;
        }
    }

    /** Whether one more connection is accepted. */
    boolean acceptsConnection() {
        return connections
                < (connectionLimit > 0 ? connectionLimit : model.capacity().maxConnections());
    }

    private boolean isReachableFrom(int from) {
        return fleet.network.isOpen(from, zone) && from != ignoredZone;
    }

    /**
     * A request arrives over a connection.
     *
     * @param from the zone of the proxy
     * @param work ms on a core of speed 1
     */
    void request(
            ResponseListener listener,
            int proxy,
            int from,
            int requestClass,
            long requestId,
            int attempt,
            double work) {
        if (!up) {
            listener.onConnectionBroken();
            return;
        }
        pendingListeners.add(listener);
        if (!isReachableFrom(from)) {
            return;
        }
        double now = fleet.clock.now();
        model.advance(now);
        fleet.record(
                new TraceEvent.AttemptSent(now, proxy, id, requestClass, requestId, attempt, work));
        if (model.isHung()) {
            return;
        }
        if (failureShare > 0 && random.nextDouble() < failureShare) {
            respond(listener, INTERNAL_ERROR, false);
        } else if (model.isFull()) {
            respond(listener, UNAVAILABLE, true);
        } else {
            model.submit(
                    new Job(listener, requestClass, requestId, proxy, attempt, now), work, now);
        }
        scheduleAdvance();
    }

    /** A health check arrives; nothing comes back if the endpoint does not respond. */
    void healthCheck(ResponseListener listener, int from) {
        if (!up) {
            listener.onConnectionBroken();
        } else if (isReachableFrom(from) && model.isResponsive()) {
            model.advance(fleet.clock.now());
            double now = fleet.clock.now();
            model.submitHealthCheck(new Job(listener, HEALTH_CHECK, 0, NO_PROXY, 0, now), now);
            scheduleAdvance();
        }
    }

    private void respond(ResponseListener listener, int status, boolean notExecuted) {
        double utilization = model.utilization();
        fleet.clock.scheduleAfter(
                EmulatedNetwork.HOP_MILLIS,
                () -> listener.onResponse(status, notExecuted, utilization));
    }

    /** Who sent a request waits no more; the work goes on. */
    void removeListener(ResponseListener listener) {
        pendingListeners.remove(listener);
    }

    private void scheduleAdvance() {
        if (nextAdvance != null) {
            nextAdvance.cancel();
            nextAdvance = null;
        }
        double advanceAt = model.nextEventAt(fleet.clock.now());
        if (advanceAt < Double.POSITIVE_INFINITY) {
            nextAdvance =
                    fleet.clock.schedule(
                            advanceAt,
                            () -> {
                                model.advance(fleet.clock.now());
                                scheduleAdvance();
                            });
        }
    }
}
