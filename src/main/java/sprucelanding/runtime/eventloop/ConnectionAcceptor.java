package sprucelanding.runtime.eventloop;

import java.io.IOException;
import java.nio.channels.SelectionKey;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.function.Consumer;

/** Accepts the connections of a server socket, and pauses where accepting fails. */
final class ConnectionAcceptor implements SelectionHandler {
    /** A bound, as a closed channel's descriptor is released by the next select only. */
    private static final int MAX_ACCEPTS_PER_ROUND = 16;

    /** How long to pause when no descriptor is left, ms. */
    private static final double PAUSE_MILLIS = 50;

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
            acceptWaiting();
        } catch (IOException e) {
            // no descriptor is left: what waits would wake the selector again and again
            pause(key);
        }
    }

    private void acceptWaiting() throws IOException {
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
        loop.schedule(PAUSE_MILLIS, () -> resume(key));
    }

    private static void resume(SelectionKey key) {
        if (key.isValid()) {
            key.interestOps(SelectionKey.OP_ACCEPT);
        }
    }
}
