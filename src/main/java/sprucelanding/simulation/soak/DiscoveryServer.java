package sprucelanding.simulation.soak;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import sprucelanding.runtime.eventloop.EventLoop;
import sprucelanding.runtime.eventloop.TcpConnection;

/**
 * The simulated discovery service of one governor. The server answers a watch with lines in HTTP
 * chunks, and can stop writing or reset the connection. A server is used only on the soak's event
 * loop. Times are in milliseconds.
 */
final class DiscoveryServer {
    /** Limit of the queued bytes that a governor has not read, beyond which the watch is closed. */
    static final int MAX_UNSENT_BYTES = 1 << 20;

    /** Interval at which an empty line is sent to keep the watch alive. */
    private static final double KEEP_ALIVE_INTERVAL_MS = 2000;

    /** Time after which a change counts as reported even if it has not been sent. */
    private static final double REPORT_DELAY_LIMIT_MS = 6000;

    private static final String END_OF_HEADER = "\r\n\r\n";
    private static final String REVISION_PARAMETER = "index=";
    private static final String RESPONSE_HEADER =
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

    /** The start of a chunk that is never completed. */
    private static final String INCOMPLETE_CHUNK = "30\r\n{\"rev\":";

    private final EventLoop loop;
    private final SoakEndpoints endpoints;
    private Watch watch;
    private boolean isSilent;
    private double processStartedAt;

    /** Times at which removals were reported to the current governor process, by endpoint. */
    private final Map<String, Double> reportedAtById = new HashMap<>();

    DiscoveryServer(EventLoop loop, SoakEndpoints endpoints) {
        this.loop = loop;
        this.endpoints = endpoints;
        loop.scheduleWithFixedDelay(KEEP_ALIVE_INTERVAL_MS, () -> send("\n"));
    }

    /** Returns the listener of a new connection, whose watch replaces the previous one. */
    TcpConnection.Listener newWatch() {
        return new Watch();
    }

    /** Clears the reported removals because a new governor process knows only its configuration. */
    void onProcessStarted(double now) {
        reportedAtById.clear();
        processStartedAt = now;
    }

    /** Sends the changes since the last report to the watch. */
    void publish() {
        if (watch != null && !isSilent) {
            watch.sendChanges();
        }
    }

    /** Stops writing to the watch and keeps its connection open. */
    void pause() {
        isSilent = true;
    }

    /** Resumes writing and sends the changes that were held back. */
    void resume() {
        isSilent = false;
        publish();
    }

    /** Resets the watch's connection in the middle of a line. */
    void reset() {
        if (watch != null) {
            Watch broken = watch;
            watch = null;
            broken.currentConnection.write(INCOMPLETE_CHUNK.getBytes(StandardCharsets.US_ASCII));
            broken.currentConnection.reset();
        }
    }

    /**
     * Returns the time at which the removal of an endpoint counts as reported to the governor.
     * Returns infinity if the endpoint is ready.
     */
    double removalReportedAt(SoakEndpoints.Change endpoint) {
        if (endpoint.state() == SoakEndpoints.State.READY) {
            return Double.POSITIVE_INFINITY;
        }
        double latestReportAt =
                Math.max(processStartedAt, endpoint.changedAt()) + REPORT_DELAY_LIMIT_MS;
        return Math.min(
                reportedAtById.getOrDefault(endpoint.uid(), latestReportAt), latestReportAt);
    }

    private void send(String text) {
        if (watch != null && !isSilent) {
            watch.writeChunk(text);
        }
    }

    private final class Watch implements TcpConnection.Listener {
        private final StringBuilder request = new StringBuilder();
        private TcpConnection currentConnection;
        private OptionalLong revision = OptionalLong.empty();
        private boolean hasAnswered;

        @Override
        public void onReceived(TcpConnection connection, ByteBuffer input) {
            currentConnection = connection;
            request.append(StandardCharsets.US_ASCII.decode(input));
            if (!hasAnswered && request.indexOf(END_OF_HEADER) >= 0) {
                hasAnswered = true;
                watch = this;
                revision = requestedRevision();
                connection.write(RESPONSE_HEADER.getBytes(StandardCharsets.US_ASCII));
                writeChunk("\n");
                publish();
            }
        }

        /** Returns the revision in the request; empty if the governor has no revision. */
        private OptionalLong requestedRevision() {
            int index = request.indexOf(REVISION_PARAMETER);
            if (index < 0) {
                return OptionalLong.empty();
            }
            String rest = request.substring(index + REVISION_PARAMETER.length());
            long requested = Long.parseLong(rest.substring(0, rest.indexOf(' ')));
            return requested < 0 ? OptionalLong.empty() : OptionalLong.of(requested);
        }

        void sendChanges() {
            boolean isFullList = revision.isEmpty();
            List<SoakEndpoints.Change> changes = endpoints.responseSince(revision);
            if (!isFullList && changes.isEmpty()) {
                return;
            }
            revision = OptionalLong.of(endpoints.revision());
            writeChunk(endpoints.json(changes, isFullList) + "\n");
            // The removal of an endpoint that has returned is reported anew.
            endpoints.ready().forEach(endpoint -> reportedAtById.remove(endpoint.uid()));
            // An endpoint that is missing from a full list counts as removed.
            for (SoakEndpoints.Change change : isFullList ? endpoints.removed() : changes) {
                if (change.state() != SoakEndpoints.State.READY) {
                    reportedAtById.putIfAbsent(change.uid(), EventLoop.nowMillis());
                }
            }
        }

        private void writeChunk(String text) {
            currentConnection.write(
                    (Integer.toHexString(text.length()) + "\r\n" + text + "\r\n")
                            .getBytes(StandardCharsets.US_ASCII));
        }

        @Override
        public void onClosed(TcpConnection connection, String reason) {
            watch = watch == this ? null : watch;
        }
    }
}
