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
 * The watch on discovery: dialled again whenever it breaks or falls silent, from the last list that
 * was heard.
 */
final class DiscoveryWatch {
    /** Where lists go; throws Malformed for what is none. False asks for the whole list anew. */
    interface ListHandler {
        boolean onList(JsonObject list);

        /** The revision to go on from; below 0 for the whole list. */
        long revision();
    }

    private static final int MAX_UNSENT_BYTES = 4096;
    private static final int MAX_LINE_BYTES = 4 << 20;
    private static final double FIRST_RESPONSE_TIMEOUT_MILLIS =
            700; // ms until a watch that was dialled says its first word
    private static final double IDLE_TIMEOUT_MILLIS =
            2700; // ms without a word, an empty line every 2 s included
    private static final double RECONNECT_DELAY_MILLIS =
            150; // ms until it is dialled again, once it ended

    private final EventLoop loop;
    private final ListHandler listHandler;
    private final EventLog eventLog;
    private InetSocketAddress address;
    private WatchConnection current;
    private EventLoop.Timer timer;
    private boolean fullListNeeded;
    private boolean available;

    DiscoveryWatch(
            EventLoop loop, InetSocketAddress address, ListHandler listHandler, EventLog eventLog) {
        this.loop = loop;
        this.address = address;
        this.listHandler = listHandler;
        this.eventLog = eventLog;
    }

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

    /** One connection; once another is dialled, what comes on it counts for nothing. */
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
            long revision = fullListNeeded ? -1 : listHandler.revision();
            connection.write(
                    HttpParser.request(
                            "GET",
                            "/v1/endpoints?stream=1" + (revision < 0 ? "" : "&index=" + revision)));
        }

        @Override
        public void onReceived(TcpConnection connection, ByteBuffer buffer) throws IOException {
            if (current == this) {
                restartTimeout(IDLE_TIMEOUT_MILLIS);
                parser.parse(buffer);
            }
        }

        private void onHead(HttpParser.Message response) {
            if (response.status() != 200) {
                connection.close("it answers " + response.status());
            }
        }

        private void onBodyPart(byte[] part) {
            for (int start = 0; start < part.length && current == this; ) {
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
                    | StackOverflowError e) { // whatever it was: this list has not come into force
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
