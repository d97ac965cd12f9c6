package sprucelanding.runtime.eventloop;

import java.io.IOException;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.SocketChannel;
import java.util.ArrayDeque;

/**
 * A TCP connection on an event loop. Bytes that the peer does not read yet are queued; the
 * connection is closed if the queue exceeds its limit. All methods must be called on the loop's
 * thread.
 *
 * <p>State transitions:
 *
 * <pre>
 * CONNECTING -- the connection is established --> OPEN
 * OPEN       -- closeGracefully, or the peer closed its side while bytes are queued --> CLOSING
 * CLOSING    -- all bytes are sent and the peer closed its side, or timeout --> CLOSED
 * any state  -- close, reset, an I/O error, or the queue exceeds its limit --> CLOSED
 * </pre>
 */
public final class TcpConnection implements SelectionHandler {
    /** A receiver of the connection's events, which are reported on the loop's thread. */
    public interface Listener {
        /** Handles the establishment of a connection that this side started. */
        default void onConnected(TcpConnection connection) {}

        /**
         * Handles bytes from the peer.
         *
         * @param buffer a buffer of the loop, whose remaining bytes are lost after the call
         */
        void onReceived(TcpConnection connection, ByteBuffer buffer) throws IOException;

        /**
         * Returns whether the queued bytes are still sent after the peer has closed its side.
         * Otherwise the connection is closed at once.
         */
        default boolean sendsQueuedBytesAfterPeerClose(TcpConnection connection) {
            return false;
        }

        /** Handles the end of a connection, also of one that was never established. Called once. */
        default void onClosed(TcpConnection connection, String reason) {}
    }

    private enum State {
        /** This side has started to connect; the connection is not yet established. */
        CONNECTING,
        /** The connection is established. The peer may have closed its side. */
        OPEN,
        /** Queued bytes are sent, and received bytes are discarded. */
        CLOSING,
        /** The connection has ended. */
        CLOSED
    }

    /** Time limit for sending queued bytes to a peer that has closed its side. */
    private static final double PEER_CLOSE_TIMEOUT_MILLIS = 1000;

    private final EventLoop loop;
    private final SocketChannel channel;
    private final int maxUnsentBytes;
    private final Listener listener;
    private final ArrayDeque<ByteBuffer> writeQueue = new ArrayDeque<>(1);

    /** Null until the connection is registered. */
    private SelectionKey selectionKey;

    private State state;
    private int unsentBytes;
    private boolean isReadPaused;

    /** Whether the peer has closed its side. */
    private boolean isPeerClosed;

    /** Closes the connection if the graceful close takes too long; null before that starts. */
    private EventLoop.Timer gracefulCloseTimer;

    TcpConnection(EventLoop loop, SocketChannel channel, int maxUnsentBytes, Listener listener) {
        this.loop = loop;
        this.channel = channel;
        this.maxUnsentBytes = maxUnsentBytes;
        this.listener = listener;
        this.state = channel.isConnected() ? State.OPEN : State.CONNECTING;
    }

    /** Registers the channel with the selector, and this connection as its handler. */
    void register(Selector selector, int interestOps) throws IOException {
        selectionKey = channel.register(selector, interestOps, this);
    }

    /** Returns whether the connection is not closed. It may still be connecting or closing. */
    public boolean isOpen() {
        return state != State.CLOSED;
    }

    /** Returns the number of bytes that are queued to be sent. */
    public int unsentBytes() {
        return unsentBytes;
    }

    /**
     * Sends bytes at once or queues them until the peer reads.
     *
     * @return false if the connection is closed, or is closed now because the queue exceeds its
     *     limit
     */
    public boolean write(byte[] buffer) {
        return write(ByteBuffer.wrap(buffer));
    }

    /**
     * Sends the remaining bytes of a buffer at once or queues them. The caller must not use the
     * buffer afterwards.
     *
     * @return false if the connection is closed, or is closed now because the queue exceeds its
     *     limit
     */
    public boolean write(ByteBuffer buffer) {
        if (!isOpen()) {
            return false;
        }
        unsentBytes += buffer.remaining();
        writeQueue.add(buffer);
        if (isConnected()) {
            flush();
        }
        if (isOpen() && unsentBytes > maxUnsentBytes) {
            close("peer does not read: " + unsentBytes + " bytes queued, limit " + maxUnsentBytes);
        }
        return isOpen();
    }

    /** Pauses or resumes reading from the peer. */
    public void setReadPaused(boolean isPaused) {
        this.isReadPaused = isPaused;
        updateInterestOps();
    }

    /**
     * Closes the connection once all bytes are sent and the peer has closed its side. Bytes that
     * the peer still sends are read and discarded, because closing with unread bytes would reset
     * the connection and could destroy bytes in transit.
     *
     * @param timeoutMillis time after which the connection is closed in any case, ms
     */
    public void closeGracefully(double timeoutMillis) {
        if (isOpen() && gracefulCloseTimer == null) {
            gracefulCloseTimer =
                    loop.schedule(timeoutMillis, () -> close("graceful close timed out"));
            if (state == State.OPEN) {
                state = State.CLOSING;
            }
            flush();
        }
    }

    /** Returns whether a graceful close was started. The value stays true after the close. */
    public boolean isClosingGracefully() {
        return gracefulCloseTimer != null;
    }

    /** Closes the connection. Queued bytes are not sent. */
    public void close() {
        close("closed locally");
    }

    /** Closes the connection with a reset, as a crash of this process would. */
    public void reset() {
        try {
            channel.setOption(StandardSocketOptions.SO_LINGER, 0);
        } catch (IOException e) {
            // without the option the peer sees an orderly close
        }
        close("reset locally");
    }

    /** Completes a connect that {@link EventLoop#connect} started. */
    void finishConnect() {
        if (state == State.CONNECTING) {
            try {
                if (channel.finishConnect()) {
                    state = isClosingGracefully() ? State.CLOSING : State.OPEN;
                    updateInterestOps();
                    listener.onConnected(this);
                    flush();
                }
            } catch (IOException e) {
                close("cannot connect: " + e.getMessage());
            }
        }
    }

    /** Closes the connection and passes the reason to the listener. */
    public void close(String reason) {
        if (isOpen()) {
            state = State.CLOSED;
            writeQueue.clear();
            unsentBytes = 0;
            if (gracefulCloseTimer != null) {
                gracefulCloseTimer.cancel();
            }
            try {
                channel.close();
            } catch (IOException e) {
                // the file descriptor is released nevertheless
            }
            listener.onClosed(this, reason);
        }
    }

    @Override
    public void onReady(SelectionKey key) {
        try {
            if (key.isConnectable()) {
                finishConnect();
                return;
            }
            if (key.isWritable()) {
                flush();
            }
            if (isOpen() && key.isReadable()) {
                read();
            }
        } catch (IOException e) {
            close("connection failed: " + e.getMessage());
        }
    }

    private void read() throws IOException {
        ByteBuffer buffer = loop.readBuffer().clear();
        int bytesRead = channel.read(buffer);
        if (bytesRead < 0) {
            isPeerClosed = true;
            if (writeQueue.isEmpty()
                    || !isClosingGracefully() && !listener.sendsQueuedBytesAfterPeerClose(this)) {
                close("closed by peer");
            } else {
                closeGracefully(PEER_CLOSE_TIMEOUT_MILLIS);
                updateInterestOps();
            }
        } else if (bytesRead > 0 && !isClosingGracefully()) {
            buffer.flip();
            listener.onReceived(this, buffer);
        }
    }

    private void flush() {
        try {
            while (isOpen() && !writeQueue.isEmpty()) {
                ByteBuffer firstBuffer = writeQueue.peek();
                unsentBytes -= channel.write(firstBuffer);
                if (firstBuffer.hasRemaining()) {
                    break;
                }
                writeQueue.poll();
            }
        } catch (IOException e) {
            close("connection failed: " + e.getMessage());
        }
        if (isOpen() && isClosingGracefully() && writeQueue.isEmpty()) {
            if (isPeerClosed) {
                close();
            } else {
                shutdownOutput();
            }
        }
        updateInterestOps();
    }

    private void shutdownOutput() {
        try {
            channel.shutdownOutput();
        } catch (IOException e) {
            close("connection failed: " + e.getMessage());
        }
    }

    private boolean isConnected() {
        return state == State.OPEN || state == State.CLOSING;
    }

    private void updateInterestOps() {
        if (isConnected() && selectionKey != null && selectionKey.isValid()) {
            int interestOps =
                    (isReadPaused || isPeerClosed ? 0 : SelectionKey.OP_READ)
                            | (writeQueue.isEmpty() ? 0 : SelectionKey.OP_WRITE);
            if (selectionKey.interestOps() != interestOps) {
                selectionKey.interestOps(interestOps);
            }
        }
    }

    /** Returns the event loop of the connection. */
    public EventLoop loop() {
        return loop;
    }
}
