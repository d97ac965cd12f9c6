package sprucelanding.runtime.eventloop;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;

/**
 * One GET request on a connection of its own, with a timeout for the whole.
 *
 * <p>The handler is told the outcome once, on the loop's thread.
 */
public final class HttpGet implements TcpConnection.Listener {
    /** Is told the outcome, by one of the methods. */
    public interface ResponseHandler {
        /** The peer responded. */
        void onResponse(HttpParser.Message response);

        /**
         * There was no response.
         *
         * @param reached whether a connection came up
         * @param timedOut whether the time ran out
         */
        void onFailure(boolean reached, boolean timedOut);

        /**
         * The request was not sent, as this machine lacked a descriptor or an address. It tells
         * nothing about the peer.
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

    /** Null if this machine could not connect. */
    private TcpConnection connection;

    private boolean finished;

    /** Whether the connection came up. */
    private boolean reached;

    /**
     * Starts the request.
     *
     * @param localAddress to connect from; null for any
     * @param target the request's target, a path
     * @param timeoutMillis for all until the response is complete
     */
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
        } catch (UncheckedIOException e) {
            // no descriptor is left, or no address; told later, as the caller is not set up yet
            loop.schedule(0, this::reportNotSent);
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

    private void reportNotSent() {
        if (finishOnce()) {
            handler.onNotSent();
        }
    }

    /** Ends the request; false if it had ended. */
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
