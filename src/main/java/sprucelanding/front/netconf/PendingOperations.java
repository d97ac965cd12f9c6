package sprucelanding.front.netconf;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import sprucelanding.control.edits.DeviceEditSession.Operation;
import sprucelanding.runtime.eventloop.EventLoop;

/**
 * The operations that one device was sent and hasn't answered. Only the last is awaited: replies to
 * operations that were given up are ignored. Used on the front's event loop.
 */
final class PendingOperations {
    private static final long NONE = -1;

    private final Map<Long, Operation> operationsByMessageId = new HashMap<>();
    private long lastMessageId;
    private long awaitedMessageId = NONE;

    /** Null until the first operation was sent. */
    private EventLoop.Timer replyTimer;

    /** Notes an operation as the awaited one; returns its message-id. */
    long begin(Operation operation) {
        lastMessageId++;
        awaitedMessageId = lastMessageId;
        operationsByMessageId.put(lastMessageId, operation);
        return lastMessageId;
    }

    /** Sets the timer that runs until the awaited operation counts as unanswered. */
    void setReplyTimer(EventLoop.Timer timer) {
        replyTimer = timer;
    }

    /** The awaited operation, if the reply is to it; it isn't awaited any more then. */
    Optional<Operation> complete(long messageId) {
        Operation operation = operationsByMessageId.remove(messageId);
        if (operation == null || messageId != awaitedMessageId) {
            return Optional.empty();
        }
        replyTimer.cancel();
        awaitedMessageId = NONE;
        return Optional.of(operation);
    }

    /** Gives up an operation whose time is over; false if it isn't awaited. */
    boolean expire(long messageId) {
        if (messageId != awaitedMessageId) {
            return false;
        }
        awaitedMessageId = NONE;
        return true;
    }

    /** Gives up the awaited operation: its session was lost. */
    void cancel() {
        if (replyTimer != null) {
            replyTimer.cancel();
        }
        awaitedMessageId = NONE;
    }

    /** Forgets operations of earlier sessions. */
    void clear() {
        operationsByMessageId.clear();
    }
}
