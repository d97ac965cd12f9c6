package sprucelanding.simulation.scenario;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.PosixFilePermissions;
import java.security.GeneralSecurityException;
import java.security.KeyPair;
import org.apache.sshd.common.config.keys.writer.openssh.OpenSSHKeyPairResourceWriter;

/** A writer of files that only their owner may read and write. */
final class PrivateFiles {
    private PrivateFiles() {}

    /** Creates an empty file, and deletes an older file at the same path first. */
    static Path create(Path file) throws IOException {
        Files.deleteIfExists(file);
        return Files.createFile(
                file,
                PosixFilePermissions.asFileAttribute(PosixFilePermissions.fromString("rw-------")));
    }

    /**
     * Writes a private key in the format of OpenSSH.
     *
     * @param comment comment that the file states for the key
     */
    static void writeKey(Path file, KeyPair key, String comment) throws IOException {
        create(file);
        try (OutputStream out = Files.newOutputStream(file)) {
            OpenSSHKeyPairResourceWriter.INSTANCE.writePrivateKey(key, comment, null, out);
        } catch (GeneralSecurityException e) {
            throw new IOException(e);
        }
    }
}
