package sprucelanding.runtime.governor;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.nio.file.attribute.PosixFilePermission;
import java.nio.file.attribute.PosixFilePermissions;
import java.util.Set;

/** Access to files that only this governor uses: its keys, and its state for the next start. */
public final class PrivateFiles {
    private static final Set<PosixFilePermission> NON_OWNER_PERMISSIONS =
            PosixFilePermissions.fromString("---rwxrwx");

    private PrivateFiles() {}

    /**
     * Checks that only the file's owner may use the file.
     *
     * @throws IOException if other users may use the file, or its permissions cannot be read
     */
    public static void requirePrivate(Path file) throws IOException {
        if (Files.getPosixFilePermissions(file).stream()
                .anyMatch(NON_OWNER_PERMISSIONS::contains)) {
            throw new IOException(
                    file + ": users other than its owner may use it; expected mode 600");
        }
    }

    /**
     * Writes a new file and renames it into place. After a crash at any time, the file has either
     * its old content or the new content.
     *
     * @param synced whether the content is forced to the disk before the rename
     */
    static void replaceAtomically(Path file, byte[] content, boolean synced) throws IOException {
        Path temporaryFile = file.resolveSibling(file.getFileName() + ".new");
        try (FileChannel out =
                FileChannel.open(
                        temporaryFile,
                        StandardOpenOption.CREATE,
                        StandardOpenOption.TRUNCATE_EXISTING,
                        StandardOpenOption.WRITE)) {
            for (ByteBuffer remaining = ByteBuffer.wrap(content); remaining.hasRemaining(); ) {
                out.write(remaining);
            }
            if (synced) {
                out.force(true);
            }
        }
        Files.move(
                temporaryFile,
                file,
                StandardCopyOption.ATOMIC_MOVE,
                StandardCopyOption.REPLACE_EXISTING);
    }
}
