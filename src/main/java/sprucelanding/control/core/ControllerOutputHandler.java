package sprucelanding.control.core;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.List;
import sprucelanding.control.decision.ControllerOutput;
import sprucelanding.control.decision.DecisionEvent;
import sprucelanding.control.decision.Endpoint;
import sprucelanding.control.decision.Proxy;
import sprucelanding.control.decision.RequestClass;
import sprucelanding.control.delivery.Delivery;

/**
 * Executor of the controller's decisions. It passes orders to the delivery and everything else to
 * the host.
 */
final class ControllerOutputHandler implements ControllerOutput {
    private final GovernorHost host;
    private final ControllerInput input;
    private final Delivery delivery;
    private final HealthCheckDispatcher healthChecks;
    private final BatchTracker batch;
    private boolean isWatchRequested;

    ControllerOutputHandler(
            GovernorHost host,
            ControllerInput input,
            Delivery delivery,
            HealthCheckDispatcher healthChecks,
            BatchTracker batch) {
        this.host = host;
        this.input = input;
        this.delivery = delivery;
        this.healthChecks = healthChecks;
        this.batch = batch;
    }

    @Override
    public void setWeight(int table, Endpoint endpoint, double weight) {
        batch.orderReceived();
        delivery.setEntry(table, endpoint.id, weight);
    }

    @Override
    public void clearTable(int table) {
        batch.orderReceived();
        delivery.clearTable(table);
    }

    @Override
    public void setEjected(Endpoint endpoint, boolean ejected) {
        batch.orderReceived();
        delivery.setEjected(endpoint.id, ejected);
    }

    @Override
    public void setAdmission(
            int table, RequestClass requestClass, double admittedLevel, int retryMode) {
        batch.orderReceived();
        delivery.setAdmissionLevel(table, requestClass.index, admittedLevel, retryMode);
    }

    @Override
    public void bindProxy(int table, Proxy proxy, BitSet requestClasses) {
        batch.orderReceived();
        List<Integer> classIndexes = new ArrayList<>();
        requestClasses.stream().forEach(classIndexes::add);
        delivery.bind(proxy.id, table, classIndexes);
    }

    @Override
    public void requestAcknowledgement(int serial) {
        batch.acknowledgementRequested(serial);
        delivery.requestAcknowledgement(serial);
    }

    @Override
    public void checkHealth(Endpoint endpoint) {
        healthChecks.check(endpoint.id);
    }

    @Override
    public void sendToPeers(byte[] payload) {
        host.broadcastToPeers(payload);
    }

    /** Starts the watch on the first call only; later lists arrive without another request. */
    @Override
    public void watchEndpointList() {
        if (!isWatchRequested) {
            isWatchRequested = true;
            host.watchEndpointList();
        }
    }

    @Override
    public void setTimer(int tag, double at) {
        host.schedule(
                at,
                () -> {
                    input.setTime(host.now());
                    input.timerFired(tag);
                });
    }

    @Override
    public void log(DecisionEvent event) {
        host.log(event.text(), "by", "choice");
    }
}
