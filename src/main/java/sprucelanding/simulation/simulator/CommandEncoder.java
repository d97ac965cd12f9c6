package sprucelanding.simulation.simulator;

import java.math.BigInteger;
import java.util.Base64;
import java.util.BitSet;
import sprucelanding.control.decision.ControllerOutput;
import sprucelanding.control.decision.DecisionEvent;
import sprucelanding.control.decision.Endpoint;
import sprucelanding.control.decision.Proxy;
import sprucelanding.control.decision.RequestClass;
import sprucelanding.control.settings.DecimalFormatter;

/**
 * An encoder of the orders of one controller instance. The encoder appends one command line per
 * order to the reply, which all instances share.
 */
final class CommandEncoder implements ControllerOutput {
    private static final int MAX_PEER_PAYLOAD_BYTES = 256;
    private static final int MAX_TRACE_FRAMES = 3;
    private static final double MICROS_PER_MILLI = 1000;

    /** Kind of acknowledgement; the protocol has only this value. */
    private static final int ACKNOWLEDGEMENT_KIND = 0;

    private final int instanceId;
    private final StringBuilder reply;

    CommandEncoder(int instanceId, StringBuilder reply) {
        this.instanceId = instanceId;
        this.reply = reply;
    }

    private CommandEncoder begin(String command) {
        reply.append(command);
        return field(instanceId);
    }

    private CommandEncoder field(String value) {
        reply.append(SimulatorProtocol.FIELD_SEPARATOR).append(value);
        return this;
    }

    private CommandEncoder field(long value) {
        reply.append(SimulatorProtocol.FIELD_SEPARATOR).append(value);
        return this;
    }

    private CommandEncoder decimalField(double value) {
        reply.append(SimulatorProtocol.FIELD_SEPARATOR);
        DecimalFormatter.append(reply, value);
        return this;
    }

    private void end() {
        reply.append('\n');
    }

    @Override
    public void setWeight(int table, Endpoint endpoint, double weight) {
        begin(SimulatorProtocol.SET_WEIGHT)
                .field(table)
                .field(endpoint.id)
                .decimalField(weight)
                .end();
    }

    @Override
    public void clearTable(int table) {
        begin(SimulatorProtocol.CLEAR_TABLE).field(table).end();
    }

    @Override
    public void setEjected(Endpoint endpoint, boolean ejected) {
        begin(SimulatorProtocol.SET_EJECTED)
                .field(endpoint.id)
                .field(ejected ? SimulatorProtocol.TRUE : SimulatorProtocol.FALSE)
                .end();
    }

    @Override
    public void setAdmission(
            int table, RequestClass requestClass, double admitted, int retryPolicy) {
        BigInteger classMask = BigInteger.ONE.shiftLeft(requestClass.index);
        begin(SimulatorProtocol.SET_ADMISSION)
                .field(table)
                .field(classMask.toString())
                .decimalField(admitted)
                .field(retryPolicy)
                .end();
    }

    @Override
    public void bindProxy(int table, Proxy proxy, BitSet requestClasses) {
        BigInteger classMask = BigInteger.ZERO;
        for (int classIndex = requestClasses.nextSetBit(0);
                classIndex >= 0;
                classIndex = requestClasses.nextSetBit(classIndex + 1)) {
            classMask = classMask.setBit(classIndex);
        }
        begin(SimulatorProtocol.BIND_PROXY)
                .field(table)
                .field(proxy.id)
                .field(classMask.toString())
                .end();
    }

    @Override
    public void requestAcknowledgement(int acknowledgementId) {
        begin(SimulatorProtocol.REQUEST_ACKNOWLEDGEMENT)
                .field(ACKNOWLEDGEMENT_KIND)
                .field(acknowledgementId)
                .end();
    }

    @Override
    public void checkHealth(Endpoint endpoint) {
        begin(SimulatorProtocol.CHECK_HEALTH).field(endpoint.id).end();
    }

    @Override
    public void sendToPeers(byte[] payload) {
        if (payload.length > MAX_PEER_PAYLOAD_BYTES) {
            throw new IllegalArgumentException("a note of " + payload.length + " bytes");
        }
        String encoded =
                payload.length == 0
                        ? SimulatorProtocol.ABSENT
                        : Base64.getEncoder().encodeToString(payload);
        begin(SimulatorProtocol.SEND_TO_PEERS)
                .field(SimulatorProtocol.ALL_PEERS)
                .field(encoded)
                .end();
    }

    @Override
    public void watchEndpointList() {
        begin(SimulatorProtocol.WATCH_ENDPOINT_LIST).field(SimulatorProtocol.TRUE).end();
    }

    @Override
    public void setTimer(int timerId, double dueMillis) {
        long dueMicros = (long) Math.ceil(dueMillis * MICROS_PER_MILLI);
        begin(SimulatorProtocol.SET_TIMER).field(timerId).field(dueMicros).end();
    }

    @Override
    public void log(DecisionEvent event) {
        begin(SimulatorProtocol.LOG).field(event.text()).end();
    }

    /** Reports a failure of the controller with the innermost frames of the stack trace. */
    void reportBug(Throwable failure) {
        String message = failure.toString().replace('\n', ' ').replace('\t', ' ');
        begin(SimulatorProtocol.REPORT_BUG).field(message);
        StackTraceElement[] trace = failure.getStackTrace();
        for (int i = 0; i < trace.length && i < MAX_TRACE_FRAMES; i++) {
            reply.append(" at ")
                    .append(trace[i].getMethodName())
                    .append(':')
                    .append(trace[i].getLineNumber());
        }
        end();
    }
}
