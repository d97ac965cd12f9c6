package sprucelanding.runtime.eventloop;

import java.io.IOException;
import java.nio.channels.SelectionKey;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.function.Consumer;

/** A handler that accepts connections of a server socket, and pauses after accepting fails. */
final class ConnectionAcceptor implements SelectionHandler {
    /** Bounded because the descriptors of closed channels are released only by the next select. */
    private static final int MAX_ACCEPTS_PER_ROUND = 16;

    /** Pause after accepting failed because no file descriptor is left. */
    private static final double ACCEPT_PAUSE_MILLIS = 50;

    private final EventLoop loop;
    private final ServerSocketChannel server;
    private final Consumer<SocketChannel> acceptHandler;

    ConnectionAcceptor(
            EventLoop loop, ServerSocketChannel server, Consumer<SocketChannel> acceptHandler) {
        this.loop = loop;
        this.server = server;
        this.acceptHandler = acceptHandler;
    }

    @Override
    public void onReady(SelectionKey key) {
        try {
            acceptPendingConnections();
        } catch (IOException e) {
            // no file descriptor is left: without a pause, the waiting connections would wake the
            // selector again and again
            pause(key);
        }
    }

    private void acceptPendingConnections() throws IOException {
        for (int accepted = 0; accepted < MAX_ACCEPTS_PER_ROUND; accepted++) {
            SocketChannel channel = server.accept();
            if (channel == null) {
                return;
            }
            acceptHandler.accept(channel);
        }
    }

    private void pause(SelectionKey key) {
        key.interestOps(0);
        loop.schedule(ACCEPT_PAUSE_MILLIS, () -> resume(key));
    }

    private static void resume(SelectionKey key) {
        if (key.isValid()) {
            key.interestOps(SelectionKey.OP_ACCEPT);
        }
    }
}
