package sprucelanding.control.delivery;

import java.util.ArrayDeque;
import java.util.function.Consumer;

/** Actions decided while an event was taken in; the host pulls them one by one. */
final class DeferredActions {
    private final ArrayDeque<Consumer<DeliveryActions>> pending = new ArrayDeque<>();

    void add(Consumer<DeliveryActions> action) {
        pending.add(action);
    }

    /** Runs the oldest; false if there is none. */
    boolean runNext(DeliveryActions actions) {
        Consumer<DeliveryActions> action = pending.poll();
        if (action == null) {
            return false;
        }
        action.accept(actions);
        return true;
    }
}
