package sprucelanding.front.netconf;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import sprucelanding.control.edits.DeviceEditSession.Operation;
import sprucelanding.runtime.eventloop.EventLoop;

/**
 * The operations that were sent to one device and are not answered. Only the reply to the latest
 * operation is awaited; replies to operations that were given up are ignored. Used on the front's
 * event loop.
 */
final class PendingOperations {
    private static final long NO_MESSAGE_ID = -1;

    private final Map<Long, Operation> operationsByMessageId = new HashMap<>();
    private long lastMessageId;
    private long awaitedMessageId = NO_MESSAGE_ID;

    /** Null until the first operation is sent. */
    private EventLoop.Timer replyTimer;

    /** Registers an operation as the awaited one; returns its message-id. */
    long register(Operation operation) {
        lastMessageId++;
        awaitedMessageId = lastMessageId;
        operationsByMessageId.put(lastMessageId, operation);
        return lastMessageId;
    }

    /** Sets the timer after which the awaited operation counts as unanswered. */
    void setReplyTimer(EventLoop.Timer timer) {
        replyTimer = timer;
    }

    /** Ends the wait for an operation and returns it; empty if its reply is not awaited. */
    Optional<Operation> complete(long messageId) {
        Operation operation = operationsByMessageId.remove(messageId);
        if (operation == null || messageId != awaitedMessageId) {
            return Optional.empty();
        }
        replyTimer.cancel();
        awaitedMessageId = NO_MESSAGE_ID;
        return Optional.of(operation);
    }

    /** Gives up an operation that has timed out; returns false if its reply is not awaited. */
    boolean expire(long messageId) {
        if (messageId != awaitedMessageId) {
            return false;
        }
        awaitedMessageId = NO_MESSAGE_ID;
        return true;
    }

    /** Gives up the awaited operation because its session was lost. */
    void cancel() {
        if (replyTimer != null) {
            replyTimer.cancel();
        }
        awaitedMessageId = NO_MESSAGE_ID;
    }

    /** Removes the operations of earlier sessions. */
    void clear() {
        operationsByMessageId.clear();
    }
}
