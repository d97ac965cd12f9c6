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
 * The management side of a device that accepts NETCONF edits. The device connects to its governor
 * (RFC 8071), is the SSH and NETCONF server on that connection ({@link DeviceConnection}), and has
 * the datastores of the YANG module sprucelanding-proxy ({@link DeviceDatastores}). Faults make the
 * device answer late or never, reject edits, deny its lock, lose a session, reboot, or have an
 * entry that no governor ordered. All calls must be made on the event loop of the device's proxy.
 * Methods that only read state may be called by any thread.
 */
public final class SimulatedDevice {
    private static final int KEY_BITS = 256;

    /** The table of the entry that {@link #driftConfiguration} adds. */
    private static final int DRIFT_TABLE = 0;

    /** The endpoint of that entry, which does not exist. */
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
     * @param governor the public key that a governor authenticates with
     * @param key the host key of the device
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

    /** Returns a new key pair of the type that the simulated parties use. */
    public static KeyPair generateKey() {
        try {
            KeyPairGenerator generator = KeyPairGenerator.getInstance("EC");
            generator.initialize(KEY_BITS);
            return generator.generateKeyPair();
        } catch (GeneralSecurityException e) {
            throw new IllegalStateException(
                    "cannot generate an EC key pair of " + KEY_BITS + " bits", e);
        }
    }

    /** Returns the device's name and host key, as a line of the governor's file of devices. */
    public String knownHostLine() {
        return name + " " + PublicKeyEntry.toString(key.getPublic());
    }

    /** Lets another manager hold the device's lock for this time in ms. */
    public void lockFor(double millis) {
        faults.lockUntil(EventLoop.nowMillis() + millis);
    }

    /** Drops this many of the next replies. The operations are executed nevertheless. */
    public void dropResponses(int responses) {
        faults.dropResponses(responses);
    }

    /**
     * Rejects edits of this endpoint's entries with an error that has the path of the entry. If the
     * id is 0, edits of all endpoints are accepted.
     */
    public void forbidEndpoint(long endpointId) {
        faults.forbidEndpoint(endpointId);
    }

    /**
     * Breaks the session immediately after the next confirmed commit. The device rolls that commit
     * back after this time in ms, unless the commit is confirmed. A time of 0 clears the fault.
     */
    public void breakBeforeConfirm(double millis) {
        faults.breakBeforeConfirm(millis);
    }

    /** Returns whether the last confirmed commit was rolled back. Callable from any thread. */
    public boolean hasRolledBack() {
        return datastores.rolledBack();
    }

    /**
     * Treats the whole configuration as an unconfirmed commit of another governor that no longer
     * runs. The device rolls the configuration back after this time in ms, without a notification.
     */
    public void rollBackAfter(EventLoop loop, double millis) {
        loop.schedule(
                millis,
                () -> {
                    datastores.rollBackAll();
                    if (connection != null) {
                        connection.applyRunning();
                    }
                });
    }

    /**
     * Adds an entry that no governor ordered, as another manager of the device would. The device
     * sends a notification of the change.
     */
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
            connection.applyRunning();
            connection.sendNotification(NetconfMessages.CONFIG_CHANGE);
        }
    }

    /** Restores the startup configuration, which is empty. */
    void reboot() {
        datastores.reset();
    }

    /**
     * Returns an entry of the running configuration as text, or null if there is none. The text is
     * "w", or "d" if the entry is draining, followed by the weight. Callable from any thread.
     */
    public String entryText(int table, long endpointId) {
        DeviceConfiguration.ListEntry entry = datastores.running().entry(table, endpointId);
        return entry == null ? null : (entry.isDraining() ? "d" : "w") + entry.leaf("weight");
    }

    /** Returns whether the running configuration has any routes. Callable from any thread. */
    public boolean hasRoutes() {
        return datastores.running().hasRoutes();
    }

    /** Returns the running configuration as XML. */
    String configurationXml() {
        return datastores.running().toXml(zone, expectedRate);
    }

    /** Sends these bytes, without framing, in place of a message. */
    public void sendGarbled(byte[] bytes) {
        if (connection != null) {
            connection.writeRaw(bytes);
        }
    }

    /** Stops the SSH server, which closes all connections of the device. */
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
