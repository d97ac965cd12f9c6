package sprucelanding.runtime.server;

import java.util.BitSet;
import java.util.Collection;
import sprucelanding.control.decision.ControllerOutput;
import sprucelanding.control.decision.DecisionEvent;
import sprucelanding.control.decision.Endpoint;
import sprucelanding.control.decision.Proxy;
import sprucelanding.control.decision.RequestClass;
import sprucelanding.control.distribution.TableDistributor;

/**
 * The receiver of the controller's orders. It forwards orders on tables to the distributor, health
 * checks to the health checker, timers to the scheduler and events to the log.
 */
final class OrderForwarder implements ControllerOutput {
    private final TableDistributor distributor;
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
        this.distributor = distributor;
        this.healthChecker = healthChecker;
        this.endpoints = endpoints;
        this.scheduler = scheduler;
        this.eventLog = eventLog;
    }

    @Override
    public void setWeight(int table, Endpoint endpoint, double weight) {
        distributor.setWeight(table, endpoint, weight);
    }

    @Override
    public void clearTable(int table) {
        distributor.clearTable(table);
    }

    @Override
    public void setEjected(Endpoint endpoint, boolean ejected) {
        distributor.setEjected(endpoint, ejected);
    }

    @Override
    public void restoreAt(Endpoint endpoint, Collection<Proxy> proxies) {
        distributor.restoreAt(endpoint, proxies);
    }

    @Override
    public void setAdmission(
            int table, RequestClass requestClass, double admittedShare, int retryPolicy) {
        distributor.setAdmission(table, requestClass, admittedShare, retryPolicy);
    }

    @Override
    public void bindProxy(int table, Proxy proxy, BitSet requestClasses) {
        distributor.bindProxy(table, proxy, requestClasses);
    }

    @Override
    public void requestAcknowledgement(int acknowledgementId) {
        distributor.requestAcknowledgement(acknowledgementId);
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
