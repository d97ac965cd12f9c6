package sprucelanding.simulation.soak;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import sprucelanding.runtime.eventloop.EventLoop;
import sprucelanding.runtime.eventloop.TcpConnection;

/**
 * Discovery as one governor reaches it: a watch with chunked lines, which can fall silent or be
 * reset.
 */
final class DiscoveryServer {
    private static final int MAX_UNREAD_BYTES = 1 << 20;
    private static final double KEEP_ALIVE = 2000; // ms between empty lines
    private static final double REPORT_DELAY_LIMIT =
            6000; // ms after which a change counts as told, whether it arrived or not

    private final EventLoop loop;
    private final SoakEndpoints list;
    private Watch watch;
    private boolean silent;
    private double processStartedAt;

    /** When the present governor process was told of each removal. */
    private final Map<String, Double> reportedAtById = new HashMap<>();

    DiscoveryServer(EventLoop loop, SoakEndpoints list) {
        this.loop = loop;
        this.list = list;
        loop.scheduleWithFixedDelay(KEEP_ALIVE, () -> send("\n"));
    }

    /** Each connection is a watch; the newest one counts. */
    TcpConnection.Listener accepted() {
        return new Watch();
    }

    /** A new governor process knows only what its configuration holds. */
    void processStarted(double now) {
        reportedAtById.clear();
        processStartedAt = now;
    }

    /** Tells the watch what has changed since it was last told. */
    void publish() {
        if (watch != null && !silent) {
            watch.sendEntries();
        }
    }

    void silence(boolean silent) {
        this.silent = silent;
        publish();
    }

    /** Resets the watch behind half of a line. */
    void reset() {
        if (watch != null) {
            Watch broken = watch;
            watch = null;
            broken.currentConnection.write("30\r\n{\"rev\":".getBytes(StandardCharsets.US_ASCII));
            broken.currentConnection.reset();
        }
    }

    /**
     * When its governor counts as told that the endpoint is removed; infinite if it is not, or not
     * yet.
     */
    double removalReportedAt(SoakEndpoints.Change endpoint) {
        if (endpoint.state() == SoakEndpoints.State.READY) {
            return Double.POSITIVE_INFINITY;
        }
        double deemed = Math.max(processStartedAt, endpoint.changedAt()) + REPORT_DELAY_LIMIT;
        return Math.min(reportedAtById.getOrDefault(endpoint.uid(), deemed), deemed);
    }

    private void send(String text) {
        if (watch != null && !silent) {
            watch.chunk(text);
        }
    }

    private final class Watch implements TcpConnection.Listener {
        private final StringBuilder request = new StringBuilder();
        private TcpConnection currentConnection;
        private long revision = -1;
        private boolean answered;

        @Override
        public void onReceived(TcpConnection connection, ByteBuffer input) {
            currentConnection = connection;
            request.append(StandardCharsets.US_ASCII.decode(input));
            if (!answered && request.indexOf("\r\n\r\n") >= 0) {
                answered = true;
                watch = this;
                int index = request.indexOf("index=");
                if (index >= 0) {
                    String rest = request.substring(index + "index=".length());
                    revision = Long.parseLong(rest.substring(0, rest.indexOf(' ')));
                }
                connection.write(
                        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                                .getBytes(StandardCharsets.US_ASCII));
                chunk("\n");
                publish();
            }
        }

        void sendEntries() {
            boolean whole = revision < 0;
            List<SoakEndpoints.Change> entries = list.responseSince(revision);
            if (!whole && entries.isEmpty()) {
                return;
            }
            revision = list.revision();
            chunk(list.json(entries, whole) + "\n");
            // what a whole list does not name is gone
            (whole ? list.removed() : entries)
                    .stream()
                            .filter(change -> change.state() != SoakEndpoints.State.READY)
                            .forEach(
                                    change ->
                                            reportedAtById.putIfAbsent(
                                                    change.uid(), EventLoop.nowMillis()));
        }

        private void chunk(String text) {
            currentConnection.write(
                    (Integer.toHexString(text.length()) + "\r\n" + text + "\r\n")
                            .getBytes(StandardCharsets.US_ASCII));
        }

        @Override
        public void onClosed(TcpConnection connection, String reason) {
            watch = watch == this ? null : watch;
        }
    }

    static int unread() {
        return MAX_UNREAD_BYTES;
    }
}
