package sprucelanding.simulation.loopback;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Loopback ports for those that listen later: below the range from which connections that are
 * dialled take theirs.
 */
public final class LoopbackPorts {
    private static final int FIRST_PORT = 15_000;
    private static final int PORT_COUNT = 17_000;
    private static final AtomicInteger NEXT_OFFSET =
            new AtomicInteger((int) (ProcessHandle.current().pid() * 211 % PORT_COUNT));

    private LoopbackPorts() {}

    public static int findFree() throws IOException {
        for (int i = 0; i < PORT_COUNT; i++) {
            int port = FIRST_PORT + Math.floorMod(NEXT_OFFSET.getAndIncrement(), PORT_COUNT);
            try (ServerSocket socket =
                    new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
                return socket.getLocalPort();
            } catch (IOException e) {
                // taken: the next one
            }
        }
        throw new IOException("no loopback port is free");
    }
}
