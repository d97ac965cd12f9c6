package sprucelanding.simulation.scenario;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.KeyPair;
import java.security.PublicKey;
import java.util.ArrayList;
import java.util.List;
import org.apache.sshd.common.config.keys.PublicKeyEntry;
import sprucelanding.simulation.loopback.SimulatedDevice;

/**
 * The key that governors use to log in to devices, and the host keys of the devices. Both are also
 * written to files that governors read.
 */
final class DeviceCredentials {
    private final KeyPair governorKey;
    private final List<KeyPair> hostKeys;
    private final Path keyFile;
    private final Path hostKeysFile;

    private DeviceCredentials(
            KeyPair governorKey, List<KeyPair> hostKeys, Path keyFile, Path hostKeysFile) {
        this.governorKey = governorKey;
        this.hostKeys = hostKeys;
        this.keyFile = keyFile;
        this.hostKeysFile = hostKeysFile;
    }

    /**
     * Generates all keys, and writes the files that governors read.
     *
     * @param folder folder of the files
     * @param firstDevice position of the first proxy that is a device
     * @param proxies number of proxies, devices included
     */
    static DeviceCredentials create(Path folder, int firstDevice, int proxies) throws IOException {
        KeyPair governorKey = SimulatedDevice.generateKey();
        Path keyFile = folder.resolve("governors-key");
        PrivateFiles.writeKey(keyFile, governorKey, "governors");
        List<KeyPair> hostKeys = new ArrayList<>();
        StringBuilder lines = new StringBuilder();
        for (int proxy = firstDevice; proxy < proxies; proxy++) {
            KeyPair key = SimulatedDevice.generateKey();
            hostKeys.add(key);
            lines.append("proxy-")
                    .append(proxy)
                    .append(' ')
                    .append(PublicKeyEntry.toString(key.getPublic()))
                    .append('\n');
        }
        Path hostKeysFile = folder.resolve("devices");
        Files.writeString(hostKeysFile, lines);
        return new DeviceCredentials(governorKey, hostKeys, keyFile, hostKeysFile);
    }

    PublicKey governorKey() {
        return governorKey.getPublic();
    }

    /** Returns the host key of a device, given its position among the devices. */
    KeyPair hostKey(int device) {
        return hostKeys.get(device);
    }

    Path keyFile() {
        return keyFile;
    }

    Path hostKeysFile() {
        return hostKeysFile;
    }
}
