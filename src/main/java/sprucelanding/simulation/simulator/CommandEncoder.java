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

/** Writes one instance's orders as lines of the reply. */
final class CommandEncoder implements ControllerOutput {
    private static final int MAX_PEER_BYTES = 256;

    private final int instanceId;
    private final StringBuilder reply;

    CommandEncoder(int instanceId, StringBuilder reply) {
        this.instanceId = instanceId;
        this.reply = reply;
    }

    private StringBuilder beginCommand(String command) {
        return reply.append(command).append('\t').append(instanceId);
    }

    @Override
    public void setWeight(int table, Endpoint endpoint, double weight) {
        beginCommand("LINE")
                .append('\t')
                .append(table)
                .append('\t')
                .append(endpoint.id)
                .append('\t');
        DecimalFormatter.append(reply, weight);
        reply.append('\n');
    }

    @Override
    public void clearTable(int table) {
        beginCommand("TRUNCATE").append('\t').append(table).append('\n');
    }

    @Override
    public void setEjected(Endpoint endpoint, boolean ejected) {
        beginCommand("BENCH")
                .append('\t')
                .append(endpoint.id)
                .append('\t')
                .append(ejected ? 1 : 0)
                .append('\n');
    }

    @Override
    public void setAdmission(
            int table, RequestClass requestClass, double admittedShare, int retryPolicy) {
        beginCommand("VALVE")
                .append('\t')
                .append(table)
                .append('\t')
                .append(BigInteger.ONE.shiftLeft(requestClass.index))
                .append('\t');
        DecimalFormatter.append(reply, admittedShare);
        reply.append('\t').append(retryPolicy).append('\n');
    }

    @Override
    public void bindProxy(int table, Proxy proxy, BitSet requestClasses) {
        BigInteger mask = BigInteger.ZERO;
        for (int classIndex = requestClasses.nextSetBit(0);
                classIndex >= 0;
                classIndex = requestClasses.nextSetBit(classIndex + 1)) {
            mask = mask.setBit(classIndex);
        }
        beginCommand("SUBSCRIBE_TO")
                .append('\t')
                .append(table)
                .append('\t')
                .append(proxy.id)
                .append('\t')
                .append(mask)
                .append('\n');
    }

    @Override
    public void requestAcknowledgement(int acknowledgementId) {
        beginCommand("ASK_RECEIPT").append("\t0\t").append(acknowledgementId).append('\n');
    }

    @Override
    public void checkHealth(Endpoint endpoint) {
        beginCommand("CHECK").append('\t').append(endpoint.id).append('\n');
    }

    @Override
    public void sendToPeers(byte[] payload) {
        if (payload.length > MAX_PEER_BYTES) {
            throw new IllegalArgumentException("a note of " + payload.length + " bytes");
        }
        beginCommand("POST")
                .append("\t*\t")
                .append(payload.length == 0 ? "-" : Base64.getEncoder().encodeToString(payload))
                .append('\n');
    }

    @Override
    public void watchEndpointList() {
        beginCommand("TAIL").append("\t1\n");
    }

    @Override
    public void setTimer(int timerId, double dueMillis) {
        long dueMicros = (long) Math.ceil(dueMillis * 1000);
        beginCommand("SCHEDULE")
                .append('\t')
                .append(timerId)
                .append('\t')
                .append(dueMicros)
                .append('\n');
    }

    @Override
    public void log(DecisionEvent event) {
        beginCommand("WRITE_LOG").append('\t').append(event.text()).append('\n');
    }

    void reportBug(Throwable failure) {
        StackTraceElement[] trace = failure.getStackTrace();
        beginCommand("BUG")
                .append('\t')
                .append(failure.toString().replace('\n', ' ').replace('\t', ' '));
        for (int i = 0; i < trace.length && i < 3; i++) {
            reply.append(" at ")
                    .append(trace[i].getMethodName())
                    .append(':')
                    .append(trace[i].getLineNumber());
        }
        reply.append('\n');
    }
}
