package sprucelanding.simulation.soak;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import sprucelanding.runtime.eventloop.HttpParser;
import sprucelanding.runtime.eventloop.TcpConnection;

/** A listener that immediately answers each health check with a CPU share of 0.5. */
final class HealthCheckResponder implements TcpConnection.Listener {
    private static final byte[] BODY = "TEXT cpu_share=0.5".getBytes(StandardCharsets.US_ASCII);
    private static final int CLOSE_TIMEOUT_MS = 1000;

    @Override
    public void onReceived(TcpConnection connection, ByteBuffer input) {
        connection.write(HttpParser.response(200, BODY, "Connection", "close"));
        connection.closeGracefully(CLOSE_TIMEOUT_MS);
    }
}
