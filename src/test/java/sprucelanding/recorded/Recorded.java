package sprucelanding.recorded;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.PosixFilePermissions;
import java.util.concurrent.Callable;

/**
 * Recorded files and the comparison with them.
 *
 * <p>The files below {@code src/test/resources/recorded/stored} were written before the code was
 * renamed and restructured. They are never edited later: a difference is a defect of the step that
 * caused it. A test writes its recordings only when it is run with {@code -Drecorded.write=true};
 * by default it compares and fails on any difference.
 */
public final class Recorded {
    private static final Path FOLDER = Path.of("src", "test", "resources", "recorded", "stored");
    private static final boolean RECORDING_ENABLED = Boolean.getBoolean("recorded.write");

    private Recorded() {}

    /** Returns a recorded file, by its name relative to the folder of recordings. */
    public static Path file(String name) {
        return FOLDER.resolve(name);
    }

    /**
     * Copies a recorded file so that only its owner may use it, as files with secrets have to be.
     */
    public static Path privateCopy(String name, Path folder) throws IOException {
        Path copy = folder.resolve(file(name).getFileName());
        Files.copy(file(name), copy);
        return Files.setPosixFilePermissions(copy, PosixFilePermissions.fromString("rw-------"));
    }

    /** Fails unless the bytes are the recorded ones, or records them. */
    public static void assertBytes(String name, byte[] actual) throws IOException {
        write(name, actual);
        assertArrayEquals(Files.readAllBytes(file(name)), actual, name);
    }

    /** Fails unless the text is the recorded one, or records it. */
    public static void assertText(String name, String actual) throws IOException {
        write(name, actual.getBytes(StandardCharsets.UTF_8));
        assertEquals(Files.readString(file(name)), actual, name);
    }

    /** Returns what an action prints to standard output, and its result in a last line. */
    public static String printed(Callable<Integer> action) throws Exception {
        PrintStream before = System.out;
        ByteArrayOutputStream printed = new ByteArrayOutputStream();
        int result;
        System.setOut(new PrintStream(printed, true, StandardCharsets.UTF_8));
        try {
            result = action.call();
        } finally {
            System.setOut(before);
        }
        return printed.toString(StandardCharsets.UTF_8) + "exit code " + result + "\n";
    }

    /** Returns whether this run records instead of comparing. */
    public static boolean isRecording() {
        return RECORDING_ENABLED;
    }

    private static void write(String name, byte[] content) throws IOException {
        if (RECORDING_ENABLED) {
            Files.createDirectories(file(name).getParent());
            Files.write(file(name), content);
        }
    }
}
