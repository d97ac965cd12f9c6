package sprucelanding.runtime.governor;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.ArrayBlockingQueue;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * A file with the latest endpoint list, which a restarted governor starts from. A separate thread,
 * named "keep", writes the file. The thread ends with {@link #close}.
 */
final class EndpointListFile implements Runnable {
    private static final Logger LOG = LoggerFactory.getLogger(EndpointListFile.class);

    private final Path file;
    private final ArrayBlockingQueue<String> pendingText = new ArrayBlockingQueue<>(1);
    private final Thread thread = new Thread(this, "keep");

    EndpointListFile(Path file) {
        this.file = file;
        thread.setDaemon(true);
        thread.start();
    }

    /** Queues a text for writing; replaces a text that still waits. Never blocks. */
    void store(String text) {
        while (!pendingText.offer(text)) {
            pendingText.poll();
        }
    }

    /** Returns the stored text; null if there is no file or it cannot be read. */
    String read() {
        try {
            return Files.exists(file) ? Files.readString(file) : null;
        } catch (IOException e) {
            LOG.atWarn()
                    .addKeyValue("file", file)
                    .setCause(e)
                    .log("the stored endpoint list cannot be read");
            return null;
        }
    }

    @Override
    public void run() {
        try {
            while (true) {
                String text = pendingText.take();
                try {
                    PrivateFiles.replaceAtomically(
                            file, text.getBytes(StandardCharsets.UTF_8), false);
                } catch (IOException e) {
                    LOG.atWarn()
                            .addKeyValue("file", file)
                            .setCause(e)
                            .log("the endpoint list cannot be stored");
                }
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    void close() {
        thread.interrupt();
    }
}
