package sprucelanding.front.netconf;

import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.slf4j.spi.LoggingEventBuilder;
import sprucelanding.control.delivery.ProxyStream;
import sprucelanding.control.delivery.ResourceName;
import sprucelanding.control.delivery.ResourceType;
import sprucelanding.control.delivery.ResourceUpdate;
import sprucelanding.control.edits.DeviceEditSession;
import sprucelanding.control.edits.DeviceEditSession.Operation;
import sprucelanding.front.xml.NetconfFraming;
import sprucelanding.front.xml.XmlElement;
import sprucelanding.runtime.eventloop.EventLoop;
import sprucelanding.runtime.governor.ResourceNaming;

/**
 * A device across all its sessions. Decodes the device's messages for its {@link
 * DeviceEditSession}, and sends the operations that the edit session decides on. Used on the
 * front's event loop only.
 */
final class Device implements DeviceEditSession.Actions {
    private static final Logger LOG = LoggerFactory.getLogger(Device.class);

    /** Rereads after a session has opened; the last one follows the confirm timeout. */
    private static final int REREADS_PER_SESSION = 5;

    private final NetconfFront front;
    private final ResourceNaming naming;
    private final String name;
    private final int proxyId;
    private final DeviceEditSession editSession;
    private final PendingOperations pendingOperations = new PendingOperations();

    /** The transport of the open session; null while there is none. */
    private DeviceTransport transport;

    private NetconfFraming framing;
    private ProxyStream proxyStream;
    private DeviceEditSession.DeviceCapabilities capabilities;
    private boolean helloReceived;

    /** Whether the session was reported to the core, which happens after the first read. */
    private boolean isReportedToCore;

    private String zone = "";
    private double expectedRequestsPerSecond;
    private long confirmedCommitId;
    private EventLoop.Timer wakeTimer;

    Device(
            NetconfFront front,
            ResourceNaming naming,
            String name,
            int proxyId,
            DeviceEditSession editSession) {
        this.front = front;
        this.naming = naming;
        this.name = name;
        this.proxyId = proxyId;
        this.editSession = editSession;
    }

    int proxyId() {
        return proxyId;
    }

    /** Starts a session; a session that is still open is closed. */
    void onSessionOpened(DeviceTransport newTransport) {
        if (transport != null) {
            transport.close("the device has opened a new session");
            onSessionLost(transport);
        }
        transport = newTransport;
        helloReceived = false;
        isReportedToCore = false;
        pendingOperations.clear();
        framing = new NetconfFraming(front.maxMessageBytes(), this::onMessage);
        proxyStream = new ProxyStream(proxyId, ProxyStream.UpdateMode.TRANSACTIONAL, this);
        if (front.isFleetShared()) {
            // No write before the core grants a lease, not even to finish an earlier edit.
            proxyStream.revokeLease();
        }
        transport.write(framing.frame(OperationEncoder.hello()));
    }

    /** Ends a session; a session that was already replaced is ignored. */
    void onSessionLost(DeviceTransport source) {
        if (source != transport) {
            return;
        }
        transport = null;
        pendingOperations.cancel();
        editSession.sessionLost();
        front.editEnded(proxyId);
        if (isReportedToCore) {
            isReportedToCore = false;
            ProxyStream closedStream = proxyStream;
            front.notifyCore(core -> core.proxyDisconnected(closedStream));
        }
    }

    void onBytes(DeviceTransport source, byte[] bytes) {
        if (source != transport) {
            return;
        }
        try {
            framing.onBytes(bytes, 0, bytes.length);
        } catch (IOException e) {
            closeSession("invalid framing: " + e.getMessage());
        }
    }

    private void onMessage(byte[] bytes) {
        XmlElement root;
        try {
            root = XmlElement.parse(bytes);
        } catch (IOException e) {
            closeSession(e.getMessage());
            return;
        }
        switch (root.name) {
            case "hello" -> onHello(root);
            case "rpc-reply" -> onReply(root);
            case "notification" -> onNotification(root);
            default -> closeSession("unexpected <" + root.name + ">; expected an <rpc-reply>");
        }
    }

    /** Handles the capabilities exchange (RFC 6241, section 8.1). */
    private void onHello(XmlElement root) {
        XmlElement offeredElement = root.child("capabilities");
        if (helloReceived || offeredElement == null) {
            closeSession("a second hello, or a hello without capabilities");
            return;
        }
        helloReceived = true;
        List<String> offered =
                offeredElement.childrenNamed("capability").stream().map(XmlElement::text).toList();
        boolean knowsChunks = offered.contains(OperationEncoder.BASE_1_1_CAPABILITY);
        if (!knowsChunks && !offered.contains(OperationEncoder.BASE_1_0_CAPABILITY)) {
            closeSession("the hello has neither base:1.0 nor base:1.1");
            return;
        }
        if (knowsChunks) {
            framing.useChunkedFraming();
        }
        capabilities = OperationEncoder.capabilities(offered);
        if (!capabilities.candidate() && !capabilities.writableRunning()) {
            closeSession("the hello has neither :candidate nor :writable-running");
            return;
        }
        editSession.setTime(EventLoop.nowMillis());
        editSession.sessionOpened(capabilities);
        decide();
        scheduleReread(transport, 1);
    }

    /**
     * Schedules rereads until no confirmed commit of another governor can be pending. After a
     * handover, the first read returns the content of such a commit. The device reverts the commit
     * when it times out, and not every device notifies of that.
     */
    private void scheduleReread(DeviceTransport scheduledOn, int attempt) {
        if (attempt > REREADS_PER_SESSION) {
            return;
        }
        double intervalMillis = front.confirmTimeoutMillis() / (REREADS_PER_SESSION - 1);
        front.loop().schedule(intervalMillis, () -> reread(scheduledOn, attempt));
    }

    private void reread(DeviceTransport scheduledOn, int attempt) {
        if (transport == scheduledOn) {
            editSession.setTime(EventLoop.nowMillis());
            editSession.changedExternally();
            decide();
            scheduleReread(scheduledOn, attempt + 1);
        }
    }

    private void onReply(XmlElement root) {
        long messageId;
        try {
            messageId = Long.parseLong(root.attributes.getOrDefault("message-id", ""));
        } catch (NumberFormatException e) {
            closeSession("a reply without a numeric message-id");
            return;
        }
        Optional<Operation> operation = pendingOperations.complete(messageId);
        if (operation.isEmpty()) {
            return; // The operation was given up.
        }
        editSession.setTime(EventLoop.nowMillis());
        onReplyTo(operation.get(), root);
        decide();
    }

    private void onReplyTo(Operation operation, XmlElement reply) {
        Optional<RpcError> error = RpcError.of(reply);
        if (error.isPresent()) {
            editSession.operationFailed(
                    operation, error.get().isLockDenied(), error.get().describe());
        } else if (operation == Operation.READ) {
            onStateRead(reply.child("data"));
        } else if (reply.child("ok") != null) {
            editSession.operationSucceeded(operation);
        } else {
            editSession.operationFailed(operation, false, "neither ok nor an error");
        }
    }

    private void onStateRead(XmlElement data) {
        XmlElement routing = data == null ? null : data.child("routing");
        if (routing != null) {
            zone = routing.text("zone");
            expectedRequestsPerSecond = RoutingConfigReader.expectedRequestsPerSecond(routing);
        }
        editSession.stateRead(RoutingConfigReader.versions(routing, naming.requestClassNames()));
    }

    /** Handles a load report or a notice that the configuration has changed (RFC 5277). */
    private void onNotification(XmlElement root) {
        if (root.child("netconf-config-change") != null) {
            editSession.setTime(EventLoop.nowMillis());
            // Not every device names the author. A change by this governor costs one needless read.
            editSession.changedExternally();
            decide();
            return;
        }
        XmlElement load = root.child("met");
        if (load != null && isReportedToCore) {
            DeviceLoadReports.parse(proxyId, load, naming)
                    .ifPresent(report -> front.notifyCore(core -> core.loadReported(report)));
        }
    }

    /** Starts an edit from the core; returns false if the edit's session has ended. */
    boolean submitEdit(ResourceUpdate edit) {
        editSession.setTime(EventLoop.nowMillis());
        if (transport == null || edit.stream != proxyStream) {
            return false;
        }
        editSession.submit(edit);
        decide();
        return true;
    }

    /** Sends all operations that are due, and sets the timer for the next decision. */
    void decide() {
        editSession.setTime(EventLoop.nowMillis());
        while (editSession.decide(this)) {
            continue;
        }
        if (wakeTimer != null) {
            wakeTimer.cancel();
        }
        double dueAt = editSession.nextDecisionAt();
        wakeTimer = Double.isInfinite(dueAt) ? null : front.loop().scheduleAt(dueAt, this::decide);
    }

    @Override
    public void perform(Operation operation, ResourceUpdate edit, double timeoutMillis) {
        ProxyStream.Lease lease = proxyStream.lease();
        if (changesRunning(operation) && !lease.isValidAt(EventLoop.nowMillis())) {
            endSessionWithoutLease(lease);
            return;
        }
        long messageId = pendingOperations.register(operation);
        if (operation == Operation.TRY_COMMIT) {
            confirmedCommitId = messageId;
        }
        String rpc;
        try {
            RpcRequest request = request(messageId, operation, edit, lease);
            rpc = OperationEncoder.rpc(request, naming);
        } catch (IllegalStateException e) {
            front.loop().schedule(0, () -> onNotEncoded(operation, e.getMessage()));
            return;
        }
        byte[] bytes = framing.frame(rpc);
        transport.write(bytes);
        if (operation == Operation.EDIT) {
            front.editWritten(edit, bytes.length);
        }
        pendingOperations.setReplyTimer(
                front.loop().schedule(timeoutMillis, () -> onTimeout(messageId, operation)));
    }

    private static boolean changesRunning(Operation operation) {
        return operation == Operation.EDIT
                || operation == Operation.TRY_COMMIT
                || operation == Operation.COMMIT;
    }

    /**
     * Ends the session without another write, after a pause of this process in which the lease
     * expired. The device then connects again.
     */
    private void endSessionWithoutLease(ProxyStream.Lease lease) {
        log("an edit is not written: the lease has expired")
                .addKeyValue("epoch", lease.epoch())
                .log();
        DeviceTransport expiredTransport = transport;
        front.loop()
                .schedule(
                        0,
                        () -> {
                            if (transport == expiredTransport) {
                                closeSession("the lease has expired");
                            }
                        });
    }

    private RpcRequest request(
            long messageId, Operation operation, ResourceUpdate edit, ProxyStream.Lease lease) {
        String identifier = front.identifier();
        return new RpcRequest(
                messageId,
                operation,
                edit,
                capabilities,
                front.confirmTimeoutMillis(),
                identifier + "-" + proxyId + "-" + confirmedCommitId,
                lease.epoch() == 0 ? "" : identifier + "#" + lease.epoch());
    }

    private void onNotEncoded(Operation operation, String reason) {
        editSession.operationFailed(operation, false, reason);
        decide();
    }

    private void onTimeout(long messageId, Operation operation) {
        if (pendingOperations.expire(messageId)) {
            editSession.setTime(EventLoop.nowMillis());
            editSession.operationTimedOut(operation);
            decide();
        }
    }

    @Override
    public void editApplied(ResourceUpdate edit) {
        front.editEnded(proxyId);
        front.notifyCore(core -> core.updateResultReceived(edit.stream, edit.id, null));
    }

    @Override
    public void editRejected(ResourceUpdate edit, String reason) {
        front.editEnded(proxyId);
        front.notifyCore(core -> core.updateResultReceived(edit.stream, edit.id, reason));
    }

    @Override
    public void deviceStateRead(Map<ResourceName, String> versions) {
        ProxyStream stream = proxyStream;
        if (!isReportedToCore) {
            isReportedToCore = true;
            reportToCore(stream, versions);
        }
        front.notifyCore(core -> core.allHeldResourcesReported(stream, versions));
    }

    /** Reports the device to the core, with a subscription to each type because it holds all. */
    private void reportToCore(ProxyStream stream, Map<ResourceName, String> versions) {
        boolean withoutRoutes = !versions.containsKey(ResourceName.ROUTE);
        front.notifyCore(
                core ->
                        core.proxyConnected(
                                front, stream, zone, expectedRequestsPerSecond, withoutRoutes));
        for (ResourceType type : ResourceType.values()) {
            front.notifyCore(core -> core.subscriptionChanged(stream, type, 0, true));
        }
    }

    @Override
    public void closeSession(String reason) {
        DeviceTransport closingTransport = transport;
        if (closingTransport != null) {
            log("session closed").addKeyValue("why", reason).log();
            closingTransport.close(reason);
            onSessionLost(closingTransport);
        }
    }

    @Override
    public void log(String text, Object... fields) {
        LoggingEventBuilder event = log(text);
        for (int i = 0; i + 1 < fields.length; i += 2) {
            event = event.addKeyValue(fields[i].toString(), fields[i + 1]);
        }
        event.log();
    }

    private LoggingEventBuilder log(String text) {
        return LOG.atInfo().setMessage(text).addKeyValue("device", name);
    }
}
