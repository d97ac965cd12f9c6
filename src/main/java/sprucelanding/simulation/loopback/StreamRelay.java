package sprucelanding.simulation.loopback;

import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.HashSet;
import java.util.Set;
import java.util.function.BooleanSupplier;
import sprucelanding.runtime.eventloop.EventLoop;
import sprucelanding.runtime.eventloop.TcpConnection;

/**
 * A wire between proxies of a zone and a governor: it can be silent, as across a cut, or break in
 * mid-update.
 */
public final class StreamRelay {
    private static final int MAX_BUFFERED_BYTES = 1 << 20;

    private static final class RelayedConnection {
        TcpConnection downstream;
        TcpConnection upstream;
    }

    private final EventLoop loop;
    private final InetSocketAddress target;
    private final BooleanSupplier isOpen;
    private final Set<RelayedConnection> connections = new HashSet<>();
    private final int port;
    private int bytesUntilBreak = -1;
    private boolean silent;

    public StreamRelay(EventLoop loop, InetSocketAddress target, BooleanSupplier isOpen) {
        this.loop = loop;
        this.target = target;
        this.isOpen = isOpen;
        this.port =
                loop.localPort(
                        loop.listen(
                                new InetSocketAddress("127.0.0.1", 0),
                                512,
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

    public int port() {
        return port;
    }

    /** The next stream that brings a proxy this many more bytes breaks right there. */
    public void setBreakAfter(int bytes) {
        bytesUntilBreak = bytes;
    }

    /** Nothing passes, and nobody says so. */
    public void setSilent(boolean enabled) {
        silent = enabled;
        updatePaused();
    }

    /** To be called when what open asks has changed: silent connections go on. */
    public void updatePaused() {
        boolean paused = silent || !isOpen.getAsBoolean();
        connections.forEach(
                pair -> {
                    pair.downstream.setReadPaused(paused);
                    if (pair.upstream != null) {
                        pair.upstream.setReadPaused(paused);
                    }
                });
    }

    public void breakAll() {
        Set.copyOf(connections).forEach(pair -> pair.downstream.reset());
    }

    private TcpConnection.Listener relayListener(
            RelayedConnection pair, boolean fromDownstream, ArrayDeque<byte[]> earlyBytes) {
        return new TcpConnection.Listener() {
            @Override
            public void onConnected(TcpConnection connection) {
                connection.setReadPaused(silent || !isOpen.getAsBoolean());
            }

            @Override
            public void onReceived(TcpConnection connection, ByteBuffer input) {
                if (silent || !isOpen.getAsBoolean()) {
                    connection.setReadPaused(true);
                }
                byte[] bytes = new byte[input.remaining()];
                input.get(bytes);
                TcpConnection other = fromDownstream ? pair.upstream : pair.downstream;
                if (!fromDownstream && bytesUntilBreak >= 0) {
                    if (bytes.length > bytesUntilBreak) {
                        pair.downstream.write(java.util.Arrays.copyOf(bytes, bytesUntilBreak));
                        bytesUntilBreak = -1;
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
