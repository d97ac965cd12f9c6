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
 * The watch on discovery's endpoint list. The watch is one long HTTP response of lines; each line
 * is a list, changes of it, or empty. When the response ends or discovery is silent for too long,
 * the watch reconnects and resumes from the last revision that was applied. After a list that could
 * not be applied, it requests the whole list. The watch is used on the event loop's thread only.
 *
 * <table>
 * <caption>States of the watch</caption>
 * <tr><th>State</th><th>Deadline</th><th>Next state</th></tr>
 * <tr><td>connecting</td><td>{@link #FIRST_RESPONSE_TIMEOUT_MILLIS}</td>
 *     <td>watching: on the first bytes; waiting: when the connection ends; connecting again: at the
 *     deadline or when the address changes</td></tr>
 * <tr><td>watching</td><td>{@link #IDLE_TIMEOUT_MILLIS} after the last bytes</td>
 *     <td>waiting: when the connection ends, also because of a list that cannot be applied;
 *     connecting: at the deadline or when the address changes</td></tr>
 * <tr><td>waiting</td><td>{@link #RECONNECT_DELAY_MILLIS}</td><td>connecting: at the
 *     deadline</td></tr>
 * </table>
 */
final class DiscoveryWatch {
    /** A receiver of the lists. */
    interface ListHandler {
        /**
         * Applies a list.
         *
         * @return false if some entries were malformed; the watch requests the whole list then
         * @throws RuntimeException if the list could not be applied; the watch requests the whole
         *     list then
         */
        boolean onList(JsonObject list);

        /**
         * Returns whether entries have not been applied because discovery is behind what it told
         * before. The watch requests the whole list again later.
         */
        default boolean hasWithheldEntries() {
            return false;
        }

        /** Returns the revision to resume from; below 0 to request the whole list. */
        long revision();
    }

    private static final int MAX_UNSENT_BYTES = 4096;
    private static final int MAX_LINE_BYTES = 4 << 20;

    /** Time from the start of connecting to the first bytes. */
    private static final double FIRST_RESPONSE_TIMEOUT_MILLIS = 700;

    /** Time without bytes; discovery sends an empty line at least every 2 s. */
    private static final double IDLE_TIMEOUT_MILLIS = 2700;

    /** Time between the end of a connection and the next attempt to connect. */
    private static final double RECONNECT_DELAY_MILLIS = 150;

    private static final String WATCH_TARGET = "/v1/endpoints?stream=1";
    private static final String REVISION_PARAMETER = "&index=";
    private static final long WHOLE_LIST = -1;
    private static final int STATUS_OK = 200;

    private final EventLoop loop;
    private final ListHandler listHandler;
    private final EventLog eventLog;
    private InetSocketAddress address;
    private WatchConnection currentConnection;
    private EventLoop.Timer timer;

    /** Requests the whole list again because entries were withheld; null if none were. */
    private EventLoop.Timer recheckTimer;

    /** Whether the last list could not be applied, so that the whole list has to be requested. */
    private boolean isFullListNeeded;

    /** Whether lines have been received on the current connection; only the log depends on it. */
    private boolean isWatching;

    /** Creates a watch that is not connected. */
    DiscoveryWatch(
            EventLoop loop, InetSocketAddress address, ListHandler listHandler, EventLog eventLog) {
        this.loop = loop;
        this.address = address;
        this.listHandler = listHandler;
        this.eventLog = eventLog;
    }

    /** Starts connecting. */
    void start() {
        currentConnection = new WatchConnection();
        restartTimeout(FIRST_RESPONSE_TIMEOUT_MILLIS);
        currentConnection.connect();
    }

    /** Sets discovery's address and reconnects if the address has changed. */
    void moveTo(InetSocketAddress newAddress) {
        if (!newAddress.equals(address)) {
            address = newAddress;
            reconnect();
        }
    }

    private void reconnect() {
        WatchConnection previous = currentConnection;
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
                            setWatching(false, "no data within the time limit");
                            reconnect();
                        });
    }

    private void scheduleRecheck() {
        if (recheckTimer == null && listHandler.hasWithheldEntries()) {
            recheckTimer = loop.schedule(EndpointDirectory.MAX_DISCOVERY_LAG_MILLIS, this::recheck);
        }
    }

    private void recheck() {
        recheckTimer = null;
        if (listHandler.hasWithheldEntries()) {
            isFullListNeeded = true;
            reconnect();
        }
    }

    private void setWatching(boolean nowWatching, String reason) {
        if (isWatching != nowWatching) {
            isWatching = nowWatching;
            if (nowWatching) {
                eventLog.log(
                        new LogLine(ServerEvent.DISCOVERY_CONNECTED)
                                .with("revision", listHandler.revision()));
            } else {
                eventLog.log(ServerEvent.DISCOVERY_LOST, reason);
            }
        }
    }

    /**
     * One connection of the watch. Its input is ignored once it is no longer the current
     * connection.
     */
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
            long revision = isFullListNeeded ? WHOLE_LIST : listHandler.revision();
            connection.write(
                    HttpParser.request(
                            "GET",
                            revision < 0
                                    ? WATCH_TARGET
                                    : WATCH_TARGET + REVISION_PARAMETER + revision));
        }

        @Override
        public void onReceived(TcpConnection connection, ByteBuffer buffer) throws IOException {
            if (currentConnection == this) {
                restartTimeout(IDLE_TIMEOUT_MILLIS);
                parser.parse(buffer);
            }
        }

        private void onHead(HttpParser.Message response) {
            if (response.status() != STATUS_OK) {
                connection.close("unexpected HTTP status " + response.status());
            }
        }

        /** Handles the lines of a part. Lines behind a list that was not applied are ignored. */
        private void onBodyPart(byte[] part) {
            int start = 0;
            while (start < part.length && currentConnection == this && connection.isOpen()) {
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
                    connection.close("a line exceeds " + MAX_LINE_BYTES + " bytes");
                }
            }
        }

        private void handleLine(String text) {
            setWatching(true, "");
            if (text.isEmpty()) {
                return;
            }
            try {
                if (listHandler.onList(Json.parse(text).asObject())) {
                    isFullListNeeded = false;
                    scheduleRecheck();
                    return;
                }
                eventLog.log(ServerEvent.DISCOVERY_LIST_INCOMPLETE);
            } catch (RuntimeException
                    | StackOverflowError e) { // any fault: the list was not applied
                eventLog.log(ServerEvent.DISCOVERY_LIST_UNUSABLE, e.getMessage());
            }
            isFullListNeeded = true;
            connection.close("a list could not be applied in full");
        }

        @Override
        public void onClosed(TcpConnection connection, String reason) {
            scheduleReconnect(reason);
        }

        private void scheduleReconnect(String reason) {
            if (currentConnection == this) {
                setWatching(false, reason);
                timer.cancel();
                timer = loop.schedule(RECONNECT_DELAY_MILLIS, DiscoveryWatch.this::start);
            }
        }
    }
}
