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
 * Endpoint on virtual time: an {@link EndpointModel} with connections and faults. The endpoint
 * responds with status 200 when the work is done, with 500 for an injected failure, and with 503
 * and proof that nothing was executed if the queue is full. Each response reports the endpoint's
 * utilization.
 */
final class EmulatedEndpoint {
    /** Listener of the sender of a request or a health check. */
    interface ResponseListener {
        /**
         * Called when the response arrives.
         *
         * @param notExecuted whether there is proof that the request was not executed
         * @param utilization share of busy cores, from 0 to 1
         */
        void onResponse(int status, boolean notExecuted, double utilization);

        /** Called when the connection breaks. */
        void onConnectionBroken();
    }

    /** Request class of a job that is a health check. */
    private static final int HEALTH_CHECK = -1;

    private static final int NO_PROXY = -1;
    private static final int NO_ZONE = -1;
    private static final int OK = 200;
    private static final int INTERNAL_ERROR = 500;
    private static final int UNAVAILABLE = 503;

    /** Attempt or health check that runs or waits. */
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

    /** Listeners of the requests in flight. */
    private final Set<ResponseListener> pendingListeners = new LinkedHashSet<>();

    private VirtualClock.ScheduledTask nextAdvance;
    private boolean up;
    private double startedAt;
    private double failureShare;
    private int ignoredZone = NO_ZONE;

    /** Number of connections accepted under a fault; 0 for the number given by the capacity. */
    private int connectionLimit;

    private int connections;

    /** Number of starts of the process. */
    private int incarnation;

    EmulatedEndpoint(EmulatedFleet fleet, int number, EndpointSpec spec, long seed) {
        this.fleet = fleet;
        this.number = number;
        this.id = spec.id();
        this.key = Long.toString(id);
        this.zone = spec.zone();
        this.kind = spec.kind();
        this.random = new SplittableRandom(seed);
        this.model = new EndpointModel<>(spec.capacity(), new JobStateListener());
    }

    /** Listener that records each started job and sends the response of each completed job. */
    private final class JobStateListener implements EndpointModel.JobListener<Job> {
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

    /** Returns the ms of work per ms that the endpoint can do now; 0 if it does not respond. */
    double maxWorkRate() {
        return up && model.isResponsive()
                ? model.maxWorkRate(fleet.clock.now()) * (1 - failureShare)
                : 0;
    }

    double utilization() {
        return model.utilization();
    }

    /** Starts the endpoint at its full speed, as if it had already warmed up. */
    void startWarm() {
        if (!up) {
            start(0);
        }
    }

    /** Starts the endpoint's process now. The endpoint has to warm up. */
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

    /** Ends the endpoint's process: connections break, and running and waiting jobs are lost. */
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

    /** Applies a fault to the endpoint's model, or removes a fault. */
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

    /** Returns the number of starts of the process. */
    int incarnation() {
        return incarnation;
    }

    /** Counts an accepted connection. */
    void connectionOpened() {
        connections++;
    }

    /**
     * Counts a closed connection. A connection of an earlier incarnation is ignored because the
     * connection broke when that incarnation ended.
     */
    void connectionClosed(int openedIncarnation) {
        if (openedIncarnation == incarnation) {
            connections--;
        }
    }

    /** Counts idle connections that a proxy closed. */
    void idleConnectionsClosed(int count) {
        if (up) {
            connections -= count;
        }
    }

    /** Returns whether one more connection is accepted. */
    boolean acceptsConnection() {
        return connections
                < (connectionLimit > 0 ? connectionLimit : model.capacity().maxConnections());
    }

    private boolean isReachableFrom(int fromZone) {
        return fleet.network.isOpen(fromZone, zone) && fromZone != ignoredZone;
    }

    /**
     * Processes a request that arrives over a connection. Calls {@code onConnectionBroken} if the
     * endpoint is down.
     *
     * @param fromZone index of the proxy's zone
     * @param work work of the request, in ms on a core of speed 1
     */
    void request(
            ResponseListener listener,
            int proxy,
            int fromZone,
            int requestClass,
            long requestId,
            int attempt,
            double work) {
        if (!up) {
            listener.onConnectionBroken();
            return;
        }
        pendingListeners.add(listener);
        if (!isReachableFrom(fromZone)) {
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
        } else if (model.isQueueFull()) {
            respond(listener, UNAVAILABLE, true);
        } else {
            model.submit(
                    new Job(listener, requestClass, requestId, proxy, attempt, now), work, now);
        }
        scheduleAdvance();
    }

    /**
     * Processes a health check. The listener is not called if the endpoint is up and does not
     * respond.
     */
    void healthCheck(ResponseListener listener, int fromZone) {
        if (!up) {
            listener.onConnectionBroken();
        } else if (isReachableFrom(fromZone) && model.isResponsive()) {
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

    /** Removes the listener of a sender that no longer waits. The work on the request continues. */
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
