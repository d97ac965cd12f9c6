package sprucelanding.control.membership;

import java.util.ArrayDeque;
import java.util.function.Consumer;

/**
 * A queue of actions that were decided and that the host has yet to perform, oldest first. Events
 * only add to this queue. The host performs one action with each call of {@code decide}.
 *
 * @param <A> the interface through which the host performs actions
 */
final class PendingActions<A> {
    private final ArrayDeque<Consumer<A>> queue = new ArrayDeque<>();

    void add(Consumer<A> action) {
        queue.add(action);
    }

    boolean isEmpty() {
        return queue.isEmpty();
    }

    /** Performs the oldest action and returns true, or returns false if the queue is empty. */
    boolean runNext(A actions) {
        Consumer<A> action = queue.poll();
        if (action == null) {
            return false;
        }
        action.accept(actions);
        return true;
    }
}
