package sprucelanding.replay.capture;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.BitSet;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.CopyOnWriteArrayList;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import sprucelanding.control.core.ControllerInput;
import sprucelanding.control.core.DirectInput;
import sprucelanding.control.core.GovernorCore;
import sprucelanding.control.decision.AdmissionMode;
import sprucelanding.control.decision.ControllerOutput;
import sprucelanding.control.decision.EndpointState;
import sprucelanding.control.decision.RequestClass;
import sprucelanding.control.decision.RoutingController;

/** What captures hold, how they are read when damaged, and what is decided again from them. */
@Timeout(30)
class CaptureTest {
    private static final ControllerOutput DISCARDING_OUTPUT =
            (ControllerOutput)
                    java.lang.reflect.Proxy.newProxyInstance(
                            CaptureTest.class.getClassLoader(),
                            new Class<?>[] {ControllerOutput.class},
                            (self, method, args) -> null);

    private static ControllerInput controller(long seed) {
        RoutingController controller =
                GovernorCore.newController(
                        seed,
                        new RequestClass[] {
                            new RequestClass(0, true, 1, 800, new BitSet(), new BitSet(), false)
                        },
                        2,
                        AdmissionMode.SHARE);
        controller.configureEndpointList(true, false, 0.25, 5000);
        controller.configureChannel(10, 1, 1000, 0, 10_000);
        controller.configureReports(true, 500);
        return new DirectInput(controller);
    }

    /** Forty seconds of a small fleet: endpoints are listed, reported, fail and leave the list. */
    private static void playFortySeconds(ControllerInput controller) {
        SplittableRandom random = new SplittableRandom(5);
        controller.setTime(1000.125);
        startFleet(controller);
        for (int tick = 0; tick < 400; tick++) {
            double now = 1000 + tick * 100 + random.nextDouble();
            controller.setTime(now);
            if (tick % 5 == 0) {
                reportLoad(controller, tick, random);
            }
            if (tick == 200) {
                removeSixEndpoints(controller);
            }
            if (tick == 230) { // endpoints that left are ejected again, for these
                controller.proxyJoined(20, 0, 10, false);
                controller.proxyJoined(21, 1, 10, false);
            }
            controller.timerFired(tick % 2);
            while (controller.decide(DISCARDING_OUTPUT)) {
                continue;
            }
        }
    }

    private static void startFleet(ControllerInput controller) {
        controller.endpointListStarted(true, true);
        for (int endpointId = 1; endpointId <= 12; endpointId++) {
            controller.endpointListed(endpointId, endpointId % 2, 0, 1, 0, EndpointState.AVAILABLE);
        }
        controller.endpointListCompleted();
        for (int proxyId = 0; proxyId < 6; proxyId++) {
            controller.proxyJoined(proxyId, proxyId % 2, 10, proxyId > 3);
        }
    }

    private static void reportLoad(ControllerInput controller, int tick, SplittableRandom random) {
        for (int endpointId = 1; endpointId <= 12; endpointId++) {
            controller.endpointStatsReported(
                    endpointId,
                    20,
                    tick > 100 && endpointId == 3 ? 18 : 0,
                    50 + endpointId,
                    random.nextDouble());
        }
        controller.demandReported(tick % 6, 0, 11, 500);
    }

    private static void removeSixEndpoints(ControllerInput controller) {
        controller.endpointListStarted(false, false);
        for (int endpointId = 4; endpointId <= 9; endpointId++) {
            controller.endpointListed(endpointId, endpointId % 2, 0, 1, 0, EndpointState.GONE);
        }
        controller.endpointListCompleted();
    }

    private static byte[] captured(List<String> faults) {
        ByteArrayOutputStream file = new ByteArrayOutputStream();
        try (CaptureWriter writer =
                new CaptureWriter(file, "the station", 64, 1 << 30, faults::add)) {
            playFortySeconds(new RecordingInput(controller(1), writer::append));
        }
        return file.toByteArray();
    }

    private static List<CaptureEvent> events(Capture capture) throws IOException {
        List<CaptureEvent> events = new ArrayList<>();
        capture.forEachEvent(events::add);
        return events;
    }

    @Test
    void replayedEventsGiveTheSameOrders() throws IOException {
        Capture capture = Capture.read(captured(new ArrayList<>()));
        assertEquals("the station", capture.configText());
        assertNull(capture.truncation());
        DecisionReplay replay = new DecisionReplay(controller(1));
        capture.forEachEvent(replay::onEvent);
        assertEquals(Optional.empty(), replay.stopReason());
        assertTrue(replay.orderCount() > 100, "orders: " + replay.orderCount());
    }

    @Test
    void firstDifferingOrderIsReportedWithPrecedingEvents() throws IOException {
        Capture capture = Capture.read(captured(new ArrayList<>()));
        DecisionReplay replay = new DecisionReplay(controller(1));
        boolean[] altered = new boolean[1];
        capture.forEachEvent(
                event -> {
                    boolean alters =
                            !altered[0] && event.type() == EventType.LINE && event.at() > 5000;
                    altered[0] |= alters;
                    replay.onEvent(
                            alters
                                    ? CaptureEvent.of(
                                            EventType.LINE,
                                            event.at(),
                                            event.intAt(0),
                                            event.longAt(1),
                                            Math.nextUp(event.doubleAt(2)))
                                    : event);
                });
        assertTrue(replay.stopReason().isPresent());
        assertTrue(
                replay.stopReason().orElseThrow().contains("differs")
                        && replay.stopReason().orElseThrow().contains("before")
                        && replay.stopReason().orElseThrow().contains("then"),
                replay.stopReason().toString());
    }

    @Test
    void truncatedCaptureIsReadUpToItsLastCompleteBlock() throws IOException {
        byte[] file = captured(new ArrayList<>());
        List<CaptureEvent> allEvents = events(Capture.read(file));
        int mostEventsRead = 0;
        for (int cut = 0; cut < file.length; cut++) {
            byte[] truncated = Arrays.copyOf(file, cut);
            Capture capture;
            try {
                capture = Capture.read(truncated);
            } catch (IOException e) {
                assertEquals(0, mostEventsRead, "readable before, not any more: " + e.getMessage());
                assertTrue(e.getMessage().startsWith("offset "), e.getMessage());
                continue;
            }
            List<CaptureEvent> eventsRead = events(capture);
            assertTrue(eventsRead.size() >= mostEventsRead);
            mostEventsRead = eventsRead.size();
            assertEquals(allEvents.subList(0, mostEventsRead), eventsRead);
        }
        assertTrue(mostEventsRead > 0 && mostEventsRead < allEvents.size());
    }

    @Test
    void corruptBlockEndsTheCaptureWithOffsetAndReason() throws IOException {
        byte[] file = captured(new ArrayList<>());
        int first = 10; // past the file's header
        int second = first + 17 + ByteBuffer.wrap(file).getInt(first + 9);
        int third = second + 17 + ByteBuffer.wrap(file).getInt(second + 9);
        byte[] flipped = file.clone();
        flipped[third + 40] ^= 4;
        assertEquals(
                "offset " + third + ": the checksum of block 2 is wrong",
                Capture.read(flipped).truncation());
        byte[] missing = new byte[file.length - (third - second)];
        System.arraycopy(file, 0, missing, 0, second);
        System.arraycopy(file, third, missing, second, file.length - third);
        assertEquals(
                "offset " + second + ": block 2 where 1 was expected",
                Capture.read(missing).truncation());
    }

    @Test
    void otherFilesAndNewerVersionsAreRejected() {
        assertEquals(
                "offset 0: this is no capture",
                assertThrows(
                                IOException.class,
                                () -> Capture.read("{\"a\": 1, \"b\": 2}".getBytes()))
                        .getMessage());
        byte[] newer = captured(new ArrayList<>());
        newer[9] = 9;
        assertEquals(
                "offset 8: a capture of version 9, this program reads 1",
                assertThrows(IOException.class, () -> Capture.read(newer)).getMessage());
    }

    @Test
    void slowDiskDropsWholeBlocksAndNeverDelaysAnOrder() throws Exception {
        StallingOutputStream disk = new StallingOutputStream(4);
        List<String> faults = new CopyOnWriteArrayList<>();
        CaptureWriter writer = new CaptureWriter(disk, "x", 4, 1 << 30, faults::add);
        RecordingInput recorder = new RecordingInput(controller(1), writer::append);
        playFortySeconds(recorder); // it would never end if append waited
        disk.resume();
        for (int n = 0; faults.isEmpty(); n++) {
            recorder.setTime(50_000 + n * 1001);
            Thread.sleep(1);
        }
        writer.close();
        Capture capture = Capture.read(disk.toByteArray());
        DecisionReplay replay = new DecisionReplay(controller(1));
        capture.forEachEvent(replay::onEvent);
        assertEquals(1, capture.gaps().size());
        assertTrue(
                faults.get(0).contains(" " + capture.gaps().get(0).events() + " events"),
                faults.get(0));
        assertTrue(capture.gaps().get(0).from() < capture.gaps().get(0).to());
        assertTrue(
                replay.stopReason().orElseThrow().contains("dropped"),
                replay.stopReason().toString());
    }

    @Test
    void captureStopsAtItsSizeLimit() throws Exception {
        ByteArrayOutputStream file = new ByteArrayOutputStream();
        List<String> faults = new CopyOnWriteArrayList<>();
        try (CaptureWriter writer = new CaptureWriter(file, "x", 64, 2000, faults::add)) {
            playFortySeconds(new RecordingInput(controller(1), writer::append));
        }
        assertTrue(faults.get(0).startsWith("a capture ends: it has "), faults.get(0));
        assertNull(Capture.read(file.toByteArray()).truncation());
    }
}
