package sprucelanding.runtime.governor;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;

/**
 * One number in a file: what the epochs of this governor's next life must begin above. It is
 * written ahead of what was heard, so rarely, and renamed into place. Guards against a wall clock
 * that was set back while governors restart.
 */
public final class GenerationFile {
    private static final long WRITE_AHEAD = 100_000;
    private final Path file;
    private final long generation;
    private long storedEpoch;

    /**
     * Throws IOException if the file cannot be read or written: then epochs might go back. Null:
     * none is kept.
     */
    public GenerationFile(Path file, long wallClockMillis) throws IOException {
        this.file = file;
        if (file == null) {
            generation = wallClockMillis;
            return;
        }
        long storedBefore = 0;
        if (Files.exists(file)) {
            try {
                storedBefore = Long.parseLong(Files.readString(file).trim());
            } catch (NumberFormatException e) {
                throw new IOException(
                        file + ": expected one number; it tells what epochs must begin above");
            }
        }
        generation = Math.max(wallClockMillis, storedBefore + 1);
        write(generation);
    }

    /** This life: ms since 1970 at its begin, or more if it was so late before. */
    public long generation() {
        return generation;
    }

    /** The highest epoch heard of; on a thread that may wait. */
    void recordEpoch(long highestEpoch) throws IOException {
        if (file != null && highestEpoch > storedEpoch - WRITE_AHEAD / 2) {
            write(highestEpoch);
        }
    }

    private void write(long highestEpoch) throws IOException {
        PrivateFiles.replaceAtomically(
                file,
                ((highestEpoch + WRITE_AHEAD) + "\n").getBytes(StandardCharsets.US_ASCII),
                true);
        storedEpoch = highestEpoch + WRITE_AHEAD;
    }
}
