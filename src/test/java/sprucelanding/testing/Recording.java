package sprucelanding.testing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;

/**
 * A transcript that is compared, line by line, with the one recorded under
 * src/test/resources/recorded. With -Drecorded.write=true it is written instead of compared.
 *
 * <p>Recordings are never edited later: a difference is a defect of the step that caused it. They
 * hold no names of Java classes, so that they outlive any renaming.
 */
public final class Recording {
    private static final boolean RECORDING_ENABLED = Boolean.getBoolean("recorded.write");
    private static final Path FOLDER = Path.of("src", "test", "resources", "recorded");
    private final Path file;
    private final List<String> lines = new ArrayList<>();

    /**
     * @param name name of the file in the folder of recordings, without its ending
     */
    public Recording(String name) {
        file = FOLDER.resolve(name + ".txt");
    }

    /** Adds a line; line ends within it are kept visible. */
    public void add(String line) {
        lines.add(visible(line));
    }

    /** Adds a text as it is, line by line. */
    public void addLines(String text) {
        text.lines().forEach(lines::add);
    }

    /** Adds bytes in hexadecimal digits. */
    public void add(String title, byte[] bytes) {
        lines.add(title + " " + HexFormat.of().formatHex(bytes));
    }

    /** Returns the recorded bytes of each line with a title. */
    public List<byte[]> recorded(String title) {
        return read().stream()
                .filter(line -> line.startsWith(title + " "))
                .map(line -> HexFormat.of().parseHex(line.substring(title.length() + 1)))
                .toList();
    }

    /** Writes the recording if it is to be written, and fails on any difference from it. */
    public void check() {
        if (RECORDING_ENABLED) {
            write();
        }
        List<String> recorded = read();
        for (int i = 0; i < Math.min(recorded.size(), lines.size()); i++) {
            assertEquals(recorded.get(i), lines.get(i), file + ", line " + (i + 1));
        }
        assertEquals(recorded.size(), lines.size(), "lines of " + file);
        assertTrue(!lines.isEmpty(), "nothing was recorded in " + file);
    }

    private static String visible(String line) {
        return line.replace("\\", "\\\\").replace("\r", "\\r").replace("\n", "\\n");
    }

    private void write() {
        try {
            Files.createDirectories(FOLDER);
            Files.write(file, lines, StandardCharsets.UTF_8);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private List<String> read() {
        try {
            return Files.readAllLines(file, StandardCharsets.UTF_8);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
