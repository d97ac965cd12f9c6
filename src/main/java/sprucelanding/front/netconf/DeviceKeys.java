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
 * The governor's private key and the devices' pinned host keys, read from files. A file is read
 * again when it has changed, so that keys can be replaced without a restart. Thread-safe.
 */
public final class DeviceKeys {
    private static final long NEVER_READ = -1;
    private static final String COMMENT_START = "#";

    private final Path ownKeyFile;
    private final Path pinnedKeysFile;

    // The fields below are guarded by this object's monitor.
    private long ownKeyModifiedMillis = NEVER_READ;
    private long pinnedKeysModifiedMillis = NEVER_READ;
    private KeyPair keyPair;
    private Map<String, String> devicesByFingerprint = Map.of();

    /**
     * Creates the keys without reading a file.
     *
     * @param ownKeyFile file with the governor's private key, in OpenSSH's or PKCS#8 format
     * @param pinnedKeysFile file with a line per device: the device's name, then its public key in
     *     OpenSSH's format
     */
    public DeviceKeys(Path ownKeyFile, Path pinnedKeysFile) {
        this.ownKeyFile = ownKeyFile;
        this.pinnedKeysFile = pinnedKeysFile;
    }

    /**
     * Returns the governor's private key.
     *
     * @throws IOException if the file can't be read, or users other than its owner may use it
     */
    public synchronized KeyPair ownKey() throws IOException {
        long modifiedMillis = Files.getLastModifiedTime(ownKeyFile).toMillis();
        if (modifiedMillis != ownKeyModifiedMillis) {
            PrivateFiles.requirePrivate(ownKeyFile);
            keyPair = new FileKeyPairProvider(ownKeyFile).loadKeys(null).iterator().next();
            ownKeyModifiedMillis = modifiedMillis;
        }
        return keyPair;
    }

    /**
     * Returns the name of the device that a host key is pinned for; null if there is none.
     *
     * @throws IOException if the file can't be read; the keys that were read before are kept
     */
    public synchronized String deviceFor(PublicKey key) throws IOException {
        long modifiedMillis = Files.getLastModifiedTime(pinnedKeysFile).toMillis();
        if (modifiedMillis != pinnedKeysModifiedMillis) {
            devicesByFingerprint = readPinnedKeys();
            pinnedKeysModifiedMillis = modifiedMillis;
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
                            + ": expected a device name and a public key: "
                            + e.getMessage());
        }
    }
}
