package sprucelanding.runtime.governor;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import sprucelanding.control.membership.PeerCodec;

/**
 * The keys that governors share, from a file of hexadecimal lines, 16 bytes each at least: the
 * first signs, all are accepted. So a key changes in service in three steps: the new one is added
 * as the last everywhere, then moved to the first place everywhere, then the old one is removed.
 */
public final class PeerKeys {
    private static final Logger LOG = LoggerFactory.getLogger(PeerKeys.class);
    private static final int MAX_FILE_BYTES = 64 * 1024;

    private final Path file;

    /** Replaced as a whole by the thread that reads the file; used on the core's thread. */
    private volatile PeerCodec codec;

    /** Used by the thread that reads the file alone, once this object is made. */
    private volatile long fileModifiedMillis;

    /**
     * Reads the keys.
     *
     * @throws IOException if the file cannot be used; its message has the file and line
     */
    public PeerKeys(Path file) throws IOException {
        this.file = file;
        this.codec = read();
    }

    private PeerCodec read() throws IOException {
        fileModifiedMillis = Files.getLastModifiedTime(file).toMillis();
        PrivateFiles.requirePrivate(file);
        if (Files.size(file) > MAX_FILE_BYTES) {
            throw new IOException(file + ": more than " + MAX_FILE_BYTES + " bytes");
        }
        List<byte[]> keys = new ArrayList<>();
        List<String> lines = Files.readAllLines(file);
        for (int i = 0; i < lines.size(); i++) {
            String line = lines.get(i).trim();
            if (line.isEmpty() || line.startsWith("#")) {
                continue;
            }
            try {
                keys.add(HexFormat.of().parseHex(line));
                new PeerCodec(keys);
            } catch (IllegalArgumentException e) {
                throw new IOException(
                        file
                                + ":"
                                + (i + 1)
                                + ": expected a key in hexadecimal digits, 16 bytes at least");
            }
        }
        if (keys.isEmpty()) {
            throw new IOException(file + ": no key");
        }
        return new PeerCodec(keys);
    }

    /**
     * Reads the file again if it has changed; one that cannot be used changes nothing. To be called
     * on a thread that may block.
     */
    void reloadIfChanged() {
        try {
            if (Files.getLastModifiedTime(file).toMillis() != fileModifiedMillis) {
                codec = read();
                LOG.atInfo()
                        .setMessage("the governors' keys are read anew")
                        .addKeyValue("file", file)
                        .log();
            }
        } catch (IOException e) {
            LOG.atWarn()
                    .setMessage("the governors' keys cannot be read; those before stay")
                    .addKeyValue("why", e.getMessage())
                    .log();
        }
    }

    /** The codec by the present keys; it is to be used on one thread. */
    PeerCodec codec() {
        return codec;
    }
}
