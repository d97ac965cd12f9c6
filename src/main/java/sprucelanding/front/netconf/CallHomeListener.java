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
 * Listener for devices that call home (RFC 8071, section 3.1). The listener is the SSH client on
 * each accepted connection: it identifies the device by its host key, authenticates with the
 * governor's private key and opens the netconf subsystem (RFC 6242, section 3). Runs on the SSH
 * library's threads.
 */
final class CallHomeListener implements AutoCloseable {
    /** Receives sessions that are ready for NETCONF. Called on the SSH library's threads. */
    interface SessionHandler {
        void onSession(String deviceName, ClientSession session, ChannelSubsystem channel);
    }

    /** The logger of the front, because this class is a part of it. */
    private static final Logger LOG = LoggerFactory.getLogger(NetconfFront.class);

    private static final String SUBSYSTEM = "netconf";
    private static final AttributeRepository.AttributeKey<String> DEVICE_NAME =
            new AttributeRepository.AttributeKey<>();

    private final DeviceKeys keys;
    private final String userName;
    private final SessionHandler sessionHandler;
    private final SshClient sshClient = SshClient.setUpDefaultClient();

    /** Null until {@link #listen} is called. */
    private IoAcceptor acceptor;

    /**
     * Creates a listener that doesn't listen yet.
     *
     * @param keys the governor's private key and the devices' pinned host keys
     * @param userName the user to authenticate as
     * @param sessionHandler receives each session that is ready
     */
    CallHomeListener(DeviceKeys keys, String userName, SessionHandler sessionHandler) {
        this.keys = keys;
        this.userName = userName;
        this.sessionHandler = sessionHandler;
    }

    /** Starts the SSH client and listens on an address. */
    void listen(InetSocketAddress bindAddress) throws IOException {
        // Disables Nagle's algorithm, which would delay the small messages of both sides.
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
                        .setMessage("device rejected: its host key is not pinned")
                        .addKeyValue("from", remoteAddress)
                        .log();
                return false;
            }
            session.setAttribute(DEVICE_NAME, device);
            return true;
        } catch (IOException e) {
            LOG.atError()
                    .setMessage("device rejected: the pinned host keys cannot be read")
                    .setCause(e)
                    .log();
            return false;
        }
    }

    private void authenticate(ClientSession session) {
        try {
            session.setUsername(userName);
            session.addPublicKeyIdentity(keys.ownKey());
            session.auth().addListener(auth -> onAuthenticated(session, auth.isSuccess()));
        } catch (IOException e) {
            LOG.atError().setMessage("the governor's private key cannot be used").setCause(e).log();
            session.close(true);
        }
    }

    private void onAuthenticated(ClientSession session, boolean success) {
        if (success) {
            openSubsystem(session);
            return;
        }
        LOG.atWarn()
                .setMessage("device rejected the governor's authentication")
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
            session.close(true); // The connection is lost. The device calls home again.
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
