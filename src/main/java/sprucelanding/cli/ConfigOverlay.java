package sprucelanding.cli;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import picocli.CommandLine.Option;

/** The option of records that are laid over a station. */
final class ConfigOverlay {
    @Option(names = "--with", description = "records laid over each governor's station")
    private Path file;

    boolean isGiven() {
        return file != null;
    }

    /** Null if none was given. */
    Path file() {
        return file;
    }

    /** What faults in it are told by; null if none was given. */
    String name() {
        return file == null ? null : file.toString();
    }

    /** Null if none was given. */
    String text() throws IOException {
        return file == null ? null : Files.readString(file);
    }
}
