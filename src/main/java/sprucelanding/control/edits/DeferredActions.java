package sprucelanding.control.edits;

import java.util.ArrayDeque;
import java.util.Map;
import java.util.function.Consumer;
import sprucelanding.control.delivery.ResourceName;
import sprucelanding.control.delivery.ResourceUpdate;

/** Actions decided while an event was taken in; the front pulls them one by one. */
final class DeferredActions {
    private final ArrayDeque<Consumer<DeviceEditSession.Actions>> pending = new ArrayDeque<>();

    void editApplied(ResourceUpdate edit) {
        pending.add(actions -> actions.editApplied(edit));
    }

    void editRejected(ResourceUpdate edit, String reason) {
        pending.add(actions -> actions.editRejected(edit, reason));
    }

    void deviceStateRead(Map<ResourceName, String> versions) {
        pending.add(actions -> actions.deviceStateRead(versions));
    }

    void closeSession(String reason) {
        pending.add(actions -> actions.closeSession(reason));
    }

    void log(String event, Object... fields) {
        pending.add(actions -> actions.log(event, fields));
    }

    /** Runs the oldest; false if there is none. */
    boolean runNext(DeviceEditSession.Actions actions) {
        Consumer<DeviceEditSession.Actions> action = pending.poll();
        if (action == null) {
            return false;
        }
        action.accept(actions);
        return true;
    }
}
