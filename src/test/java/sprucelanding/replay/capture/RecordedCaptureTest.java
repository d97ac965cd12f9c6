package sprucelanding.replay.capture;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
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
    private static final String CONFIG_TEXT = "zones: [\"north\", \"süd\"]\n";
    private static final int MAX_PENDING_BLOCKS = 64;
    private static final long MAX_FILE_BYTES = 1 << 20;
    private static final double MAX_BLOCK_AGE_MILLIS = 1000;

    /** Fields of one event of each kind, in the order of the kinds' numbers in the file. */
    private static final Object[][] FIELDS = {
        {1000.125}, // clock
        {7}, // timer fired
        {true, false}, // list started
        {4294967295L, 1, 2, 0.75, 1.7e12, 1}, // listed
        {}, // list completed
        {}, // list failed
        {3L, 2, 0.5}, // health check completed
        {4L, 20, 3, 51.25, 0.875}, // endpoint statistics
        {-12}, // acknowledgement arrived
        {5, 1, 300, 500.0}, // demand
        {6, 1, 10.5, true}, // proxy joined
        {6}, // proxy left
        {true}, // decided
        {2, 9L, 1000.0}, // weight of a table's entry
        {2}, // table cleared
        {9L, true}, // ejected
        {2, 1, 0.8125, 2}, // admitted share
        {2, 6, "{0, 3}"}, // proxy bound
        {-13}, // acknowledgement requested
        {10L}, // health check started
        {"\u0000\u0001ÿ"}, // note to peers
        {}, // list watched
        {3, 2000.5}, // timer set
        {"event=drain_status overdue=0"}, // logged
        {2001.0, 9L, "127.0.0.1:8080"}, // address
        {2001.25, 6, 500.0}, // report
        {9L, 100L, 90L, 1L, 4500.5, 8.25, 11L}, // report: endpoint
        {1, 77L}, // report: count
        {2002.0, 6, 1L << 40, "LINE", 3}, // update sent
        {2002.5, 6, 1L << 40, "refused: é"}, // update answered
        {2003.0, 1, Long.MAX_VALUE, 60.0, 6}, // request
        {2004.0, 1, Long.MIN_VALUE, 3, 1.0E-300}, // request ended
        {2004.5, 9L, 1, 6, 2}, // attempt began
        {2005.0, 6, "proxy-ä"} // name of a proxy
    };

    @TempDir private Path folder;

    @Test
    void everyKindOfEventIsWrittenAsRecorded() throws IOException {
        Path file = folder.resolve("kinds.cap");
        List<String> faults = new ArrayList<>();
        try (CaptureWriter writer =
                new CaptureWriter(
                        file, CONFIG_TEXT, MAX_PENDING_BLOCKS, MAX_FILE_BYTES, faults::add)) {
            for (int kind = 0; kind < FIELDS.length; kind++) {
                writer.append(100.0 * kind, EventType.values()[kind], FIELDS[kind]);
            }
        }
        assertEquals(List.of(), faults);
        assertEquals(FIELDS.length, EventType.values().length);
        Recorded.assertBytes("capture/kinds.cap", Files.readAllBytes(file));
    }

    @Test
    void theRecordedEventsAreReadInFull() throws IOException {
        Capture capture = Capture.read(Recorded.file("capture/kinds.cap"));
        assertEquals(CONFIG_TEXT, capture.configText());
        assertNull(capture.truncation());
        List<CaptureEvent> events = new ArrayList<>();
        capture.forEachEvent(events::add);
        assertEquals(List.of(), capture.gaps());
        assertEquals(FIELDS.length, events.size());
        for (int kind = 0; kind < FIELDS.length; kind++) {
            assertEquals(List.of(FIELDS[kind]), events.get(kind).fields());
        }
        Recorded.assertText("capture/kinds.txt", rendered(capture));
    }

    @Test
    void aCaptureWithDroppedEventsIsWrittenAndReadAsRecorded() throws Exception {
        Recorded.assertBytes("capture/dropped.cap", withDroppedEvents());
        Capture capture = Capture.read(Recorded.file("capture/dropped.cap"));
        Recorded.assertText("capture/dropped.txt", rendered(capture));
        assertEquals(1, capture.gaps().size());
    }

    /** The disk accepts nothing until two blocks wait and two are lost. */
    private static byte[] withDroppedEvents() throws Exception {
        StallingOutputStream disk = new StallingOutputStream(0);
        List<String> faults = new ArrayList<>();
        try (CaptureWriter writer =
                new CaptureWriter(disk, CONFIG_TEXT, 2, MAX_FILE_BYTES, faults::add)) {
            for (int block = 0; block < 4; block++) {
                appendBlock(writer, block);
            }
            disk.resume();
            disk.awaitFlushes(3); // the header and the two that waited
            appendBlock(writer, 4);
        }
        assertEquals(List.of("a capture dropped 4 events"), faults);
        return disk.toByteArray();
    }

    /** Two events, the second so late that the block is closed. */
    private static void appendBlock(CaptureWriter writer, int block) {
        double at = 10_000.0 * (block + 1);
        writer.append(at, EventType.values()[0], at);
        writer.append(at + MAX_BLOCK_AGE_MILLIS, EventType.values()[0], at + MAX_BLOCK_AGE_MILLIS);
    }

    /**
     * Configuration, then each event: time, fields to the last bit, and the line that is shown of
     * it.
     */
    private static String rendered(Capture capture) throws IOException {
        StringBuilder text = new StringBuilder(capture.configText());
        capture.forEachEvent(
                event -> {
                    if (event == null) {
                        text.append("dropped\n");
                        return;
                    }
                    text.append(event.at()).append(" [");
                    event.fields().forEach(field -> text.append(renderedField(field)));
                    text.append("]\n").append(event.format(0)).append('\n');
                });
        capture.gaps()
                .forEach(
                        gap ->
                                text.append(gap.events())
                                        .append(" events dropped from ")
                                        .append(gap.from())
                                        .append(" to ")
                                        .append(gap.to())
                                        .append('\n'));
        return text.toString();
    }

    private static String renderedField(Object field) {
        return field.getClass().getSimpleName() + ' ' + field + "; ";
    }
}
