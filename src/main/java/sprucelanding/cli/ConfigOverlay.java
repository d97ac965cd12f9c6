package sprucelanding.cli;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import picocli.CommandLine.Option;

/**
 * Option for an overlay, a file of records whose fields replace those of the governor
 * configurations. The getters return null if the option is not given, which the readers of records
 * accept.
 */
final class ConfigOverlay {
    @Option(names = "--with", description = "overlay of records for each governor configuration")
    private Path file;

    /** Returns whether the option was given. */
    boolean isGiven() {
        return file != null;
    }

    /** Returns the overlay file, or null if none was given. */
    Path file() {
        return file;
    }

    /** Returns the name of the overlay in messages, or null if none was given. */
    String name() {
        return file == null ? null : file.toString();
    }

    /** Returns the text of the overlay, or null if none was given. */
    String text() throws IOException {
        return file == null ? null : Files.readString(file);
    }
}
