package sprucelanding.front.netconf;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.GeneralSecurityException;
import java.security.KeyPair;
import java.security.PublicKey;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.apache.sshd.common.config.keys.AuthorizedKeyEntry;
import org.apache.sshd.common.config.keys.KeyUtils;
import org.apache.sshd.common.config.keys.PublicKeyEntryResolver;
import org.apache.sshd.common.keyprovider.FileKeyPairProvider;
import sprucelanding.runtime.governor.PrivateFiles;

/**
 * The governor's own key and the pinned host keys of devices, from files. A file is read again when
 * it has changed, so that keys can be replaced in service. Thread-safe.
 */
public final class DeviceKeys {
    private static final long NEVER_READ = -1;
    private static final String COMMENT_START = "#";

    private final Path ownKey;
    private final Path pinnedKeysFile;

    // guarded by this
    private long ownKeyModifiedAt = NEVER_READ;
    private long pinnedKeysModifiedAt = NEVER_READ;
    private KeyPair keyPair;
    private Map<String, String> devicesByFingerprint = Map.of();

    /**
     * Reads nothing yet.
     *
     * @param ownKey the governor's private key, in OpenSSH's or PKCS#8 format
     * @param pinnedKeysFile lines of a device's name and its public key, as OpenSSH writes keys
     */
    public DeviceKeys(Path ownKey, Path pinnedKeysFile) {
        this.ownKey = ownKey;
        this.pinnedKeysFile = pinnedKeysFile;
    }

    /**
     * The governor's own key.
     *
     * @throws IOException if it can't be read, or others than its owner may read it
     */
    public synchronized KeyPair ownKey() throws IOException {
        long modifiedAt = Files.getLastModifiedTime(ownKey).toMillis();
        if (modifiedAt != ownKeyModifiedAt) {
            PrivateFiles.requirePrivate(ownKey);
            keyPair = new FileKeyPairProvider(ownKey).loadKeys(null).iterator().next();
            ownKeyModifiedAt = modifiedAt;
        }
        return keyPair;
    }

    /**
     * The device that a host key is pinned for; null if there is none.
     *
     * @throws IOException if the file can't be read; the keys read before stay in force
     */
    public synchronized String deviceFor(PublicKey key) throws IOException {
        long modifiedAt = Files.getLastModifiedTime(pinnedKeysFile).toMillis();
        if (modifiedAt != pinnedKeysModifiedAt) {
            devicesByFingerprint = readPinnedKeys();
            pinnedKeysModifiedAt = modifiedAt;
        }
        return devicesByFingerprint.get(KeyUtils.getFingerPrint(key));
    }

    private Map<String, String> readPinnedKeys() throws IOException {
        Map<String, String> devices = new HashMap<>();
        List<String> lines = Files.readAllLines(pinnedKeysFile);
        for (int i = 0; i < lines.size(); i++) {
            String line = lines.get(i).trim();
            if (!line.isEmpty() && !line.startsWith(COMMENT_START)) {
                addPinnedKey(line, i + 1, devices);
            }
        }
        return devices;
    }

    private void addPinnedKey(String line, int lineNumber, Map<String, String> devices)
            throws IOException {
        int space = line.indexOf(' ');
        String device = line.substring(0, Math.max(0, space));
        try {
            AuthorizedKeyEntry entry =
                    AuthorizedKeyEntry.parseAuthorizedKeyEntry(line.substring(space + 1));
            PublicKey key = entry.resolvePublicKey(null, PublicKeyEntryResolver.FAILING);
            devices.put(KeyUtils.getFingerPrint(key), device);
        } catch (IllegalArgumentException | GeneralSecurityException e) {
            throw new IOException(
                    pinnedKeysFile
                            + ":"
                            + lineNumber
                            + ": expected a name and a public key: "
                            + e.getMessage());
        }
    }
}
