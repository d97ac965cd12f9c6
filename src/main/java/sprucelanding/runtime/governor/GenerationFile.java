package sprucelanding.runtime.governor;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;

/**
 * Keeps one number in a file: what the generation of this governor's next start must be above, for
 * epochs begin above the generation. It is written ahead of the highest epoch heard of, so that it
 * is written rarely, and renamed into place. Guards against a wall clock that was set back while
 * governors restart. Not safe for use by several threads; the governor uses it on one at a time.
 */
public final class GenerationFile {
    private static final long WRITE_AHEAD = 100_000;
    private final Path file;
    private final long generation;
    private long storedEpoch;

    /**
     * Begins a generation.
     *
     * @param file null if none is kept
     * @param wallClockMillis ms since 1970
     * @throws IOException if the file cannot be read or written, for then epochs might go back
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

    /** This generation: ms since 1970 at its begin, or above the stored number if that is later. */
    public long generation() {
        return generation;
    }

    /** Stores the highest epoch heard of; to be called on a thread that may block. */
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
