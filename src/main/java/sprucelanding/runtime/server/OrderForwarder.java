package sprucelanding.runtime.server;

import sprucelanding.control.decision.DecisionEvent;
import sprucelanding.control.decision.Endpoint;
import sprucelanding.control.distribution.DistributorOutput;
import sprucelanding.control.distribution.TableDistributor;

/**
 * The receiver of the controller's orders. It forwards orders on tables to the distributor, health
 * checks to the health checker, timers to the scheduler and events to the log.
 */
final class OrderForwarder extends DistributorOutput {
    private final HealthChecker healthChecker;
    private final EndpointDirectory endpoints;
    private final DecisionScheduler scheduler;
    private final EventLog eventLog;

    OrderForwarder(
            TableDistributor distributor,
            HealthChecker healthChecker,
            EndpointDirectory endpoints,
            DecisionScheduler scheduler,
            EventLog eventLog) {
        super(distributor);
        this.healthChecker = healthChecker;
        this.endpoints = endpoints;
        this.scheduler = scheduler;
        this.eventLog = eventLog;
    }

    @Override
    public void checkHealth(Endpoint endpoint) {
        healthChecker.check(endpoints.find(endpoint.id));
    }

    @Override
    public void sendToPeers(byte[] payload) {
        // governors on the operators' platform do not exchange messages
    }

    @Override
    public void watchEndpointList() {
        // the discovery watch is always running
    }

    @Override
    public void setTimer(int timerId, double dueMillis) {
        scheduler.setTimer(timerId, dueMillis);
    }

    @Override
    public void log(DecisionEvent event) {
        eventLog.log(event);
    }
}
