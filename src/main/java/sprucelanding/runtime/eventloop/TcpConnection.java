package sprucelanding.runtime.eventloop;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import java.util.ArrayDeque;

/**
 * A connection on a loop. What its peer does not read waits up to a bound, past which the
 * connection is closed.
 */
public final class TcpConnection implements EventLoop.SelectionHandler {
    /** Called on the loop's thread. */
    public interface Listener {
        default void onConnected(TcpConnection connection) {}

        /** The buffer is the loop's: what is left in it is gone after the call. */
        void onReceived(TcpConnection connection, ByteBuffer buffer) throws IOException;

        /**
         * The peer has ended its side. True if what waits for it is still to be sent; false: the
         * connection is over.
         */
        default boolean drainsAfterPeerClose(TcpConnection connection) {
            return false;
        }

        /** Once; for a dialled connection also if it never came about. */
        default void onClosed(TcpConnection connection, String reason) {}
    }

    private static final double PEER_CLOSE_DRAIN_MILLIS =
            1000; // ms for what a peer is owed that has ended its side

    private final EventLoop loop;
    private final SocketChannel channel;
    private final int maxUnsentBytes;
    private final Listener listener;
    private final ArrayDeque<ByteBuffer> writeQueue = new ArrayDeque<>(1);
    SelectionKey selectionKey;
    private int unsentBytes;
    private boolean isOpen = true;
    private boolean connected;
    private boolean finishing;
    private boolean readPaused;

    /** Its peer has ended its side. */
    private boolean peerClosed;

    /** Until when a connection that finishes may take. */
    private EventLoop.Timer finishTimer;

    TcpConnection(EventLoop loop, SocketChannel channel, int maxUnsentBytes, Listener listener) {
        this.loop = loop;
        this.channel = channel;
        this.maxUnsentBytes = maxUnsentBytes;
        this.listener = listener;
        this.connected = channel.isConnected();
    }

    public boolean isOpen() {
        return isOpen;
    }

    /** Bytes that wait for the peer. */
    public int unsentBytes() {
        return unsentBytes;
    }

    /**
     * Sends, now or as the peer reads; false if the connection is closed, or is now, for what
     * waits.
     */
    public boolean write(byte[] buffer) {
        return write(ByteBuffer.wrap(buffer));
    }

    public boolean write(ByteBuffer buffer) {
        if (!isOpen) {
            return false;
        }
        unsentBytes += buffer.remaining();
        writeQueue.add(buffer);
        if (connected) {
            flush();
        }
        if (isOpen && unsentBytes > maxUnsentBytes) {
            close("the peer does not read: " + unsentBytes + " bytes wait");
        }
        return isOpen;
    }

    /** Stops or goes on reading from the peer. */
    public void setReadPaused(boolean paused) {
        this.readPaused = paused;
        updateInterestOps();
    }

    /**
     * Closes once all has been sent and the peer has closed, or after so many ms. What the peer
     * still says is read and dropped: closed over unread bytes, the connection would be reset, and
     * that can destroy what is on its way.
     */
    public void finish(double timeoutMillis) {
        if (isOpen && finishTimer == null) {
            finishTimer = loop.schedule(timeoutMillis, () -> close("not taken in time"));
            finishing = true;
            flush();
        }
    }

    /** Whether it only waits for its end. */
    public boolean isFinishing() {
        return finishing;
    }

    public void close() {
        close("closed here");
    }

    /** Closes as a crash does: the peer sees a reset. */
    public void reset() {
        try {
            channel.setOption(java.net.StandardSocketOptions.SO_LINGER, 0);
        } catch (IOException e) {
            // it is closed anyway
        }
        close("reset here");
    }

    void finishConnect() {
        if (isOpen && !connected) {
            try {
                if (channel.finishConnect()) {
                    connected = true;
                    updateInterestOps();
                    listener.onConnected(this);
                    flush();
                }
            } catch (IOException e) {
                close("cannot connect: " + e.getMessage());
            }
        }
    }

    /** Closes it for that reason. */
    public void close(String reason) {
        if (isOpen) {
            isOpen = false;
            writeQueue.clear();
            unsentBytes = 0;
            if (finishTimer != null) {
                finishTimer.cancel();
            }
            try {
                channel.close();
            } catch (IOException e) {
                // nothing is left to do with it
            }
            listener.onClosed(this, reason);
        }
    }

    @Override
    public void onReady(SelectionKey selectionKey) {
        try {
            if (selectionKey.isConnectable()) {
                finishConnect();
                return;
            }
            if (selectionKey.isWritable()) {
                flush();
            }
            if (isOpen && selectionKey.isReadable()) {
                read();
            }
        } catch (IOException e) {
            close("broken: " + e.getMessage());
        }
    }

    private void read() throws IOException {
        ByteBuffer buffer = loop.readBuffer.clear();
        int bytesRead = channel.read(buffer);
        if (bytesRead < 0) {
            peerClosed = true;
            if (writeQueue.isEmpty() || !finishing && !listener.drainsAfterPeerClose(this)) {
                close("closed by the peer");
            } else {
                finish(PEER_CLOSE_DRAIN_MILLIS);
                updateInterestOps();
            }
        } else if (bytesRead > 0 && !finishing) {
            buffer.flip();
            listener.onReceived(this, buffer);
        }
    }

    private void flush() {
        try {
            while (isOpen && !writeQueue.isEmpty()) {
                ByteBuffer head = writeQueue.peek();
                unsentBytes -= channel.write(head);
                if (head.hasRemaining()) {
                    break;
                }
                writeQueue.poll();
            }
        } catch (IOException e) {
            close("broken: " + e.getMessage());
        }
        if (isOpen && finishing && writeQueue.isEmpty()) {
            if (peerClosed) {
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
            close("broken: " + e.getMessage());
        }
    }

    private void updateInterestOps() {
        if (isOpen && connected && selectionKey != null && selectionKey.isValid()) {
            int interestOps =
                    (readPaused || peerClosed ? 0 : SelectionKey.OP_READ)
                            | (writeQueue.isEmpty() ? 0 : SelectionKey.OP_WRITE);
            if (selectionKey.interestOps() != interestOps) {
                selectionKey.interestOps(interestOps);
            }
        }
    }

    public EventLoop loop() {
        return loop;
    }
}
