package sprucelanding.runtime.server;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Faulty clients and lists have no effect after they have ended. */
class GovernorServerRecoveryTest {
    @TempDir Path folder;

    /** Guards against a memory budget that endless messages use up for good. */
    @Test
    void longMessageIsReadAfterEndlessMessagesWereRefused() throws IOException {
        try (ServerHarness harness = new ServerHarness(folder)) {
            for (int round = 0; round < 3; round++) {
                for (int proxy = 0; proxy < 8; proxy++) {
                    ServerHarness.sendEndlessMessage(harness.joinedStream(proxy));
                }
            }
            ServerHarness.Peer healthy = harness.joinedStream(59);
            healthy.send("{\"msg\":\"ping\",\"pad\":\"" + "x".repeat(4000) + "\"}\n");
            assertNotNull(healthy.readUntil("pong"));
        }
    }

    /** Guards against a list that is lost because a good list follows in the same packet. */
    @Test
    void wholeListIsRequestedIfAGoodListFollowsAMalformedOne()
            throws IOException, InterruptedException {
        try (ServerHarness harness = new ServerHarness(folder)) {
            ServerHarness.Peer watch = harness.nextWatch("index=41");
            String malformed =
                    ServerHarness.list(
                            42,
                            false,
                            ServerHarness.entry("s-2", "draining"),
                            ServerHarness.entry("s-3", "nowhere"));
            String good = ServerHarness.list(43, false, ServerHarness.entry("s-1", "draining"));
            watch.send(ServerHarness.chunk(malformed + "\n" + good));
            harness.nextWatch("/v1/endpoints?stream=1 ");
        }
    }

    /** Guards against a failing accept step when the connection to evict has been reset. */
    @Test
    void connectionThatWasResetCanBeEvicted() throws Exception {
        try (ServerHarness harness = new ServerHarness(folder, 60)) {
            for (int round = 0; round < 10; round++) {
                List<ServerHarness.Peer> reset = new ArrayList<>();
                for (int i = 0; i < 20; i++) {
                    reset.add(harness.connect());
                }
                harness.joinedStream(7); // all earlier connections are accepted
                CountDownLatch isReset = new CountDownLatch(1);
                harness.loop.tryExecute(() -> awaitLatch(isReset));
                for (ServerHarness.Peer peer : reset) {
                    peer.socket.setSoLinger(true, 0);
                    peer.close();
                }
                for (int i = 0; i < 20; i++) {
                    harness.connect();
                }
                isReset.countDown();
                harness.joinedStream(8);
            }
            assertFalse(harness.hasLogged("a step failed"));
        }
    }

    private static void awaitLatch(CountDownLatch latch) {
        try {
            latch.await();
        } catch (InterruptedException e) {
            throw new AssertionError(e);
        }
    }
}
