package sprucelanding.runtime.server;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.eclipsesource.json.Json;
import java.util.BitSet;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import sprucelanding.control.decision.AdmissionMode;
import sprucelanding.control.decision.EndpointState;
import sprucelanding.control.decision.RequestClass;
import sprucelanding.control.decision.RoutingController;
import sprucelanding.control.settings.MalformedInputException;

class EndpointDirectoryTest {
    private final RoutingController controller =
            new RoutingController(
                    new SplittableRandom(1),
                    new RequestClass[] {
                        new RequestClass(0, true, 1, 800, new BitSet(), new BitSet(), false)
                    },
                    1,
                    AdmissionMode.SHARE);
    private final EndpointDirectory directory = new EndpointDirectory(List.of("a"), List.of("m1"));

    private boolean applyList(double nowMillis, String list) {
        return directory.applyList(
                Json.parse(list).asObject(), ListOrigin.DISCOVERY, nowMillis, controller);
    }

    @Test
    void malformedEntryDoesNotAffectOthers() {
        assertTrue(
                applyList(
                        0,
                        ServerHarness.list(
                                1,
                                true,
                                ServerHarness.entry("s-1", "ready"),
                                ServerHarness.entry("s-2", "ready"))));
        for (String malformed :
                List.of(
                        "7",
                        "{}",
                        ServerHarness.entry("s-1", "asleep"),
                        ServerHarness.entry("", "ready"),
                        ServerHarness.entry("s-1", "ready").replace("127.0.0.1:9", "nowhere"),
                        ServerHarness.entry("s-1", "ready").replace("\"a\"", "\"z\""),
                        ServerHarness.entry("s-1", "ready")
                                .replace("\"boot_ms\":0", "\"boot_ms\":-1"))) {
            assertFalse(
                    applyList(
                            0,
                            ServerHarness.list(
                                    2, true, ServerHarness.entry("s-3", "ready"), malformed)),
                    malformed);
            assertEquals(EndpointState.AVAILABLE, directory.find("s-1").state(), malformed);
            assertEquals(EndpointState.AVAILABLE, directory.find("s-2").state(), malformed);
            assertNotNull(directory.find("s-3"));
            assertEquals(
                    1,
                    directory.revision(),
                    "the revision must be that of the last list applied in full");
        }
        assertThrows(MalformedInputException.class, () -> applyList(0, "{\"rev\":3,\"all\":true}"));
        assertThrows(
                MalformedInputException.class,
                () -> applyList(0, "{\"rev\":3.5,\"all\":true,\"targets\":[]}"));
    }

    private static String startedEntry(String uid, long bootMillis) {
        return ServerHarness.entry(uid, "ready")
                .replace("\"boot_ms\":0", "\"boot_ms\":" + bootMillis);
    }

    @Test
    void clockErrorIsDetectedByTheNextStartAndCorrectsAllStartTimes() {
        for (long offsetMillis : new long[] {3_600_000, -3_600_000}) {
            EndpointDirectory shifted = new EndpointDirectory(List.of("a"), List.of("m1"));
            long wallMillis = 1_796_000_000_000L;
            double nowMillis = wallMillis + offsetMillis;
            String known =
                    ServerHarness.list(
                            1,
                            true,
                            startedEntry("s-1", wallMillis - 10_000),
                            ServerHarness.entry("s-2", "ready"));
            apply(shifted, known, ListOrigin.LAST_RUN, nowMillis);
            String first = ServerHarness.list(2, false, startedEntry("s-3", wallMillis - 5_000));
            apply(shifted, first, ListOrigin.DISCOVERY, nowMillis);
            String next = ServerHarness.list(3, false, startedEntry("s-4", wallMillis + 1_000));
            apply(shifted, next, ListOrigin.DISCOVERY, nowMillis + 2_000);
            String message = "clock offset " + offsetMillis + " ms";
            double s4Age = nowMillis + 2_000 - shifted.find("s-4").startedAtMillis();
            assertEquals(1_000, s4Age, 1_500, message);
            double s1Age = nowMillis + 2_000 - shifted.find("s-1").startedAtMillis();
            assertEquals(12_000, s1Age, 2_500, message);
            assertEquals(
                    0,
                    shifted.find("s-2").startedAtMillis(),
                    "a start that is long past has no time");
        }
    }

    private void apply(EndpointDirectory target, String list, ListOrigin origin, double nowMillis) {
        target.applyList(Json.parse(list).asObject(), origin, nowMillis, controller);
    }

    @Test
    void goneEndpointsAreRemovedOnlyAfterTheRetentionTime() {
        applyList(
                0,
                ServerHarness.list(
                        1,
                        true,
                        ServerHarness.entry("s-1", "ready"),
                        ServerHarness.entry("s-2", "ready"),
                        ServerHarness.entry("s-3", "ready")));
        long id = directory.find("s-1").id();
        applyList(1000, ServerHarness.list(2, false, ServerHarness.entry("s-1", "gone")));
        applyList(100_000, ServerHarness.list(3, true, ServerHarness.entry("s-2", "draining")));
        assertFalse(directory.removeGone(180_000, endpointId -> false));
        assertTrue(directory.removeGone(182_000, endpointId -> false));
        assertNull(directory.find("s-1"));
        assertNull(directory.find(id));
        assertNotNull(directory.find("s-2"));
        assertNotNull(directory.find("s-3"));
        applyList(200_000, ServerHarness.list(4, true, ServerHarness.entry("s-2", "ready")));
        assertTrue(
                directory.removeGone(290_000, endpointId -> false),
                "the retention time must begin when the endpoint is first absent from a full list");
        assertNull(directory.find("s-3"));
    }

    @Test
    void endpointIsKeptWhileATableHoldsIt() {
        assertTrue(
                applyList(
                        0,
                        ServerHarness.list(
                                1,
                                true,
                                ServerHarness.entry("s-1", "ready"),
                                ServerHarness.entry("s-2", "ready"))));
        assertTrue(
                applyList(1000, ServerHarness.list(2, false, ServerHarness.entry("s-1", "gone"))));
        long heldId = directory.find("s-1").id();
        assertFalse(
                directory.removeGone(900_000, id -> id == heldId),
                "the update that removes the endpoint from the table needs its name");
        assertNotNull(directory.find("s-1"));
        assertTrue(directory.removeGone(900_000, id -> false));
    }

    /** Guards against an agent that is behind and puts endpoints that left back into the tables. */
    @Test
    void olderListDoesNotUndoTheEndOfAnEndpoint() {
        String ready = ServerHarness.entry("s-1", "ready");
        applyList(0, ServerHarness.list(41, true, ready, ServerHarness.entry("s-2", "ready")));
        applyList(1000, ServerHarness.list(42, false, ServerHarness.entry("s-1", "draining")));
        applyList(1600, ServerHarness.list(41, true, ready, ServerHarness.entry("s-2", "ready")));
        assertEquals(EndpointState.DRAINING, directory.find("s-1").state());
        assertEquals(EndpointState.AVAILABLE, directory.find("s-2").state());
        assertEquals(1, directory.withheldCount());
        applyList(3800, ServerHarness.list(42, false, ServerHarness.entry("s-1", "draining")));
        assertEquals(0, directory.withheldCount());
        applyList(6300, ServerHarness.list(43, false, ServerHarness.entry("s-1", "gone")));
        applyList(6400, ServerHarness.list(42, false, ServerHarness.entry("s-1", "draining")));
        assertEquals(EndpointState.GONE, directory.find("s-1").state());
    }

    /** Guards against a first list that is behind the list of the last run. */
    @Test
    void olderListDoesNotUndoWhatTheLastRunKnew() {
        directory.applyList(
                Json.parse(ServerHarness.list(42, true, ServerHarness.entry("s-1", "draining")))
                        .asObject(),
                ListOrigin.LAST_RUN,
                0,
                controller);
        applyList(100, ServerHarness.list(41, true, ServerHarness.entry("s-1", "ready")));
        assertEquals(EndpointState.DRAINING, directory.find("s-1").state());
    }

    /** Guards against endpoints that stay out because revisions are lower than earlier ones. */
    @Test
    void newProcessAndLaterRevisionReturnToService() {
        applyList(0, ServerHarness.list(41, true, startedEntry("s-1", 5), startedEntry("s-2", 5)));
        applyList(1000, ServerHarness.list(42, true));
        applyList(2000, ServerHarness.list(7, false, startedEntry("s-1", 6)));
        applyList(3000, ServerHarness.list(43, false, startedEntry("s-2", 5)));
        assertEquals(EndpointState.AVAILABLE, directory.find("s-1").state());
        assertEquals(EndpointState.AVAILABLE, directory.find("s-2").state());
    }

    /** Guards against a governor without a list after discovery has begun anew. */
    @Test
    void listOfADiscoveryThatBeganAnewIsAppliedInTheEnd() {
        applyList(0, ServerHarness.list(41, true, ServerHarness.entry("s-1", "ready")));
        applyList(1000, ServerHarness.list(42, false, ServerHarness.entry("s-1", "gone")));
        String anew =
                ServerHarness.list(
                        1,
                        true,
                        ServerHarness.entry("s-1", "ready"),
                        ServerHarness.entry("s-3", "ready"));
        applyList(2000, anew);
        assertEquals(EndpointState.GONE, directory.find("s-1").state());
        assertEquals(EndpointState.AVAILABLE, directory.find("s-3").state());
        applyList(2000 + EndpointDirectory.MAX_DISCOVERY_LAG_MILLIS, anew);
        assertEquals(EndpointState.AVAILABLE, directory.find("s-1").state());
        applyList(30_000, ServerHarness.list(2, false, ServerHarness.entry("s-1", "gone")));
        assertEquals(EndpointState.GONE, directory.find("s-1").state());
    }
}
