package sprucelanding.simulation.emulator;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import sprucelanding.simulation.model.EndpointModel;
import sprucelanding.simulation.rules.TraceEvent;

/** A replica. */
final class EmulatedEndpoint {
    /** Who asked, and is answered: 200 with a load, 500, or 503 with proof that nothing ran. */
    interface ResponseListener {
        void onResponse(int status, boolean notExecuted, double utilization);

        /** The connection broke. */
        void onConnectionBroken();
    }

    private static final double HEALTH_CHECK_WORK = 2;

    /** A try that runs or waits; product -1 is a probe. */
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

    /** Those whose connections are in use. */
    private final Set<ResponseListener> pendingListeners = new LinkedHashSet<>();

    private VirtualClock.ScheduledTask nextAdvance;
    private boolean up;
    private double startedAt;
    private double failureShare;
    private int ignoredZone = -1;
    private int connectionLimit;

    /** Connections, and how often its process began. */
    int connections;

    int incarnation;

    EmulatedEndpoint(
            EmulatedFleet fleet,
            int number,
            long id,
            int zone,
            int kind,
            EndpointModel.Capacity capacity,
            long seed) {
        this.fleet = fleet;
        this.number = number;
        this.id = id;
        this.key = Long.toString(id);
        this.zone = zone;
        this.kind = kind;
        this.random = new SplittableRandom(seed);
        this.model =
                new EndpointModel<>(
                        capacity,
                        new EndpointModel.JobListener<>() {
                            @Override
                            public void onStarted(Job job, double now) {
                                if (job.requestClass >= 0) {
                                    fleet.record(
                                            new TraceEvent.Executed(
                                                    now,
                                                    id,
                                                    job.requestClass,
                                                    job.requestId,
                                                    job.proxy,
                                                    job.attempt));
                                }
                            }

                            @Override
                            public void onCompleted(Job job, double now) {
                                recordCompletion(job, now);
                                double utilization = utilization();
                                fleet.clock.scheduleAfter(
                                        EmulatedFleet.HOP_MILLIS,
                                        () -> job.listener.onResponse(200, false, utilization));
                            }
                        });
    }

    private void recordCompletion(Job job, double now) {
        if (job.requestClass >= 0) {
            model.recordServiceTime(now - job.arrivedAt);
        }
    }

    boolean isUp() {
        return up;
    }

    double startedAt() {
        return startedAt;
    }

    /** What it can do at the moment, ms of work a ms; 0 if it answers nothing. */
    double maxWorkRate() {
        return up && model.isResponsive()
                ? model.maxWorkRate(fleet.clock.now()) * (1 - failureShare)
                : 0;
    }

    double utilization() {
        return model.utilization();
    }

    void start(boolean coldStart) {
        if (up) {
            return;
        }
        up = true;
        incarnation++;
        connections = 0;
        double now = fleet.clock.now();
        startedAt = coldStart ? now : 0;
        model.start(startedAt, now);
        if (coldStart) {
            fleet.record(
                    new TraceEvent.EndpointStarted(
                            now, id, model.capacity().cores() * model.capacity().speed()));
        }
    }

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
        ignoredZone = -1;
        List<ResponseListener> brokenListeners = new ArrayList<>(pendingListeners);
        pendingListeners.clear();
        fleet.clock.scheduleAfter(
                EmulatedFleet.HOP_MILLIS,
                () -> {
                    brokenListeners.forEach(ResponseListener::onConnectionBroken);
                    fleet.clearIdleConnections(this);
                });
    }

    void update(java.util.function.Consumer<EndpointModel<?>> change) {
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

    /** Whether one more is accepted. */
    boolean acceptsConnection() {
        return connections
                < (connectionLimit > 0 ? connectionLimit : model.capacity().maxConnections());
    }

    private boolean isReachableFrom(int from) {
        return fleet.isOpen(from, zone) && from != ignoredZone;
    }

    /** A request comes over a connection. */
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
            respond(listener, 500, false);
        } else if (model.isFull()) {
            respond(listener, 503, true);
        } else {
            model.submit(
                    new Job(listener, requestClass, requestId, proxy, attempt, now),
                    work,
                    false,
                    now);
        }
        scheduleAdvance();
    }

    void healthCheck(ResponseListener listener, int from) {
        if (!up) {
            listener.onConnectionBroken();
        } else if (isReachableFrom(from) && model.isResponsive()) {
            model.advance(fleet.clock.now());
            model.submit(
                    new Job(listener, -1, 0, -1, 0, fleet.clock.now()),
                    HEALTH_CHECK_WORK,
                    true,
                    fleet.clock.now());
            scheduleAdvance();
        }
    }

    private void respond(ResponseListener listener, int status, boolean notExecuted) {
        double utilization = model.utilization();
        fleet.clock.scheduleAfter(
                EmulatedFleet.HOP_MILLIS,
                () -> listener.onResponse(status, notExecuted, utilization));
    }

    /** The asker waits no more; its work goes on. */
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
