package sprucelanding.runtime.eventloop;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;

/**
 * A single GET request on a separate connection, with a timeout for the entire exchange.
 *
 * <p>The handler receives the outcome once, on the loop's thread.
 */
public final class HttpGet implements TcpConnection.Listener {
    /** A receiver of the outcome. Exactly one of its methods is called. */
    public interface ResponseHandler {
        /** Handles the response of the peer. */
        void onResponse(HttpParser.Message response);

        /**
         * Handles a request that got no response.
         *
         * @param isReached whether the connection was established
         * @param isTimedOut whether the timeout expired
         */
        void onFailure(boolean isReached, boolean isTimedOut);

        /**
         * Handles a request that was not sent, because this machine had no file descriptor or
         * address left. The outcome says nothing about the state of the peer.
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

    /** Null if this machine could not start to connect. */
    private TcpConnection connection;

    private boolean isFinished;

    /** Whether the connection was established. */
    private boolean isReached;

    /**
     * Starts the request.
     *
     * @param address address of the peer
     * @param localAddress address to connect from; null for any
     * @param target request target, a path
     * @param timeoutMillis time limit until the response is complete, ms
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
            // No file descriptor or address is left. The failure is reported later, because the
            // caller is not yet set up while this constructor runs.
            loop.schedule(0, this::reportNotSent);
        }
    }

    @Override
    public void onConnected(TcpConnection connection) {
        isReached = true;
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

    private void fail(boolean isTimedOut) {
        if (finishOnce()) {
            handler.onFailure(isReached, isTimedOut);
        }
    }

    private void reportNotSent() {
        if (finishOnce()) {
            handler.onNotSent();
        }
    }

    /** Ends the request. Returns false if the request had already ended. */
    private boolean finishOnce() {
        if (isFinished) {
            return false;
        }
        isFinished = true;
        timeoutTimer.cancel();
        if (connection != null) {
            connection.close();
        }
        return true;
    }
}
