package sprucelanding.replay.capture;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class CaptureRotationTest {
    @TempDir private Path folder;

    @Test
    void withoutAnEarlierCaptureNothingIsMoved() throws IOException {
        CaptureWriter.rotate(folder.resolve("governor.cap"));
        try (var files = Files.list(folder)) {
            assertEquals(0, files.count());
        }
    }

    @Test
    void earlierCapturesAreKeptUnderGrowingNumbers() throws IOException {
        Path file = folder.resolve("governor.cap");
        for (String incarnation : new String[] {"first", "second", "third"}) {
            CaptureWriter.rotate(file);
            Files.writeString(file, incarnation);
        }
        CaptureWriter.rotate(file);
        assertFalse(Files.exists(file));
        assertEquals("first", Files.readString(folder.resolve("governor.cap.1")));
        assertEquals("second", Files.readString(folder.resolve("governor.cap.2")));
        assertEquals("third", Files.readString(folder.resolve("governor.cap.3")));
    }
}
