package sprucelanding.runtime.governor;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import sprucelanding.runtime.eventloop.EventLoop;
import sprucelanding.runtime.eventloop.HttpParser;
import sprucelanding.runtime.eventloop.TcpConnection;

/**
 * The connection to the discovery service, which sends the endpoint list as server-sent events
 * (WHATWG HTML, section 9.2) over HTTP/1.1. The data of an event is one line. The link connects
 * again after a failure, with a delay that doubles each time. Runs on the event loop.
 */
final class DiscoveryLink implements TcpConnection.Listener {
    /** Receives what happens on the stream. Called on the event loop. */
    interface EventListener {
        /** Called when the service has started a stream of events. */
        void streamOpened();

        /** Called when an event was received. */
        void eventReceived(String data);

        /** Called when the connection has ended or failed. The link connects again later. */
        void streamBroken(String reason);
    }

    private static final int HTTP_OK = 200;
    private static final String DATA_FIELD = "data:";
    private static final int MAX_LINE_BYTES = 4 << 20;
    private static final int MAX_UNREAD_BYTES = 65_536;
    private static final double INITIAL_RETRY_DELAY_MILLIS = 100;
    private static final double MAX_RETRY_DELAY_MILLIS = 5000;

    private final EventLoop loop;
    private final InetSocketAddress address;
    private final InetSocketAddress localAddress;
    private final EventListener listener;
    private final StringBuilder eventData = new StringBuilder();
    private final ByteArrayOutputStream line = new ByteArrayOutputStream();
    private HttpParser httpParser;
    private double retryDelayMillis = INITIAL_RETRY_DELAY_MILLIS;
    private TcpConnection connection;

    DiscoveryLink(
            EventLoop loop,
            InetSocketAddress address,
            InetSocketAddress localAddress,
            EventListener listener) {
        this.localAddress = localAddress;
        this.loop = loop;
        this.address = address;
        this.listener = listener;
    }

    /** Connects to the discovery service. */
    void open() {
        eventData.setLength(0);
        line.reset();
        httpParser = new HttpParser(this::onResponseHead).streamBodiesTo(this::onBodyBytes);
        connection = loop.connect(address, localAddress, MAX_UNREAD_BYTES, this);
    }

    private void onResponseHead(HttpParser.Message head) {
        if (head.status() == HTTP_OK
                && head.header("content-type").startsWith("text/event-stream")) {
            retryDelayMillis = INITIAL_RETRY_DELAY_MILLIS;
            listener.streamOpened();
        } else {
            connection.close();
        }
    }

    /** Ends the stream; the next stream begins with the complete list. */
    void reconnect() {
        connection.close();
    }

    @Override
    public void onConnected(TcpConnection connection) {
        connection.write(HttpParser.request("GET", "/list", "accept", "text/event-stream"));
    }

    @Override
    public void onReceived(TcpConnection connection, ByteBuffer input) throws IOException {
        httpParser.parse(input);
    }

    private void onBodyBytes(byte[] bytes) {
        for (byte octet : bytes) {
            if (octet != '\n') {
                line.write(octet);
                if (line.size() > MAX_LINE_BYTES) { // An endless line must not fill the memory.
                    connection.close();
                    return;
                }
                continue;
            }
            String text = line.toString(StandardCharsets.UTF_8).replace("\r", "");
            line.reset();
            onLine(text);
        }
    }

    private void onLine(String text) {
        if (text.startsWith(DATA_FIELD)) {
            boolean hasLeadingSpace = text.startsWith(DATA_FIELD + " ");
            eventData.append(text, DATA_FIELD.length() + (hasLeadingSpace ? 1 : 0), text.length());
        } else if (text.isEmpty() && !eventData.isEmpty()) {
            String data = eventData.toString();
            eventData.setLength(0);
            listener.eventReceived(data);
        }
    }

    @Override
    public void onClosed(TcpConnection connection, String reason) {
        listener.streamBroken(reason);
        loop.schedule(retryDelayMillis, this::open);
        retryDelayMillis = Math.min(MAX_RETRY_DELAY_MILLIS, 2 * retryDelayMillis);
    }
}
