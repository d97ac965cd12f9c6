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
 * The governor's own key and the devices' pinned host keys, from files; read anew on each use that
 * finds a file changed, so that keys can be replaced in service. A device's file has lines of its
 * name and its public key, as OpenSSH writes keys.
 */
public final class DeviceKeys {
    private final Path ownKey;
    private final Path pinnedKeysFile;
    private long ownKeyModifiedAt = -1;
    private long pinnedKeysModifiedAt = -1;
    private KeyPair keyPair;
    private Map<String, String> devicesByFingerprint = Map.of();

    public DeviceKeys(Path ownKey, Path pinnedKeysFile) {
        this.ownKey = ownKey;
        this.pinnedKeysFile = pinnedKeysFile;
    }

    /**
     * The governor's key; IOException if it cannot be read, or if others than its owner may read
     * it.
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
     * The device that this host key is pinned for; null if there is none. A file that cannot be
     * read changes nothing.
     */
    public synchronized String deviceFor(PublicKey key) throws IOException {
        long modifiedAt = Files.getLastModifiedTime(pinnedKeysFile).toMillis();
        if (modifiedAt != pinnedKeysModifiedAt) {
            Map<String, String> reloaded = new HashMap<>();
            List<String> lines = Files.readAllLines(pinnedKeysFile);
            for (int i = 0; i < lines.size(); i++) {
                String line = lines.get(i).trim();
                int space = line.indexOf(' ');
                if (line.isEmpty() || line.startsWith("#")) {
                    continue;
                }
                try {
                    AuthorizedKeyEntry entry =
                            AuthorizedKeyEntry.parseAuthorizedKeyEntry(line.substring(space + 1));
                    reloaded.put(
                            KeyUtils.getFingerPrint(
                                    entry.resolvePublicKey(null, PublicKeyEntryResolver.FAILING)),
                            line.substring(0, Math.max(0, space)));
                } catch (IllegalArgumentException | GeneralSecurityException e) {
                    throw new IOException(
                            pinnedKeysFile
                                    + ":"
                                    + (i + 1)
                                    + ": expected a name and a public key: "
                                    + e.getMessage());
                }
            }
            devicesByFingerprint = reloaded;
            pinnedKeysModifiedAt = modifiedAt;
        }
        return devicesByFingerprint.get(KeyUtils.getFingerPrint(key));
    }
}
