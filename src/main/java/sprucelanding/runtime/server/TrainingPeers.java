package sprucelanding.runtime.server;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.ServerSocketChannel;
import java.nio.charset.StandardCharsets;
import sprucelanding.runtime.eventloop.EventLoop;
import sprucelanding.runtime.eventloop.HttpParser;
import sprucelanding.runtime.eventloop.TcpConnection;

/**
 * The governor's peers in the training run for the class-data archive: discovery, an endpoint and
 * clients. All peers run on one event loop, which is not the governor's.
 */
final class TrainingPeers {
    private static final int MAX_UNSENT_BYTES = 1 << 20;
    private static final int BACKLOG = 50;
    private static final int STATUS_OK = 200;
    private static final String LOAD_REPORT = "TEXT util=0.5";

    private final EventLoop loop;

    TrainingPeers(EventLoop loop) {
        this.loop = loop;
    }

    /** Starts a discovery service and returns its address. */
    String startDiscovery() {
        return startServer(encode(TrainingMessages.discoveryResponse()));
    }

    /** Starts an endpoint that reports its load, and returns its address. */
    String startEndpoint() {
        return startServer(HttpParser.response(STATUS_OK, encode(LOAD_REPORT)));
    }

    /** Starts a server that answers any input with the same bytes, and returns its address. */
    private String startServer(byte[] response) {
        ServerSocketChannel server =
                loop.listen(
                        new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
                        BACKLOG,
                        channel ->
                                loop.register(
                                        channel,
                                        MAX_UNSENT_BYTES,
                                        (connection, buffer) -> connection.write(response)));
        return "127.0.0.1:" + loop.localPort(server);
    }

    /** Connects a client, sends messages and acknowledges the updates that request it. */
    void connect(InetSocketAddress governor, String messages) {
        loop.connect(governor, null, MAX_UNSENT_BYTES, new Client(messages));
    }

    private static byte[] encode(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    private record Client(String messages) implements TcpConnection.Listener {
        @Override
        public void onConnected(TcpConnection connection) {
            connection.write(encode(messages));
        }

        @Override
        public void onReceived(TcpConnection connection, ByteBuffer buffer) {
            String text = StandardCharsets.UTF_8.decode(buffer).toString();
            connection.write(encode(TrainingMessages.acknowledgementOf(text)));
        }
    }
}
