package sprucelanding.simulation.loopback;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.security.GeneralSecurityException;
import java.security.KeyPair;
import java.security.KeyPairGenerator;
import java.security.PublicKey;
import java.util.List;
import java.util.Map;
import org.apache.sshd.common.config.keys.KeyUtils;
import org.apache.sshd.common.config.keys.PublicKeyEntry;
import org.apache.sshd.common.keyprovider.KeyPairProvider;
import org.apache.sshd.core.CoreModuleProperties;
import org.apache.sshd.server.SshServer;
import org.apache.sshd.server.channel.ChannelSession;
import org.apache.sshd.server.command.Command;
import org.apache.sshd.server.subsystem.SubsystemFactory;
import sprucelanding.runtime.eventloop.EventLoop;
import sprucelanding.simulation.model.ProxyTables;

/**
 * The management side of a device that takes NETCONF edits: it connects to its governor (RFC 8071),
 * is the SSH and NETCONF server on that connection ({@link DeviceConnection}), and has the
 * datastores of the module sprucelanding-proxy ({@link DeviceDatastores}). Faults make it answer
 * late or never, reject edits, deny its lock, lose a session, reboot, or drift. All calls on its
 * proxy's loop, except those that only ask.
 */
public final class SimulatedDevice {
    private static final int KEY_BITS = 256;

    /** An entry that nobody ordered, for an endpoint that does not exist. */
    private static final int DRIFT_TABLE = 0;

    private static final long DRIFT_ENDPOINT = 4_000_000_000L;

    private final String name;
    private final String zone;
    private final double expectedRate;
    private final PublicKey governorKey;
    private final SshServer server;
    private final KeyPair key;
    private final DeviceDatastores datastores = new DeviceDatastores();
    private final DeviceFaults faults = new DeviceFaults();

    /** The latest connection; null before the first. */
    private DeviceConnection connection;

    /**
     * Creates a device and starts its SSH server.
     *
     * @param governor the key by which a governor authenticates
     * @param key its own host key
     * @throws IOException if the server cannot start
     */
    public SimulatedDevice(
            String name, String zone, double expectedRate, PublicKey governor, KeyPair key)
            throws IOException {
        this.name = name;
        this.zone = zone;
        this.expectedRate = expectedRate;
        this.governorKey = governor;
        this.key = key;
        server = SshServer.setUpDefaultServer();
        server.setHost("127.0.0.1");
        CoreModuleProperties.TCP_NODELAY.set(server, true);
        server.setKeyPairProvider(KeyPairProvider.wrap(key));
        server.setPublickeyAuthenticator(
                (user, offered, session) -> KeyUtils.compareKeys(offered, this.governorKey));
        server.setSubsystemFactories(
                List.of(
                        new SubsystemFactory() {
                            @Override
                            public String getName() {
                                return "netconf";
                            }

                            @Override
                            public Command createSubsystem(ChannelSession channel) {
                                return connection.newSubsystem();
                            }
                        }));
        server.setNioWorkers(1);
        server.start();
    }

    /** A new key of the kind that the simulated parties use. */
    public static KeyPair generateKey() {
        try {
            KeyPairGenerator generator = KeyPairGenerator.getInstance("EC");
            generator.initialize(KEY_BITS);
            return generator.generateKeyPair();
        } catch (GeneralSecurityException e) {
            throw new IllegalStateException("no EC keys here", e);
        }
    }

    /** Its name and host key, as a line of the governor's file of devices. */
    public String knownHostLine() {
        return name + " " + PublicKeyEntry.toString(key.getPublic());
    }

    /** Another manager holds its lock for so many ms. */
    public void lockFor(double millis) {
        faults.lockUntil(EventLoop.nowMillis() + millis);
    }

    /** It executes the next operations, but drops this many replies. */
    public void dropResponses(int responses) {
        faults.dropResponses(responses);
    }

    /** It rejects edits of this endpoint's entries, with the path of the entry; 0: it takes all. */
    public void forbidEndpoint(long endpointId) {
        faults.forbidEndpoint(endpointId);
    }

    /**
     * Its session breaks right after the next confirmed commit, which it takes back after so many
     * ms unless it is confirmed.
     */
    public void breakBeforeConfirm(double millis) {
        faults.breakBeforeConfirm(millis);
    }

    /** Whether the last confirmed commit was taken back. */
    public boolean rolledBack() {
        return datastores.rolledBack();
    }

    /**
     * Its configuration is an unconfirmed commit of another governor, which is gone: the device
     * takes all of it back after so many ms, without a notification.
     */
    public void rollBackAfter(EventLoop loop, double millis) {
        loop.schedule(
                millis,
                () -> {
                    datastores.rollBackAll();
                    if (connection != null) {
                        connection.apply();
                    }
                });
    }

    /** Another manager adds an entry that nobody ordered; the device notifies of the change. */
    public void driftConfiguration() {
        datastores
                .running()
                .putEntry(
                        DRIFT_TABLE,
                        DRIFT_ENDPOINT,
                        new DeviceConfiguration.ListEntry(
                                Map.of(
                                        "host",
                                        "127.0.0.1",
                                        "port",
                                        "9",
                                        "weight",
                                        "1",
                                        "draining",
                                        "true")));
        if (connection != null) {
            connection.apply();
            connection.sendNotification(NetconfMessages.CONFIG_CHANGE);
        }
    }

    /** Back to its startup configuration, which is empty. */
    void reboot() {
        datastores.reset();
    }

    /**
     * An entry of its running configuration: w, or d if it is draining, and the weight; null if
     * there is none. Any thread may ask.
     */
    public String entryText(int table, long endpointId) {
        DeviceConfiguration.ListEntry entry = datastores.running().entry(table, endpointId);
        return entry == null ? null : (entry.isDraining() ? "d" : "w") + entry.leaf("weight");
    }

    /** Whether it has any routes. Any thread may ask. */
    public boolean hasRoutes() {
        return datastores.running().hasRoutes();
    }

    /** Its running configuration as XML. */
    String configurationXml() {
        return datastores.running().toXml(zone, expectedRate);
    }

    /** It sends these bytes in place of a message. */
    public void sendGarbled(byte[] bytes) {
        if (connection != null) {
            connection.writeRaw(bytes);
        }
    }

    /** Stops its SSH server, and with it all connections. */
    public void stop() throws IOException {
        server.stop(true);
    }

    ControlChannel openChannel(
            EventLoop loop,
            int port,
            ProxyTables<InetSocketAddress> tables,
            LoadReportClient loadReports,
            ControlChannel.ControlChannelListener listener) {
        connection =
                new DeviceConnection(
                        this,
                        server,
                        datastores,
                        faults,
                        loop,
                        port,
                        tables,
                        loadReports,
                        listener);
        return connection;
    }
}
