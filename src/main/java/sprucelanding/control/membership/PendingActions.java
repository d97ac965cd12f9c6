package sprucelanding.control.membership;

import java.util.ArrayDeque;
import java.util.function.Consumer;

/**
 * Actions that were decided and that the host is yet to carry out, the oldest first. Events only
 * add to this queue; the host takes one action with each call of {@code decide}.
 *
 * @param <A> what the host offers to carry out actions
 */
final class PendingActions<A> {
    private final ArrayDeque<Consumer<A>> queue = new ArrayDeque<>();

    void add(Consumer<A> action) {
        queue.add(action);
    }

    boolean isEmpty() {
        return queue.isEmpty();
    }

    /** Carries out the oldest action; false if there is none. */
    boolean runNext(A actions) {
        Consumer<A> action = queue.poll();
        if (action == null) {
            return false;
        }
        action.accept(actions);
        return true;
    }
}
