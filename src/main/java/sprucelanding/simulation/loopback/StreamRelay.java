package sprucelanding.simulation.loopback;

import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.HashSet;
import java.util.Set;
import java.util.function.BooleanSupplier;
import sprucelanding.runtime.eventloop.EventLoop;
import sprucelanding.runtime.eventloop.TcpConnection;

/**
 * A relay of TCP connections from the proxies of a zone to a governor. Faults stop all traffic, as
 * a network cut does, or break a connection in the middle of an update. All calls must be made on
 * the relay's event loop.
 */
public final class StreamRelay {
    private static final int MAX_BUFFERED_BYTES = 1 << 20;
    private static final int ACCEPT_BACKLOG = 512;
    private static final int NO_BREAK = -1;

    /** A relayed connection: the connection of the proxy and the connection to the governor. */
    private static final class RelayedConnection {
        TcpConnection downstream;
        TcpConnection upstream;
    }

    private final EventLoop loop;
    private final InetSocketAddress target;
    private final BooleanSupplier isOpen;
    private final Set<RelayedConnection> connections = new HashSet<>();
    private final int port;

    /**
     * How many more bytes reach proxies until a connection breaks; negative if none is to break.
     */
    private int bytesUntilBreak = NO_BREAK;

    private boolean isSilent;

    /**
     * Creates a relay that listens on a free port.
     *
     * @param target the address of the governor
     * @param isOpen whether the network is open; see {@link #updatePaused} for changes
     */
    public StreamRelay(EventLoop loop, InetSocketAddress target, BooleanSupplier isOpen) {
        this.loop = loop;
        this.target = target;
        this.isOpen = isOpen;
        this.port =
                loop.localPort(
                        loop.listen(
                                new InetSocketAddress("127.0.0.1", 0),
                                ACCEPT_BACKLOG,
                                channel -> {
                                    RelayedConnection pair = new RelayedConnection();
                                    connections.add(pair);
                                    ArrayDeque<byte[]> earlyBytes = new ArrayDeque<>();
                                    pair.downstream =
                                            loop.register(
                                                    channel,
                                                    MAX_BUFFERED_BYTES,
                                                    relayListener(pair, true, earlyBytes));
                                    pair.upstream =
                                            loop.connect(
                                                    target,
                                                    null,
                                                    MAX_BUFFERED_BYTES,
                                                    relayListener(pair, false, earlyBytes));
                                }));
    }

    /** Returns the port that the relay listens on. */
    public int port() {
        return port;
    }

    /**
     * Breaks a connection in the middle of its data, after the relay has sent this many more bytes
     * to proxies.
     */
    public void setBreakAfter(int bytes) {
        bytesUntilBreak = bytes;
    }

    /** Stops or resumes all traffic. No connection ends while the traffic is stopped. */
    public void setSilent(boolean enabled) {
        isSilent = enabled;
        updatePaused();
    }

    /** Pauses or resumes all connections. Must be called after the network was cut or opened. */
    public void updatePaused() {
        boolean paused = isSilent || !isOpen.getAsBoolean();
        connections.forEach(
                pair -> {
                    pair.downstream.setReadPaused(paused);
                    if (pair.upstream != null) {
                        pair.upstream.setReadPaused(paused);
                    }
                });
    }

    /** Resets all connections. */
    public void breakAll() {
        Set.copyOf(connections).forEach(pair -> pair.downstream.reset());
    }

    private TcpConnection.Listener relayListener(
            RelayedConnection pair, boolean fromDownstream, ArrayDeque<byte[]> earlyBytes) {
        return new TcpConnection.Listener() {
            @Override
            public void onConnected(TcpConnection connection) {
                connection.setReadPaused(isSilent || !isOpen.getAsBoolean());
            }

            @Override
            public void onReceived(TcpConnection connection, ByteBuffer input) {
                if (isSilent || !isOpen.getAsBoolean()) {
                    connection.setReadPaused(true);
                }
                byte[] bytes = new byte[input.remaining()];
                input.get(bytes);
                TcpConnection other = fromDownstream ? pair.upstream : pair.downstream;
                if (!fromDownstream && bytesUntilBreak >= 0) {
                    if (bytes.length > bytesUntilBreak) {
                        pair.downstream.write(Arrays.copyOf(bytes, bytesUntilBreak));
                        bytesUntilBreak = NO_BREAK;
                        pair.downstream.reset();
                        return;
                    }
                    bytesUntilBreak -= bytes.length;
                }
                if (other != null) {
                    other.write(bytes);
                }
            }

            @Override
            public void onClosed(TcpConnection connection, String reason) {
                connections.remove(pair);
                TcpConnection other = fromDownstream ? pair.upstream : pair.downstream;
                if (other != null && other.isOpen()) {
                    other.reset();
                }
            }
        };
    }
}
