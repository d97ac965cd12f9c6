package sprucereview2;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** Writes what was sent, answered and run, one line each, with the time since the start in ms. */
final class Recorder implements AutoCloseable {
    private static final long START = System.nanoTime();
    private final PrintWriter out;

    Recorder(Path file) throws IOException {
        out = new PrintWriter(Files.newBufferedWriter(file, StandardCharsets.UTF_8), true);
    }

    /** Returns the time since the start of this program, ms. */
    static double now() {
        return (System.nanoTime() - START) / 1e6;
    }

    synchronized void line(String format, Object... values) {
        String text = values.length == 0 ? format : String.format(Locale.ROOT, format, values);
        out.println(String.format(Locale.ROOT, "%9.1f %s", now(), text));
    }

    @Override
    public synchronized void close() {
        out.close();
    }
}
