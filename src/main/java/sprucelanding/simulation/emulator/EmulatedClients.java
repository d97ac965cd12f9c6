package sprucelanding.simulation.emulator;

import java.util.SplittableRandom;
import sprucelanding.simulation.model.ClientRetryPolicy;
import sprucelanding.simulation.rules.TraceEvent;
import sprucelanding.simulation.scenario.Scenario;

/**
 * One proxy's clients, an open loop: they try again by themselves, a safe txn after any failure,
 * others only with proof that nothing ran, and give up at expiry.
 */
final class EmulatedClients {
    private final class ClientRequest implements EmulatedProxy.ResponseListener {
        final long id = fleet.nextRequestId();
        final int requestClass;
        final double work;
        final double startedAt = fleet.clock.now();
        private final VirtualClock.ScheduledTask expiry;
        int attempts;
        int latestAttempt;
        boolean ended;
        boolean declined;

        ClientRequest(int requestClass, double work) {
            this.requestClass = requestClass;
            this.work = work;
            fleet.record(
                    new TraceEvent.RequestArrived(startedAt, proxy.number, requestClass, id, work));
            expiry =
                    fleet.clock.scheduleAfter(
                            requestClassSpec().expiry(),
                            () -> complete(TraceEvent.RequestOutcome.VOIDED));
        }

        private Scenario.RequestClassSettings requestClassSpec() {
            return fleet.scenario.products().get(requestClass);
        }

        void send() {
            if (ended) {
                return;
            }
            attempts++;
            double now = fleet.clock.now();
            double remainingMillis = requestClassSpec().expiry() - (now - startedAt);
            if (remainingMillis <= 1) {
                complete(
                        declined
                                ? TraceEvent.RequestOutcome.DECLINED
                                : TraceEvent.RequestOutcome.VOIDED);
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
                                    fleet.scenario.clients().tryShare()
                                            * requestClassSpec().expiry()));
        }

        @Override
        public void onResponse(int status, boolean notExecuted) {
            if (ended) {
                return;
            }
            double elapsedMillis = fleet.clock.now() - startedAt;
            if (status == 200) {
                complete(
                        elapsedMillis <= requestClassSpec().sla()
                                ? TraceEvent.RequestOutcome.IN_TIME
                                : TraceEvent.RequestOutcome.LATE);
                return;
            }
            declined = status == 503;
            if (retryPolicy.shouldRetry(
                    attempts,
                    fleet.isIdempotent(requestClass),
                    notExecuted,
                    elapsedMillis,
                    requestClassSpec().expiry())) {
                fleet.clock.scheduleAfter(
                        retryPolicy.delayMillis(retryRandom.nextDouble()), this::send);
            } else {
                complete(
                        declined
                                ? TraceEvent.RequestOutcome.DECLINED
                                : TraceEvent.RequestOutcome.VOIDED);
            }
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
        Demand.Arrival arrival = demand.nextArrival(afterMillis - fleet.startsAt(), fleet.rate());
        if (arrival != null && arrival.at() + fleet.startsAt() <= fleet.endsAt()) {
            fleet.clock.schedule(
                    arrival.at() + fleet.startsAt(),
                    () -> {
                        if (arrival.requestClass() >= 0) {
                            new ClientRequest(arrival.requestClass(), arrival.work()).send();
                        }
                        scheduleNext(arrival.at() + fleet.startsAt());
                    });
        }
    }
}
