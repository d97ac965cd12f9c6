package sprucelanding.runtime.eventloop;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;

/** One GET on a connection of its own: one answer, or none in time. */
public final class HttpGet implements TcpConnection.Listener {
    /** Told one of the two, once. */
    public interface ResponseHandler {
        void onResponse(HttpParser.Message response);

        /** Reached: a connection came up. Late: the time ran out. */
        void onFailure(boolean reached, boolean timedOut);

        /**
         * It was not asked, for want of something of our own: a descriptor, an address. It tells
         * nothing of the peer.
         */
        default void onNotSent() {
            onFailure(false, false);
        }
    }

    private static final int MAX_UNSENT_BYTES = 4096;
    private final String target;
    private final ResponseHandler handler;
    private final HttpParser parser = new HttpParser(this::respond);
    private final EventLoop.Timer timeoutTimer;
    private TcpConnection connection;
    private boolean finished;
    private boolean reached;

    /** Timeout in ms for the whole; from: the own address, or null for any. */
    public HttpGet(
            EventLoop loop,
            InetSocketAddress address,
            InetSocketAddress localAddress,
            String target,
            double timeoutMillis,
            ResponseHandler handler) {
        this.target = target;
        this.handler = handler;
        timeoutTimer = loop.schedule(timeoutMillis, () -> fail(true));
        try {
            connection = loop.connect(address, localAddress, MAX_UNSENT_BYTES, this);
        } catch (UncheckedIOException e) { // no descriptor is left, or no way there
            loop.schedule(
                    0,
                    () -> {
                        if (finishOnce()) {
                            handler.onNotSent();
                        }
                    });
        }
    }

    @Override
    public void onConnected(TcpConnection connection) {
        reached = true;
        connection.write(HttpParser.request("GET", target));
    }

    @Override
    public void onReceived(TcpConnection connection, ByteBuffer buffer) throws IOException {
        parser.parse(buffer);
    }

    @Override
    public void onClosed(TcpConnection connection, String reason) {
        fail(false);
    }

    private void respond(HttpParser.Message response) {
        if (finishOnce()) {
            handler.onResponse(response);
        }
    }

    private void fail(boolean timedOut) {
        if (finishOnce()) {
            handler.onFailure(reached, timedOut);
        }
    }

    private boolean finishOnce() {
        if (finished) {
            return false;
        }
        finished = true;
        timeoutTimer.cancel();
        if (connection != null) {
            connection.close();
        }
        return true;
    }
}
