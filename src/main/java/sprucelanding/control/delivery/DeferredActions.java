package sprucelanding.control.delivery;

import java.util.ArrayDeque;
import java.util.function.Consumer;

/**
 * Queue of actions that were decided while an event was handled. The host takes them one by one.
 */
final class DeferredActions {
    private final ArrayDeque<Consumer<DeliveryActions>> pendingActions = new ArrayDeque<>();

    void add(Consumer<DeliveryActions> action) {
        pendingActions.add(action);
    }

    /**
     * Runs the oldest action.
     *
     * @return false if there is none
     */
    boolean runNext(DeliveryActions actions) {
        Consumer<DeliveryActions> action = pendingActions.poll();
        if (action == null) {
            return false;
        }
        action.accept(actions);
        return true;
    }
}
