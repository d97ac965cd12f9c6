package sprucelanding.cli;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import picocli.CommandLine.Option;

/**
 * The option for a file of records that is laid over governors' configurations: its fields take the
 * place of theirs. Without it, all getters return null, as the callers of records take it.
 */
final class ConfigOverlay {
    @Option(names = "--with", description = "records laid over each governor's station")
    private Path file;

    /** Whether the option was given. */
    boolean isGiven() {
        return file != null;
    }

    /** The file; null if none was given. */
    Path file() {
        return file;
    }

    /** The name that messages have for it; null if none was given. */
    String name() {
        return file == null ? null : file.toString();
    }

    /** The file's text; null if none was given. */
    String text() throws IOException {
        return file == null ? null : Files.readString(file);
    }
}
