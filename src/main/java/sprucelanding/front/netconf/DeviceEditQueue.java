package sprucelanding.front.netconf;

import java.util.HashMap;
import java.util.Map;
import sprucelanding.control.delivery.ResourceName;
import sprucelanding.control.delivery.ResourceUpdate;
import sprucelanding.control.edits.EditScheduler;
import sprucelanding.runtime.eventloop.EventLoop;

/**
 * A queue of edits that wait until the scheduler admits their device. Used on the front's event
 * loop, except for {@link #priorityOf}.
 */
final class DeviceEditQueue {
    private final EventLoop loop;
    private final EditScheduler scheduler;
    private final Map<Integer, ResourceUpdate> pendingEditsByProxyId = new HashMap<>();

    DeviceEditQueue(EventLoop loop, EditScheduler scheduler) {
        this.loop = loop;
        this.scheduler = scheduler;
    }

    /**
     * Returns the priority of an edit. Called on the core's thread, because no other thread may
     * read the stream's state.
     */
    static EditScheduler.Priority priorityOf(ResourceUpdate edit) {
        if (edit.hasRemovals()) {
            return EditScheduler.Priority.REMOVAL;
        }
        return edit.stream.hasAcknowledged(ResourceName.ROUTE)
                ? EditScheduler.Priority.ORDINARY
                : EditScheduler.Priority.INITIAL;
    }

    /** Adds an edit; an edit of the same device that has not started is replaced. */
    void add(ResourceUpdate edit, EditScheduler.Priority priority) {
        int proxyId = deviceOf(edit).proxyId();
        pendingEditsByProxyId.put(proxyId, edit);
        scheduler.setTime(EventLoop.nowMillis());
        scheduler.request(proxyId, priority);
        startAdmittedEdits();
    }

    /** Releases a device whose edit has ended, successfully or not, and admits other devices. */
    void editEnded(int proxyId) {
        scheduler.setTime(EventLoop.nowMillis());
        pendingEditsByProxyId.remove(proxyId);
        scheduler.release(proxyId);
        startAdmittedEdits();
    }

    private void startAdmittedEdits() {
        while (scheduler.decide(this::startEdit)) {
            continue;
        }
    }

    private void startEdit(int proxyId) {
        ResourceUpdate edit = pendingEditsByProxyId.remove(proxyId);
        if (edit == null || !deviceOf(edit).submitEdit(edit)) {
            loop.schedule(0, () -> editEnded(proxyId));
        }
    }

    private static Device deviceOf(ResourceUpdate edit) {
        return (Device) edit.stream.transport;
    }
}
