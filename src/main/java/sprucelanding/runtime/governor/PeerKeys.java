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
 * The keys that all governors share, read from a file. Each line of the file has one key of at
 * least 16 bytes in hexadecimal digits. The first key signs, and signatures of all keys are
 * accepted. A key is therefore replaced without a restart in three steps: the new key is added as
 * the last line at every governor, then moved to the first line at every governor, then the old key
 * is removed.
 */
public final class PeerKeys {
    private static final Logger LOG = LoggerFactory.getLogger(PeerKeys.class);
    private static final int MAX_FILE_BYTES = 64 * 1024;

    private final Path file;

    /** Replaced by the thread that reads the file; used on the core's thread. */
    private volatile PeerCodec codec;

    /** Used only by the thread that reads the file, once this object is constructed. */
    private volatile long fileModifiedMillis;

    /**
     * Reads the keys.
     *
     * @throws IOException if the file cannot be used; the message names the file and the line
     */
    public PeerKeys(Path file) throws IOException {
        this.file = file;
        this.codec = read();
    }

    private PeerCodec read() throws IOException {
        fileModifiedMillis = Files.getLastModifiedTime(file).toMillis();
        PrivateFiles.requirePrivate(file);
        if (Files.size(file) > MAX_FILE_BYTES) {
            throw new IOException(file + ": expected at most " + MAX_FILE_BYTES + " bytes");
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
                                + ": expected a key of at least 16 bytes in hexadecimal digits");
            }
        }
        if (keys.isEmpty()) {
            throw new IOException(file + ": expected at least one key, found none");
        }
        return new PeerCodec(keys);
    }

    /**
     * Reads the file again if it has changed. The previous keys stay in use if the new file cannot
     * be used. Called on a thread that may block.
     */
    void reloadIfChanged() {
        try {
            if (Files.getLastModifiedTime(file).toMillis() != fileModifiedMillis) {
                codec = read();
                LOG.atInfo()
                        .setMessage("the governors' keys were reloaded")
                        .addKeyValue("file", file)
                        .log();
            }
        } catch (IOException e) {
            LOG.atWarn()
                    .setMessage("the governors' keys cannot be reloaded; the old keys stay in use")
                    .addKeyValue("why", e.getMessage())
                    .log();
        }
    }

    /** Returns the codec for the current keys. A codec must be used on one thread only. */
    PeerCodec codec() {
        return codec;
    }
}
