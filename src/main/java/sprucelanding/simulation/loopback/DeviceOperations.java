package sprucelanding.simulation.loopback;

import java.util.OptionalDouble;
import sprucelanding.front.xml.XmlElement;
import sprucelanding.runtime.eventloop.EventLoop;

/**
 * The executor of the NETCONF operations of one session on a device's datastores. All calls must be
 * made on the device's event loop.
 */
final class DeviceOperations {
    private static final String EDIT = "edit";
    private static final double MILLIS_PER_SECOND = 1000;

    /** The NETCONF session whose operations are executed. */
    interface Session {
        /** Applies the running datastore, which has changed, to the proxy's tables. */
        void applyRunning();

        /** Starts the load notifications that the governor has subscribed to. */
        void subscribe();

        /**
         * Breaks the session: nothing that arrives from now on is executed, and the connection is
         * closed as lost after the reply has been sent.
         */
        void breakAfterReply(String reason);
    }

    private final SimulatedDevice device;
    private final DeviceDatastores datastores;
    private final DeviceFaults faults;
    private final EventLoop loop;
    private final ControlChannel.ControlChannelListener listener;
    private final Session session;
    private String controlPlaneId = "";
    private int messagesToReject;
    private long editCount;
    private int editedEntries;

    DeviceOperations(
            SimulatedDevice device,
            DeviceDatastores datastores,
            DeviceFaults faults,
            EventLoop loop,
            ControlChannel.ControlChannelListener listener,
            Session session) {
        this.device = device;
        this.datastores = datastores;
        this.faults = faults;
        this.loop = loop;
        this.listener = listener;
        this.session = session;
    }

    void rejectNext(int messages) {
        messagesToReject = messages;
    }

    /** Returns how many edits were received, which is the number of the latest edit. */
    long editCount() {
        return editCount;
    }

    /**
     * Executes an operation.
     *
     * @param writer the name and epoch of the governor that wrote the message
     * @return the content of the reply
     */
    String execute(XmlElement operation, String writer) {
        controlPlaneId = writer;
        return switch (operation.name) {
            case "get-config" -> "<data>" + device.configurationXml() + "</data>";
            case "lock" -> lock();
            case "unlock" -> {
                datastores.discardCandidate();
                yield NetconfMessages.OK;
            }
            case "edit-config" -> edit(operation.child("config").child("routing"));
            case "validate" -> NetconfMessages.OK;
            case "discard-changes" -> {
                datastores.resetCandidate();
                yield NetconfMessages.OK;
            }
            case "commit" -> commit(operation);
            case "create-subscription" -> {
                session.subscribe();
                yield NetconfMessages.OK;
            }
            default -> NetconfMessages.error("operation-not-supported", operation.name);
        };
    }

    private String lock() {
        if (faults.isLocked(EventLoop.nowMillis())) {
            return NetconfMessages.error("lock-denied", "held by another manager");
        }
        datastores.resetCandidate();
        return NetconfMessages.OK;
    }

    private String edit(XmlElement routing) {
        editCount++;
        editedEntries = 0;
        if (messagesToReject > 0) {
            messagesToReject--;
            editRejected();
            return NetconfMessages.error("invalid-value", "rejected by script");
        }
        if (datastores.candidate() == null) {
            datastores.resetCandidate();
        }
        DeviceConfiguration before = datastores.candidate().copy();
        for (XmlElement table : routing.childrenNamed("table")) {
            String error = editTable(table);
            if (error != null) {
                // the capability :rollback-on-error reverts the whole edit
                datastores.restoreCandidate(before);
                editRejected();
                return error;
            }
        }
        for (XmlElement route : routing.childrenNamed("product")) {
            editedEntries++;
            datastores
                    .candidate()
                    .putRoute(route.text("name"), DeviceConfiguration.ListEntry.parse(route));
        }
        return NetconfMessages.OK;
    }

    /** Edits one table of the candidate. Returns the text of an error, or null if there is none. */
    private String editTable(XmlElement table) {
        DeviceConfiguration candidate = datastores.candidate();
        int tableNumber = Integer.parseInt(table.text("number"));
        if (isRemoval(table)) {
            candidate.removeTable(tableNumber);
            editedEntries++;
            return null;
        }
        candidate.addTable(tableNumber);
        for (XmlElement entry : table.childrenNamed("line")) {
            editedEntries++;
            long endpointId = Long.parseLong(entry.text("replica"));
            if (isRemoval(entry)) {
                candidate.removeEntry(tableNumber, endpointId);
            } else if (faults.isForbidden(endpointId)) {
                return NetconfMessages.entryError(
                        "invalid-value", tableNumber, endpointId, "not this one");
            } else {
                candidate.putEntry(
                        tableNumber, endpointId, DeviceConfiguration.ListEntry.parse(entry));
            }
        }
        return null;
    }

    private static boolean isRemoval(XmlElement element) {
        return "remove".equals(element.attributes.get("operation"));
    }

    private void editRejected() {
        listener.onRejected(EDIT, editCount, controlPlaneId);
        listener.onAcknowledged(editCount, true);
    }

    private String commit(XmlElement operation) {
        String confirmedId = operation.text("persist-id");
        if (!confirmedId.isEmpty()) {
            return datastores.confirm(confirmedId)
                    ? NetconfMessages.OK
                    : NetconfMessages.error(
                            "invalid-value", "no commit of that persist-id is on trial");
        }
        if (datastores.candidate() == null) {
            return NetconfMessages.error("operation-failed", "nothing to commit");
        }
        if (operation.child("confirmed") != null) {
            commitConfirmed(operation);
        } else {
            datastores.commit();
        }
        session.applyRunning();
        listener.onApplied(EDIT, editCount, editedEntries, controlPlaneId);
        return NetconfMessages.OK;
    }

    private void commitConfirmed(XmlElement operation) {
        double timeoutMillis =
                MILLIS_PER_SECOND * Double.parseDouble(operation.text("confirm-timeout"));
        OptionalDouble breakMillis = faults.consumeBreakAfterCommit();
        if (breakMillis.isPresent()) {
            timeoutMillis = breakMillis.getAsDouble();
            datastores.clearRolledBack();
            session.breakAfterReply("fault: session broken between commit and confirmation");
        }
        datastores.commitConfirmed(
                operation.text("persist"), loop, timeoutMillis, session::applyRunning);
    }
}
