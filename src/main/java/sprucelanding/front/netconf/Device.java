package sprucelanding.front.netconf;

import java.io.IOException;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.slf4j.spi.LoggingEventBuilder;
import sprucelanding.control.delivery.ProxyStream;
import sprucelanding.control.delivery.ResourceName;
import sprucelanding.control.delivery.ResourceType;
import sprucelanding.control.delivery.ResourceUpdate;
import sprucelanding.control.edits.DeviceEditSession;
import sprucelanding.control.loadreport.LoadReport;
import sprucelanding.front.xml.NetconfFraming;
import sprucelanding.front.xml.XmlElement;
import sprucelanding.runtime.eventloop.EventLoop;
import sprucelanding.runtime.governor.ResourceNaming;

/** One device, over all its sessions. All calls come on the front's loop. */
final class Device implements DeviceEditSession.Actions {
    /** A session's way out; closes it if it cannot take the bytes. */
    interface Transport {
        void write(byte[] bytes);

        void close(String reason);
    }

    private static final Logger LOG = LoggerFactory.getLogger(Device.class);
    private static final int REREADS_PER_SESSION =
            5; // reads after a session's begin; the last one comes after the longest trial
    private final NetconfFront front;
    private final ResourceNaming naming;
    final String name;
    final int proxyId;
    private final DeviceEditSession transaction;
    private ProxyStream proxyStream;
    private Transport transport;
    private NetconfFraming framing;
    private boolean helloReceived;
    private boolean joined;
    private DeviceEditSession.DeviceCapabilities abilities;
    private String zone = "";
    private double expectedRequestsPerSecond;
    private long lastMessageId;
    private long confirmedCommitId;
    private DeviceEditSession.Operation pendingOperation;
    private long pendingMessageId = -1;
    private EventLoop.Timer replyTimer;
    private EventLoop.Timer wakeTimer;
    private final Map<Long, DeviceEditSession.Operation> operationsByMessageId = new HashMap<>();

    Device(
            NetconfFront front,
            ResourceNaming naming,
            String name,
            int proxyId,
            DeviceEditSession transaction) {
        this.front = front;
        this.naming = naming;
        this.name = name;
        this.proxyId = proxyId;
        this.transaction = transaction;
    }

    /** A session came about: both say hello. */
    void onSessionOpened(Transport transport) {
        if (this.transport != null) {
            this.transport.close("the device dialled anew");
            onSessionLost(this.transport);
        }
        this.transport = transport;
        helloReceived = false;
        joined = false;
        operationsByMessageId.clear();
        framing = new NetconfFraming(front.maxMessageBytes(), this::onMessage);
        proxyStream = new ProxyStream(proxyId, ProxyStream.UpdateMode.EDITS, this);
        if (front.sharesFleet()) { // nothing is written before the core says that it may, not even
            // what
            // an earlier session left undone
            proxyStream.leaseWithdrawn();
        }
        transport.write(framing.frame(OperationEncoder.hello()));
    }

    void onSessionLost(Transport source) {
        if (source != transport) {
            return;
        }
        transport = null;
        cancelPendingOperation();
        transaction.sessionLost();
        front.editEnded(proxyId);
        if (joined) {
            joined = false;
            ProxyStream closedStream = proxyStream;
            front.notifyCore(core -> core.proxyDisconnected(closedStream));
        }
    }

    void onBytes(Transport source, byte[] bytes) {
        if (source != transport) {
            return;
        }
        try {
            framing.onBytes(bytes, 0, bytes.length);
        } catch (IOException e) {
            endSession("its framing: " + e.getMessage());
        }
    }

    private void endSession(String reason) {
        Transport closingTransport = transport;
        if (closingTransport != null) {
            log("a session is ended").addKeyValue("why", reason).log();
            closingTransport.close(reason);
            onSessionLost(closingTransport);
        }
    }

    private LoggingEventBuilder log(String text) {
        return LOG.atInfo().setMessage(text).addKeyValue("device", name);
    }

    private void onMessage(byte[] bytes) {
        XmlElement root;
        try {
            root = XmlElement.parse(bytes);
        } catch (IOException e) {
            endSession(e.getMessage());
            return;
        }
        switch (root.name) {
            case "hello" -> onHello(root);
            case "rpc-reply" -> onReply(root);
            case "notification" -> onNotification(root);
            default -> endSession("a <" + root.name + "> where a reply was expected");
        }
    }

    private void onHello(XmlElement root) {
        XmlElement capabilities = root.child("capabilities");
        if (helloReceived || capabilities == null) {
            endSession("a hello that is none, or a second one");
            return;
        }
        helloReceived = true;
        List<String> offered =
                capabilities.childrenNamed("capability").stream().map(XmlElement::text).toList();
        if (!offered.contains(OperationEncoder.BASE_1_0_CAPABILITY)
                && !offered.contains(OperationEncoder.BASE_1_1_CAPABILITY)) {
            endSession("no base capability in common");
            return;
        }
        if (offered.contains(OperationEncoder.BASE_1_1_CAPABILITY)) {
            framing.useChunkedFraming();
        }
        abilities = OperationEncoder.abilities(offered);
        if (!abilities.candidate() && !abilities.writableRunning()) {
            endSession("neither :candidate nor :writable-running");
            return;
        }
        transaction.setTime(EventLoop.nowMillis());
        transaction.sessionOpened(abilities);
        decide();
        scheduleReread(transport, 1);
    }

    /**
     * Guards against a handover in mid-trial: what another governor committed on trial right before
     * is read as held, and taken back when that trial runs out; not every device tells. So it is
     * read again until no such trial can run. Costs some reads a session.
     */
    private void scheduleReread(Transport scheduledOn, int attempt) {
        if (attempt > REREADS_PER_SESSION) {
            return;
        }
        front.loop()
                .schedule(
                        front.confirmTimeoutMillis() / (REREADS_PER_SESSION - 1),
                        () -> {
                            if (transport == scheduledOn) {
                                transaction.setTime(EventLoop.nowMillis());
                                transaction.changedByOthers();
                                decide();
                                scheduleReread(scheduledOn, attempt + 1);
                            }
                        });
    }

    private void onReply(XmlElement root) {
        long messageId;
        try {
            messageId = Long.parseLong(root.attributes.getOrDefault("message-id", ""));
        } catch (NumberFormatException e) {
            endSession("a reply without the message-id of a request");
            return;
        }
        DeviceEditSession.Operation operation = operationsByMessageId.remove(messageId);
        if (operation == null || messageId != pendingMessageId) {
            return; // to what was given up
        }
        replyTimer.cancel();
        pendingOperation = null;
        pendingMessageId = -1;
        transaction.setTime(EventLoop.nowMillis());
        XmlElement error = root.child("rpc-error");
        if (error != null) {
            boolean lockedByOther = error.text("error-tag").equals("lock-denied");
            String path = error.text("error-path");
            transaction.operationFailed(
                    operation,
                    lockedByOther,
                    error.text("error-tag")
                            + " "
                            + error.text("error-message")
                            + (path.isEmpty() ? "" : " at " + path));
        } else if (operation == DeviceEditSession.Operation.READ) {
            XmlElement data = root.child("data");
            XmlElement routing = data == null ? null : data.child("routing");
            if (routing != null) {
                zone = routing.text("zone");
                try {
                    expectedRequestsPerSecond =
                            Math.max(
                                    0,
                                    Math.min(
                                            1e6,
                                            Double.parseDouble(routing.text("txns-per-second"))));
                } catch (NumberFormatException e) {
                    expectedRequestsPerSecond = 0;
                }
            }
            transaction.stateRead(
                    OperationEncoder.heldVersions(routing, naming.requestClassNames()));
        } else if (root.child("ok") != null) {
            transaction.operationSucceeded(operation);
        } else {
            transaction.operationFailed(operation, false, "neither ok nor an error");
        }
        decide();
    }

    /** RFC 5277: what it met since its last one, or that others have changed it. */
    private void onNotification(XmlElement root) {
        if (root.child("netconf-config-change") != null) {
            transaction.setTime(EventLoop.nowMillis());
            transaction.changedByOthers(); // by us too, on devices that do not tell: a read more
            decide();
            return;
        }
        XmlElement loadElement = root.child("met");
        if (loadElement != null && joined) {
            LoadReport report = DeviceLoadReports.parse(proxyId, loadElement, naming);
            if (report != null) {
                front.notifyCore(core -> core.loadReported(report));
            }
        }
    }

    /** The core's message: an edit to bring in force. False if it is of a session that is over. */
    boolean submitEdit(ResourceUpdate edit) {
        transaction.setTime(EventLoop.nowMillis());
        if (transport == null || edit.stream != proxyStream) {
            return false;
        }
        transaction.submit(edit);
        decide();
        return true;
    }

    void decide() {
        transaction.setTime(EventLoop.nowMillis());
        while (transaction.decide(this)) {
            continue;
        }
        if (wakeTimer != null) {
            wakeTimer.cancel();
        }
        double dueAt = transaction.nextDecisionAt();
        wakeTimer = Double.isInfinite(dueAt) ? null : front.loop().scheduleAt(dueAt, this::decide);
    }

    private void cancelPendingOperation() {
        if (replyTimer != null) {
            replyTimer.cancel();
        }
        pendingOperation = null;
        pendingMessageId = -1;
    }

    @Override
    public void perform(
            DeviceEditSession.Operation operation, ResourceUpdate edit, double timeoutMillis) {
        ProxyStream.Lease lease = proxyStream.lease();
        if ((operation == DeviceEditSession.Operation.EDIT
                        || operation == DeviceEditSession.Operation.TRY_COMMIT
                        || operation == DeviceEditSession.Operation.COMMIT)
                && !lease.isValidAt(EventLoop.nowMillis())) {
            // A governor that stood still: what it may no longer write is not written. The device
            // dials anew.
            log("an edit is not written: the lease has run out")
                    .addKeyValue("epoch", lease.epoch())
                    .log();
            Transport expiredTransport = transport;
            front.loop()
                    .schedule(
                            0,
                            () -> {
                                if (transport == expiredTransport) {
                                    endSession("this governor may no longer write to it");
                                }
                            });
            return;
        }
        long messageId = ++lastMessageId;
        if (operation == DeviceEditSession.Operation.TRY_COMMIT) {
            confirmedCommitId = messageId;
        }
        pendingOperation = operation;
        pendingMessageId = messageId;
        operationsByMessageId.put(messageId, operation);
        String rpc;
        try {
            rpc =
                    OperationEncoder.rpc(
                            messageId,
                            operation,
                            edit,
                            abilities,
                            front.confirmTimeoutMillis(),
                            front.identifier() + "-" + proxyId + "-" + confirmedCommitId,
                            lease.epoch() == 0 ? "" : front.identifier() + "#" + lease.epoch(),
                            naming);
        } catch (IllegalStateException e) {
            pendingOperation = null;
            front.loop()
                    .schedule(
                            0,
                            () -> {
                                transaction.operationFailed(operation, false, e.getMessage());
                                decide();
                            });
            return;
        }
        byte[] bytes = framing.frame(rpc);
        transport.write(bytes);
        if (operation == DeviceEditSession.Operation.EDIT) {
            front.editWritten(edit, bytes.length);
        }
        replyTimer =
                front.loop()
                        .schedule(
                                timeoutMillis,
                                () -> {
                                    if (pendingMessageId == messageId) {
                                        pendingOperation = null;
                                        pendingMessageId = -1;
                                        transaction.setTime(EventLoop.nowMillis());
                                        transaction.operationTimedOut(operation);
                                        decide();
                                    }
                                });
    }

    @Override
    public void editApplied(ResourceUpdate edit) {
        front.editEnded(proxyId);
        front.notifyCore(core -> core.updateAnswered(edit.stream, edit.id, null));
    }

    @Override
    public void editRejected(ResourceUpdate edit, String reason) {
        front.editEnded(proxyId);
        front.notifyCore(core -> core.updateAnswered(edit.stream, edit.id, reason));
    }

    @Override
    public void deviceStateRead(Map<ResourceName, String> versions) {
        ProxyStream stream = proxyStream;
        if (!joined) {
            joined = true;
            boolean withoutRoutes = !versions.containsKey(ResourceName.ROUTE);
            front.notifyCore(
                    core ->
                            core.proxyConnected(
                                    front, stream, zone, expectedRequestsPerSecond, withoutRoutes));
            for (ResourceType type : ResourceType.values()) {
                front.notifyCore(core -> core.subscriptionChanged(stream, type, 0, true));
            }
        }
        front.notifyCore(core -> core.allResourcesHeld(stream, versions));
    }

    @Override
    public void closeSession(String reason) {
        endSession(reason);
    }

    @Override
    public void log(String text, Object... fields) {
        LoggingEventBuilder event = log(text);
        for (int i = 0; i + 1 < fields.length; i += 2) {
            event = event.addKeyValue(fields[i].toString(), fields[i + 1]);
        }
        event.log();
    }
}
