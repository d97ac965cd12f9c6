package sprucelanding.control.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import sprucelanding.control.decision.ChannelBudget.Purpose;

/**
 * The channel drains 3 entries per ms and may queue 5000 entries. The overhead of a message is 6
 * entries, and its acknowledgement request costs one entry.
 */
class ChannelBudgetTest {
    private final EventTime time = new EventTime();
    private final ChannelBudget channel = new ChannelBudget(time);
    private final Proxy smallMessageProxy = new Proxy(1, 0, true, 0, 10, 1);
    private final Proxy largeMessageProxy = new Proxy(2, 0, true, 0, 10, 1);
    private int acknowledgement;

    private void bookBatch() {
        channel.configure(3, 6, 5000, 0, 10_000);
        time.advanceTo(1000);
        assertTrue(
                channel.book(
                        List.of(smallMessageProxy), 3, ChannelPriority.MANDATORY, Purpose.WEIGHT));
        assertTrue(
                channel.book(
                        List.of(largeMessageProxy), 2983, ChannelPriority.MANDATORY, Purpose.BIND));
        assertEquals(3000, channel.queue().entries());
        acknowledgement = channel.queue().closeBatch(2);
        time.advanceTo(1200);
    }

    @Test
    void acknowledgementOfASmallMessageDoesNotCoverALargeMessage() {
        bookBatch();
        channel.queue().acknowledged(smallMessageProxy.id, acknowledgement);
        assertEquals(2990, channel.queue().entries());
        assertFalse(
                channel.book(
                        List.of(smallMessageProxy),
                        2100,
                        ChannelPriority.MANDATORY,
                        Purpose.REMOVAL));
        channel.queue().acknowledged(largeMessageProxy.id, acknowledgement);
        assertEquals(0, channel.queue().entries());
    }

    @Test
    void acknowledgementOfAnUnknownProxyCoversAShareOfTheBatch() {
        bookBatch();
        channel.queue().acknowledged(acknowledgement);
        assertEquals(1500, channel.queue().entries());
    }

    @Test
    void acknowledgementOfALaterBatchCoversEarlierBatches() {
        bookBatch();
        assertTrue(
                channel.book(
                        List.of(smallMessageProxy), 3, ChannelPriority.MANDATORY, Purpose.WEIGHT));
        int later = channel.queue().closeBatch(1);
        time.advanceTo(1400);
        channel.queue().acknowledged(smallMessageProxy.id, later);
        assertEquals(0, channel.queue().entries());
    }

    /** Guards against a proxy at its limit that delays the removals at all others. */
    @Test
    void removalIsHeldForTheProxyAtItsLimitOnly() {
        channel.configure(3, 6, 5000, 2, 10_000);
        channel.removals().configure(300, 6000);
        channel.held().enable();
        channel.measureRate(2);
        time.advanceTo(100_000);
        for (int i = 0; i < 2; i++) {
            smallMessageProxy.messageSent(time.now() - 1000 + i);
        }
        List<Proxy> users = List.of(smallMessageProxy, largeMessageProxy);
        assertTrue(channel.bookRemoval(users, time.now(), 1, Purpose.REMOVAL));
        assertTrue(largeMessageProxy.hasMessageAt(time.now()));
        assertTrue(channel.held().contains(smallMessageProxy));
        channel.bookHeldUpdates();
        assertTrue(channel.held().contains(smallMessageProxy));
        time.advanceTo(time.now() + 9_500);
        channel.bookHeldUpdates();
        assertTrue(smallMessageProxy.hasMessageAt(time.now()));
        assertFalse(channel.held().contains(smallMessageProxy));
    }
}
