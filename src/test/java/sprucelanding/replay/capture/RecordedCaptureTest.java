package sprucelanding.replay.capture;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Semaphore;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import sprucelanding.recorded.Recorded;

/**
 * The file format of captures: every kind of event by its position in the file format, and a
 * capture with dropped events. Recordings are written with {@code -Drecorded.write=true} only and
 * never edited later: a difference is a defect of the step. Nothing is masked.
 */
@Timeout(30)
class RecordedCaptureTest {
    private static final String STATION = "zones: [\"north\", \"süd\"]\n";
    private static final int QUEUED_BLOCKS = 64;
    private static final long LARGEST_FILE = 1 << 20;
    private static final double LONGEST_BLOCK = 1000;

    /** Fields of one event of each kind, in the order of the kinds' numbers in the file. */
    private static final Object[][] FIELDS = {
        {1000.125}, // clock
        {7}, // timer rang
        {true, false}, // list begins
        {4294967295L, 1, 2, 0.75, 1.7e12, 1}, // listed
        {}, // list ends
        {}, // list failed
        {3L, 2, 0.5}, // probe answered
        {4L, 20, 3, 51.25, 0.875}, // report of tries
        {-12}, // acknowledged
        {5, 1, 300, 500.0}, // transactions that came
        {6, 1, 10.5, true}, // proxy joined
        {6}, // proxy left
        {true}, // decided
        {2, 9L, 1000.0}, // line of a table
        {2}, // table cleared
        {9L, true}, // withdrawn
        {2, 1, 0.8125, 2}, // share let in
        {2, 6, "{0, 3}"}, // products bound
        {-13}, // receipt
        {10L}, // probe sent
        {"\u0000\u0001ÿ"}, // note to peers
        {}, // list watched
        {3, 2000.5}, // timer set
        {"event=drain_status overdue=0"}, // logged
        {2001.0, 9L, "127.0.0.1:8080"}, // address
        {2001.25, 6, 500.0}, // report
        {9L, 100L, 90L, 1L, 4500.5, 8.25, 11L}, // report: replica
        {1, 77L}, // report: count
        {2002.0, 6, 1L << 40, "LINE", 3}, // message sent
        {2002.5, 6, 1L << 40, "refused: é"}, // message answered
        {2003.0, 1, Long.MAX_VALUE, 60.0, 6}, // transaction
        {2004.0, 1, Long.MIN_VALUE, 3, 1.0E-300}, // transaction ended
        {2004.5, 9L, 1, 6, 2}, // try began
        {2005.0, 6, "proxy-ä"} // name of a proxy
    };

    @TempDir private Path folder;

    @Test
    void everyKindOfEventIsWrittenAsRecorded() throws IOException {
        Path file = folder.resolve("kinds.cap");
        List<String> faults = new ArrayList<>();
        try (CaptureWriter log =
                new CaptureWriter(file, STATION, QUEUED_BLOCKS, LARGEST_FILE, faults::add)) {
            for (int kind = 0; kind < FIELDS.length; kind++) {
                log.append(100.0 * kind, EventType.values()[kind], FIELDS[kind]);
            }
        }
        assertEquals(List.of(), faults);
        assertEquals(FIELDS.length, EventType.values().length);
        Recorded.assertBytes("capture/kinds.cap", Files.readAllBytes(file));
    }

    @Test
    void theRecordedEventsAreReadInFull() throws IOException {
        Capture kept = Capture.read(Recorded.file("capture/kinds.cap"));
        assertEquals(STATION, kept.configText());
        assertNull(kept.truncation());
        List<CaptureEvent> events = new ArrayList<>();
        kept.forEachEvent(events::add);
        assertEquals(List.of(), kept.gaps());
        assertEquals(FIELDS.length, events.size());
        for (int kind = 0; kind < FIELDS.length; kind++) {
            assertEquals(List.of(FIELDS[kind]), events.get(kind).fields());
        }
        Recorded.assertText("capture/kinds.txt", rendered(kept));
    }

    @Test
    void aCaptureWithDroppedEventsIsWrittenAndReadAsRecorded() throws Exception {
        Recorded.assertBytes("capture/dropped.cap", withDroppedEvents());
        Capture kept = Capture.read(Recorded.file("capture/dropped.cap"));
        Recorded.assertText("capture/dropped.txt", rendered(kept));
        assertEquals(1, kept.gaps().size());
    }

    /** The disk accepts nothing until two blocks wait and two are lost. */
    private static byte[] withDroppedEvents() throws Exception {
        CountDownLatch disk = new CountDownLatch(1);
        Semaphore blocksWritten = new Semaphore(0);
        ByteArrayOutputStream file = new ByteArrayOutputStream();
        OutputStream slow =
                new OutputStream() {
                    @Override
                    public void write(int b) {
                        throw new AssertionError("byte by byte");
                    }

                    @Override
                    public void write(byte[] bytes) throws IOException {
                        try {
                            disk.await();
                        } catch (InterruptedException e) {
                            throw new IOException(e);
                        }
                        file.write(bytes);
                    }

                    @Override
                    public void flush() {
                        blocksWritten.release();
                    }
                };
        List<String> said = new ArrayList<>();
        try (CaptureWriter log = new CaptureWriter(slow, STATION, 2, LARGEST_FILE, said::add)) {
            for (int block = 0; block < 4; block++) {
                putBlock(log, block);
            }
            disk.countDown();
            blocksWritten.acquire(3); // the station and the two that waited
            putBlock(log, 4);
        }
        assertEquals(List.of("a capture dropped 4 events"), said);
        return file.toByteArray();
    }

    /** Two events, the second so late that the block is closed. */
    private static void putBlock(CaptureWriter log, int block) {
        double at = 10_000.0 * (block + 1);
        log.append(at, EventType.values()[0], at);
        log.append(at + LONGEST_BLOCK, EventType.values()[0], at + LONGEST_BLOCK);
    }

    /** Station, then each event: time, fields to the last bit, and the line that is shown of it. */
    private static String rendered(Capture kept) throws IOException {
        StringBuilder text = new StringBuilder(kept.configText());
        kept.forEachEvent(
                e -> {
                    if (e == null) {
                        text.append("dropped\n");
                        return;
                    }
                    text.append(e.at()).append(" [");
                    e.fields()
                            .forEach(
                                    f ->
                                            text.append(f.getClass().getSimpleName())
                                                    .append(' ')
                                                    .append(f)
                                                    .append("; "));
                    text.append("]\n").append(e.format(0)).append('\n');
                });
        kept.gaps()
                .forEach(
                        g ->
                                text.append(g.events())
                                        .append(" events dropped from ")
                                        .append(g.from())
                                        .append(" to ")
                                        .append(g.to())
                                        .append('\n'));
        return text.toString();
    }
}
