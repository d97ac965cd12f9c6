package sprucelanding.runtime.eventloop;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.net.NoRouteToHostException;
import java.net.StandardSocketOptions;
import java.nio.channels.ClosedSelectorException;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.SocketChannel;

/** A factory of a loop's TCP connections, for accepted connections and for outgoing ones. */
final class TcpConnector {
    private final EventLoop loop;
    private final Selector selector;

    TcpConnector(EventLoop loop, Selector selector) {
        this.loop = loop;
        this.selector = selector;
    }

    /** Registers an accepted connection, see {@link EventLoop#register}. */
    TcpConnection register(
            SocketChannel channel, int maxUnsentBytes, TcpConnection.Listener listener) {
        try {
            configure(channel);
            TcpConnection connection = new TcpConnection(loop, channel, maxUnsentBytes, listener);
            connection.register(selector, SelectionKey.OP_READ);
            return connection;
        } catch (IOException | ClosedSelectorException e) {
            closeQuietly(channel);
            throw new UncheckedIOException(
                    "cannot register an accepted connection",
                    e instanceof IOException io ? io : new IOException(e));
        }
    }

    /** Connects to a peer, see {@link EventLoop#connect}. */
    TcpConnection connect(
            InetSocketAddress remoteAddress,
            InetSocketAddress localAddress,
            int maxUnsentBytes,
            TcpConnection.Listener listener) {
        SocketChannel channel = null;
        try {
            channel = SocketChannel.open();
            if (localAddress != null) {
                channel.bind(localAddress);
            }
            configure(channel);
            TcpConnection connection = new TcpConnection(loop, channel, maxUnsentBytes, listener);
            connection.register(selector, SelectionKey.OP_CONNECT);
            startConnect(connection, channel, remoteAddress);
            return connection;
        } catch (IOException e) {
            closeQuietly(channel);
            throw new UncheckedIOException("cannot connect to " + remoteAddress, e);
        }
    }

    private static void configure(SocketChannel channel) throws IOException {
        channel.configureBlocking(false);
        channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
    }

    private void startConnect(
            TcpConnection connection, SocketChannel channel, InetSocketAddress remoteAddress)
            throws IOException {
        try {
            if (channel.connect(remoteAddress)) {
                loop.schedule(0, connection::finishConnect);
            }
        } catch (ConnectException | NoRouteToHostException e) {
            // the peer or the network refused the connection, which the listener must handle
            loop.schedule(0, () -> connection.close("cannot connect: " + e.getMessage()));
        }
    }

    private static void closeQuietly(SocketChannel channel) {
        try {
            if (channel != null) {
                channel.close();
            }
        } catch (IOException e) {
            // the caller reports the failure that caused the close
        }
    }
}
