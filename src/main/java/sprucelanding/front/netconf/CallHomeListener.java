package sprucelanding.front.netconf;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.security.PublicKey;
import org.apache.sshd.client.SshClient;
import org.apache.sshd.client.channel.ChannelSubsystem;
import org.apache.sshd.client.channel.ClientChannel;
import org.apache.sshd.client.session.ClientSession;
import org.apache.sshd.client.session.SessionFactory;
import org.apache.sshd.common.AttributeRepository;
import org.apache.sshd.common.io.IoAcceptor;
import org.apache.sshd.common.session.Session;
import org.apache.sshd.common.session.SessionListener;
import org.apache.sshd.core.CoreModuleProperties;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Listens for devices that call home (RFC 8071, section 3.1): on each connection it is the SSH
 * client, identifies the device by its host key, authenticates with the governor's own key and
 * opens the netconf subsystem (RFC 6242, section 3). Runs on the SSH library's threads.
 */
final class CallHomeListener implements AutoCloseable {
    /** Receives the sessions that are ready for NETCONF; called on the SSH library's threads. */
    interface SessionHandler {
        void onSession(String deviceName, ClientSession session, ChannelSubsystem channel);
    }

    /** Logs as the front, which this is a part of. */
    private static final Logger LOG = LoggerFactory.getLogger(NetconfFront.class);

    private static final String SUBSYSTEM = "netconf";
    private static final AttributeRepository.AttributeKey<String> DEVICE_NAME =
            new AttributeRepository.AttributeKey<>();

    private final DeviceKeys keys;
    private final String userName;
    private final SessionHandler sessionHandler;
    private final SshClient sshClient = SshClient.setUpDefaultClient();

    /** Null until it listens. */
    private IoAcceptor acceptor;

    /**
     * Creates a listener that doesn't listen yet.
     *
     * @param keys the governor's own key and the devices' pinned ones
     * @param userName the user to authenticate as
     */
    CallHomeListener(DeviceKeys keys, String userName, SessionHandler sessionHandler) {
        this.keys = keys;
        this.userName = userName;
        this.sessionHandler = sessionHandler;
    }

    void listen(InetSocketAddress bindAddress) throws IOException {
        // small messages back and forth must not wait for each other
        CoreModuleProperties.TCP_NODELAY.set(sshClient, true);
        sshClient.setServerKeyVerifier(this::verifyHostKey);
        sshClient.start();
        sshClient.addSessionListener(
                new SessionListener() {
                    @Override
                    public void sessionEvent(Session session, Event event) {
                        if (event == Event.KeyEstablished) {
                            authenticate((ClientSession) session);
                        }
                    }
                });
        acceptor = sshClient.getIoServiceFactory().createAcceptor(new SessionFactory(sshClient));
        acceptor.bind(bindAddress);
    }

    int port() {
        return ((InetSocketAddress) acceptor.getBoundAddresses().iterator().next()).getPort();
    }

    private boolean verifyHostKey(
            ClientSession session, SocketAddress remoteAddress, PublicKey key) {
        try {
            String device = keys.deviceFor(key);
            if (device == null) {
                LOG.atWarn()
                        .setMessage("a device is refused: its host key is not known")
                        .addKeyValue("from", remoteAddress)
                        .log();
                return false;
            }
            session.setAttribute(DEVICE_NAME, device);
            return true;
        } catch (IOException e) {
            LOG.atError().setMessage("host keys cannot be read").setCause(e).log();
            return false;
        }
    }

    private void authenticate(ClientSession session) {
        try {
            session.setUsername(userName);
            session.addPublicKeyIdentity(keys.ownKey());
            session.auth().addListener(auth -> onAuthenticated(session, auth.isSuccess()));
        } catch (IOException e) {
            LOG.atError().setMessage("the own key cannot be used").setCause(e).log();
            session.close(true);
        }
    }

    private void onAuthenticated(ClientSession session, boolean success) {
        if (success) {
            openSubsystem(session);
            return;
        }
        LOG.atWarn()
                .setMessage("a device does not let us in")
                .addKeyValue("device", session.getAttribute(DEVICE_NAME))
                .log();
        session.close(true);
    }

    private void openSubsystem(ClientSession session) {
        try {
            ChannelSubsystem channel = session.createSubsystemChannel(SUBSYSTEM);
            channel.setStreaming(ClientChannel.Streaming.Async);
            channel.open().addListener(opened -> onOpened(session, channel, opened.isOpened()));
        } catch (IOException e) {
            session.close(true); // the connection broke; the device calls home again
        }
    }

    private void onOpened(ClientSession session, ChannelSubsystem channel, boolean isOpened) {
        if (isOpened) {
            sessionHandler.onSession(session.getAttribute(DEVICE_NAME), session, channel);
        } else {
            session.close(true);
        }
    }

    @Override
    public void close() {
        if (acceptor != null) {
            acceptor.close(true);
        }
        sshClient.stop();
    }
}
