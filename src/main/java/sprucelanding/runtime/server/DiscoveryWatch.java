package sprucelanding.runtime.server;

import com.eclipsesource.json.Json;
import com.eclipsesource.json.JsonObject;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import sprucelanding.runtime.eventloop.EventLoop;
import sprucelanding.runtime.eventloop.HttpParser;
import sprucelanding.runtime.eventloop.TcpConnection;

/**
 * The watch on discovery: one long response of lines, each a list or empty. It is connected again
 * whenever it ends or falls silent, from the last revision that was applied, or for the whole list
 * after one that could not be used. Event loop's thread only.
 *
 * <table>
 * <caption>States of the watch</caption>
 * <tr><th>State</th><th>Deadline</th><th>Next state</th></tr>
 * <tr><td>connecting</td><td>{@link #FIRST_RESPONSE_TIMEOUT_MILLIS}</td>
 *     <td>watching, with the first bytes; waiting, if it ends; connecting anew, at the deadline or
 *     with another address</td></tr>
 * <tr><td>watching</td><td>{@link #IDLE_TIMEOUT_MILLIS} after the last bytes</td>
 *     <td>waiting, if it ends, also for a list that cannot be used; connecting, at the deadline or
 *     with another address</td></tr>
 * <tr><td>waiting</td><td>{@link #RECONNECT_DELAY_MILLIS}</td><td>connecting</td></tr>
 * </table>
 */
final class DiscoveryWatch {
    /** Where lists go. */
    interface ListHandler {
        /**
         * Applies a list.
         *
         * @return false if part of it could not be used; the whole list is requested then
         * @throws RuntimeException if it could not be applied; the whole list is requested then
         */
        boolean onList(JsonObject list);

        /** The revision to go on from; below 0 to request the whole list. */
        long revision();
    }

    private static final int MAX_UNSENT_BYTES = 4096;
    private static final int MAX_LINE_BYTES = 4 << 20;

    /** ms from connecting to the first bytes. */
    private static final double FIRST_RESPONSE_TIMEOUT_MILLIS = 700;

    /** ms without bytes; discovery sends an empty line at least every 2 s. */
    private static final double IDLE_TIMEOUT_MILLIS = 2700;

    /** ms until it is connected again once it has ended. */
    private static final double RECONNECT_DELAY_MILLIS = 150;

    private static final String WATCH_TARGET = "/v1/endpoints?stream=1";
    private static final String REVISION_PARAMETER = "&index=";
    private static final long WHOLE_LIST = -1;
    private static final int STATUS_OK = 200;

    private final EventLoop loop;
    private final ListHandler listHandler;
    private final EventLog eventLog;
    private InetSocketAddress address;
    private WatchConnection current;
    private EventLoop.Timer timer;

    /** The last list could not be used, and the whole one is needed. */
    private boolean fullListNeeded;

    /** Whether it is watching, for the log. */
    private boolean available;

    /** Creates a watch that is not connected. */
    DiscoveryWatch(
            EventLoop loop, InetSocketAddress address, ListHandler listHandler, EventLog eventLog) {
        this.loop = loop;
        this.address = address;
        this.listHandler = listHandler;
        this.eventLog = eventLog;
    }

    /** Connects. */
    void start() {
        current = new WatchConnection();
        restartTimeout(FIRST_RESPONSE_TIMEOUT_MILLIS);
        current.connect();
    }

    /** Discovery is at another address from now on. */
    void moveTo(InetSocketAddress newAddress) {
        if (!newAddress.equals(address)) {
            address = newAddress;
            reconnect();
        }
    }

    private void reconnect() {
        WatchConnection previous = current;
        start();
        if (previous.connection != null) {
            previous.connection.close();
        }
    }

    private void restartTimeout(double timeoutMillis) {
        if (timer != null) {
            timer.cancel();
        }
        timer =
                loop.schedule(
                        timeoutMillis,
                        () -> {
                            updateAvailability(false, "silent");
                            reconnect();
                        });
    }

    private void updateAvailability(boolean nowAvailable, String reason) {
        if (available != nowAvailable) {
            available = nowAvailable;
            if (nowAvailable) {
                eventLog.log(
                        new LogLine(ServerEvent.DISCOVERY_CONNECTED)
                                .with("revision", listHandler.revision()));
            } else {
                eventLog.log(ServerEvent.DISCOVERY_LOST, reason);
            }
        }
    }

    /** One connection; once it is not the current one, what comes on it counts for nothing. */
    private final class WatchConnection implements TcpConnection.Listener {
        private final HttpParser parser =
                new HttpParser(this::onHead).streamBodiesTo(this::onBodyPart);
        private final ByteArrayOutputStream line = new ByteArrayOutputStream();
        private TcpConnection connection;

        void connect() {
            try {
                connection = loop.connect(address, null, MAX_UNSENT_BYTES, this);
            } catch (UncheckedIOException e) {
                scheduleReconnect(e.getMessage());
            }
        }

        @Override
        public void onConnected(TcpConnection connection) {
            long revision = fullListNeeded ? WHOLE_LIST : listHandler.revision();
            connection.write(
                    HttpParser.request(
                            "GET",
                            revision < 0
                                    ? WATCH_TARGET
                                    : WATCH_TARGET + REVISION_PARAMETER + revision));
        }

        @Override
        public void onReceived(TcpConnection connection, ByteBuffer buffer) throws IOException {
            if (current == this) {
                restartTimeout(IDLE_TIMEOUT_MILLIS);
                parser.parse(buffer);
            }
        }

        private void onHead(HttpParser.Message response) {
            if (response.status() != STATUS_OK) {
                connection.close("it answers " + response.status());
            }
        }

        private void onBodyPart(byte[] part) {
            int start = 0;
            while (start < part.length && current == this) {
                int end = start;
                while (end < part.length && part[end] != '\n') {
                    end++;
                }
                line.write(part, start, end - start);
                start = end + 1;
                if (end < part.length) {
                    String text = line.toString(StandardCharsets.UTF_8).trim();
                    line.reset();
                    handleLine(text);
                } else if (line.size() > MAX_LINE_BYTES) {
                    connection.close("a line without an end");
                }
            }
        }

        private void handleLine(String text) {
            updateAvailability(true, "");
            if (text.isEmpty()) {
                return;
            }
            try {
                if (listHandler.onList(Json.parse(text).asObject())) {
                    fullListNeeded = false;
                    return;
                }
                eventLog.log(ServerEvent.DISCOVERY_LIST_INCOMPLETE);
            } catch (RuntimeException
                    | StackOverflowError e) { // whatever it is: it was not applied
                eventLog.log(ServerEvent.DISCOVERY_LIST_UNUSABLE, e.getMessage());
            }
            fullListNeeded = true;
            connection.close("spoilt");
        }

        @Override
        public void onClosed(TcpConnection connection, String reason) {
            scheduleReconnect(reason);
        }

        private void scheduleReconnect(String reason) {
            if (current == this) {
                updateAvailability(false, reason);
                timer.cancel();
                timer = loop.schedule(RECONNECT_DELAY_MILLIS, DiscoveryWatch.this::start);
            }
        }
    }
}
