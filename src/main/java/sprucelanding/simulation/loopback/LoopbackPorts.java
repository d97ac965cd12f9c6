package sprucelanding.simulation.loopback;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Finds free loopback ports for parties that listen later, below the ephemeral range from which the
 * system takes the ports of outgoing connections. Thread-safe.
 */
public final class LoopbackPorts {
    private static final int FIRST_PORT = 15_000;
    private static final int PORT_COUNT = 17_000;

    /** Keeps the ranges of processes that start one after the other apart. */
    private static final int PORTS_PER_PROCESS = 211;

    private static final AtomicInteger NEXT_OFFSET =
            new AtomicInteger(
                    (int) (ProcessHandle.current().pid() * PORTS_PER_PROCESS % PORT_COUNT));

    private LoopbackPorts() {}

    /**
     * A port that is free now, and that this process has not been given lately.
     *
     * @throws IOException if there is none
     */
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
