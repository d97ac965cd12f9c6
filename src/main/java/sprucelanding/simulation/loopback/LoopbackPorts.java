package sprucelanding.simulation.loopback;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * An allocator of free loopback ports for parties that listen later. The ports are below the
 * ephemeral range, from which the operating system takes the ports of outgoing connections.
 * Thread-safe.
 */
public final class LoopbackPorts {
    private static final int FIRST_PORT = 15_000;
    private static final int PORT_COUNT = 17_000;

    /** The distance between the first ports of two processes with consecutive process ids. */
    private static final int PORTS_PER_PROCESS = 211;

    private static final AtomicInteger NEXT_OFFSET =
            new AtomicInteger(
                    (int) (ProcessHandle.current().pid() * PORTS_PER_PROCESS % PORT_COUNT));

    private LoopbackPorts() {}

    /**
     * Returns a port that is free now, and that has not been returned recently in this process.
     *
     * @throws IOException if no port is free
     */
    public static int findFree() throws IOException {
        for (int i = 0; i < PORT_COUNT; i++) {
            int port = FIRST_PORT + Math.floorMod(NEXT_OFFSET.getAndIncrement(), PORT_COUNT);
            try (ServerSocket socket =
                    new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
                return socket.getLocalPort();
            } catch (IOException e) {
                // the port is in use: try the next port
            }
        }
        throw new IOException(
                "no free loopback port among the " + PORT_COUNT + " ports from " + FIRST_PORT);
    }
}
