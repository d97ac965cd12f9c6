package sprucelanding.runtime.governor;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;

/**
 * A file with one number that the generation of this governor's next start must exceed. Epochs
 * begin above the generation. The number is ahead of the highest known epoch, so that the file is
 * written rarely. A new file is renamed into place. The file guards against a wall clock that is
 * set back while governors restart. Not safe for use by several threads; the governor uses the file
 * on one thread at a time.
 */
public final class GenerationFile {
    /** How far the stored number is ahead of the highest known epoch. */
    private static final long WRITE_AHEAD_EPOCHS = 100_000;

    private final Path file;
    private final long generation;
    private long storedEpoch;

    /**
     * Starts a generation, and stores it if there is a file.
     *
     * @param file null if the number is not stored
     * @param wallClockMillis ms since 1970
     * @throws IOException if the file cannot be read or written, because epochs might then decrease
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
                        file + ": expected one number, which all later epochs must exceed");
            }
        }
        generation = Math.max(wallClockMillis, storedBefore + 1);
        write(generation);
    }

    /**
     * Returns this generation: the time of its start in ms since 1970, or one more than the stored
     * number if that is greater.
     */
    public long generation() {
        return generation;
    }

    /** Stores the highest known epoch. Called on a thread that may block. */
    void recordEpoch(long highestEpoch) throws IOException {
        if (file != null && highestEpoch > storedEpoch - WRITE_AHEAD_EPOCHS / 2) {
            write(highestEpoch);
        }
    }

    private void write(long highestEpoch) throws IOException {
        PrivateFiles.replaceAtomically(
                file,
                ((highestEpoch + WRITE_AHEAD_EPOCHS) + "\n").getBytes(StandardCharsets.US_ASCII),
                true);
        storedEpoch = highestEpoch + WRITE_AHEAD_EPOCHS;
    }
}
