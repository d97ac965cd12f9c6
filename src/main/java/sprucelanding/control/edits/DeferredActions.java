package sprucelanding.control.edits;

import java.util.ArrayDeque;
import java.util.Map;
import java.util.function.Consumer;
import sprucelanding.control.delivery.ResourceName;
import sprucelanding.control.delivery.ResourceUpdate;

/**
 * Queue of actions that were decided while an event was handled. The front takes them one by one.
 */
final class DeferredActions {
    private final ArrayDeque<Consumer<DeviceEditSession.Actions>> pendingActions =
            new ArrayDeque<>();

    void editApplied(ResourceUpdate edit) {
        pendingActions.add(actions -> actions.editApplied(edit));
    }

    void editRejected(ResourceUpdate edit, String reason) {
        pendingActions.add(actions -> actions.editRejected(edit, reason));
    }

    void deviceStateRead(Map<ResourceName, String> versions) {
        pendingActions.add(actions -> actions.deviceStateRead(versions));
    }

    void closeSession(String reason) {
        pendingActions.add(actions -> actions.closeSession(reason));
    }

    void log(String event, Object... fields) {
        pendingActions.add(actions -> actions.log(event, fields));
    }

    /**
     * Runs the oldest action.
     *
     * @return false if there is none
     */
    boolean runNext(DeviceEditSession.Actions actions) {
        Consumer<DeviceEditSession.Actions> action = pendingActions.poll();
        if (action == null) {
            return false;
        }
        action.accept(actions);
        return true;
    }
}
