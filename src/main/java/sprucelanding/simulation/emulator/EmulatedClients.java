package sprucelanding.simulation.emulator;

import java.util.SplittableRandom;
import sprucelanding.simulation.model.ClientRetryPolicy;
import sprucelanding.simulation.rules.TraceEvent;
import sprucelanding.simulation.scenario.Scenario;

/**
 * Clients of one proxy. The clients are an open loop: arrivals do not wait for responses. Clients
 * retry according to a {@link ClientRetryPolicy} and give up a request at its expiry.
 */
final class EmulatedClients {
    private static final int OK = 200;
    private static final int UNAVAILABLE = 503;

    /** Time that must remain until the expiry for another attempt. */
    private static final double MIN_REMAINING_MILLIS = 1;

    /** Request of a client with all its attempts. */
    private final class ClientRequest implements RequestForwarder.ResponseListener {
        private final long id = fleet.nextRequestId();
        private final int requestClass;
        private final double work;
        private final double startedAt = fleet.clock.now();
        private final VirtualClock.ScheduledTask expiry;
        private int attempts;

        /** Number of the latest attempt. Responses to earlier attempts are ignored. */
        private int latestAttempt;

        private boolean ended;

        /** Whether the last failed attempt had status 503. */
        private boolean declined;

        ClientRequest(int requestClass, double work) {
            this.requestClass = requestClass;
            this.work = work;
            fleet.record(
                    new TraceEvent.RequestArrived(startedAt, proxy.number, requestClass, id, work));
            expiry =
                    fleet.clock.scheduleAfter(
                            settings().expiry(), () -> complete(TraceEvent.RequestOutcome.VOIDED));
        }

        private Scenario.RequestClassSettings settings() {
            return fleet.scenario.products().get(requestClass);
        }

        void send() {
            if (ended) {
                return;
            }
            attempts++;
            double now = fleet.clock.now();
            double remainingMillis = settings().expiry() - (now - startedAt);
            if (remainingMillis <= MIN_REMAINING_MILLIS) {
                complete(failureOutcome());
                return;
            }
            int attempt = ++latestAttempt;
            proxy.handleRequest(
                    (status, notExecuted) -> {
                        if (attempt == latestAttempt) {
                            onResponse(status, notExecuted);
                        }
                    },
                    requestClass,
                    id,
                    work,
                    now
                            + Math.min(
                                    remainingMillis,
                                    fleet.scenario.clients().tryShare() * settings().expiry()));
        }

        @Override
        public void onResponse(int status, boolean notExecuted) {
            if (ended) {
                return;
            }
            double elapsedMillis = fleet.clock.now() - startedAt;
            if (status == OK) {
                complete(
                        elapsedMillis <= settings().sla()
                                ? TraceEvent.RequestOutcome.IN_TIME
                                : TraceEvent.RequestOutcome.LATE);
                return;
            }
            declined = status == UNAVAILABLE;
            if (retryPolicy.shouldRetry(
                    attempts,
                    fleet.isIdempotent(requestClass),
                    notExecuted,
                    elapsedMillis,
                    settings().expiry())) {
                fleet.clock.scheduleAfter(
                        retryPolicy.delayMillis(retryRandom.nextDouble()), this::send);
            } else {
                complete(failureOutcome());
            }
        }

        private TraceEvent.RequestOutcome failureOutcome() {
            return declined ? TraceEvent.RequestOutcome.DECLINED : TraceEvent.RequestOutcome.VOIDED;
        }

        private void complete(TraceEvent.RequestOutcome outcome) {
            if (!ended) {
                ended = true;
                expiry.cancel();
                fleet.record(
                        new TraceEvent.RequestEnded(
                                fleet.clock.now(),
                                requestClass,
                                id,
                                outcome,
                                fleet.clock.now() - startedAt));
            }
        }
    }

    private final EmulatedFleet fleet;
    private final EmulatedProxy proxy;
    private final Demand demand;
    private final ClientRetryPolicy retryPolicy;
    private final SplittableRandom retryRandom;

    EmulatedClients(EmulatedFleet fleet, EmulatedProxy proxy, Demand demand, long seed) {
        this.fleet = fleet;
        this.proxy = proxy;
        this.demand = demand;
        this.retryPolicy = fleet.scenario.clients().retryPolicy();
        this.retryRandom = new SplittableRandom(seed);
    }

    void start() {
        scheduleNext(fleet.clock.now());
    }

    private void scheduleNext(double afterMillis) {
        double startsAt = fleet.startsAt();
        Demand.Arrival arrival =
                demand.nextArrival(afterMillis - startsAt, fleet.requestRateFactor());
        if (arrival == null || arrival.at() + startsAt > fleet.endsAt()) {
            return;
        }
        double arrivesAt = arrival.at() + startsAt;
        fleet.clock.schedule(
                arrivesAt,
                () -> {
                    if (!arrival.isEmpty()) {
                        new ClientRequest(arrival.requestClass(), arrival.work()).send();
                    }
                    scheduleNext(arrivesAt);
                });
    }
}
