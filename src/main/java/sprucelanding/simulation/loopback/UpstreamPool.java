package sprucelanding.simulation.loopback;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import sprucelanding.runtime.eventloop.EventLoop;
import sprucelanding.runtime.eventloop.HttpParser;
import sprucelanding.runtime.eventloop.TcpConnection;

/**
 * The pool of a proxy's connections to endpoints. Each connection carries one request at a time,
 * and idle connections are reused. All calls must be made on the proxy's event loop.
 */
final class UpstreamPool {
    private static final int MAX_BUFFERED_BYTES = 65_536;
    private static final String UTILIZATION_KEY = "cpu_utilization=";

    /** The idle connections of each endpoint, the most recently used first. */
    private final Map<InetSocketAddress, ArrayDeque<Connection>> idleConnections = new HashMap<>();

    /** The sender of a request on a connection. Each sender is notified once. */
    interface ResponseListener {
        /**
         * Called when the response arrived. The connection is idle again.
         *
         * @param utilization the share of busy cores, or NaN if the response reported none
         */
        void onResponse(int status, boolean notExecuted, double utilization);

        /**
         * Called when the connection was closed before a response arrived.
         *
         * @param connected whether the connection had been established
         */
        void onConnectionClosed(boolean connected);
    }

    /** Removes an idle connection from the pool and returns it, or null if there is none. */
    Connection takeIdle(InetSocketAddress endpoint) {
        ArrayDeque<Connection> idle = idleConnections.get(endpoint);
        return idle == null ? null : idle.poll();
    }

    /** Returns a new connection that is not open. */
    Connection newConnection(InetSocketAddress endpoint) {
        return new Connection(endpoint);
    }

    /** Closes all idle connections. */
    void closeAll() {
        List.copyOf(idleConnections.values()).forEach(UpstreamPool::closeEach);
        idleConnections.clear();
    }

    /** Closes the idle connections to all endpoints other than these. */
    void retain(Set<InetSocketAddress> endpoints) {
        List.copyOf(idleConnections.keySet()).stream()
                .filter(endpoint -> !endpoints.contains(endpoint))
                .forEach(endpoint -> closeEach(idleConnections.remove(endpoint)));
    }

    /**
     * Closes a copy of the queue, because a connection removes itself from the queue on closing.
     */
    private static void closeEach(ArrayDeque<Connection> connections) {
        List.copyOf(connections).forEach(Connection::close);
    }

    /** A connection to an endpoint, with the request that is in flight on the connection. */
    final class Connection implements TcpConnection.Listener {
        private final InetSocketAddress endpoint;
        private final HttpParser parser = new HttpParser(this::onResponse);
        private TcpConnection transport;

        /** The sender of the request in flight; null if no request is in flight. */
        private ResponseListener listener;

        /** The request to send when the connection is established. */
        private byte[] firstRequest;

        private boolean connected;

        private Connection(InetSocketAddress endpoint) {
            this.endpoint = endpoint;
        }

        /**
         * Opens the connection and sends a request.
         *
         * @param sourceAddress the address to connect from; null for any
         */
        void open(
                EventLoop loop,
                InetSocketAddress sourceAddress,
                ResponseListener sender,
                byte[] request) {
            listener = sender;
            firstRequest = request;
            transport = loop.connect(endpoint, sourceAddress, MAX_BUFFERED_BYTES, this);
        }

        /** Sends a request on an idle connection. */
        void send(ResponseListener sender, byte[] request) {
            listener = sender;
            transport.write(request);
        }

        /** Drops the listener, because the sender no longer waits for a response. */
        void abandon() {
            listener = null;
        }

        void close() {
            transport.close();
        }

        /** Closes the connection if it has not been established yet. */
        void closeIfConnecting() {
            if (!connected && transport.isOpen()) {
                transport.close();
            }
        }

        @Override
        public void onConnected(TcpConnection connection) {
            connected = true;
            if (listener != null) {
                connection.write(firstRequest);
            }
            firstRequest = null;
        }

        @Override
        public void onReceived(TcpConnection connection, ByteBuffer input) throws IOException {
            parser.parse(input);
        }

        private void onResponse(HttpParser.Message message) {
            ResponseListener sender = takeListener();
            if (sender != null) {
                idleConnections.computeIfAbsent(endpoint, ignored -> new ArrayDeque<>()).push(this);
                sender.onResponse(
                        message.status(),
                        message.headers().containsKey(RequestHeaders.NOT_EXECUTED),
                        parseUtilization(message.header(RequestHeaders.LOAD_REPORT)));
            }
        }

        @Override
        public void onClosed(TcpConnection connection, String reason) {
            ArrayDeque<Connection> idle = idleConnections.get(endpoint);
            if (idle != null) {
                idle.remove(this);
            }
            ResponseListener sender = takeListener();
            if (sender != null) {
                sender.onConnectionClosed(connected);
            }
        }

        private ResponseListener takeListener() {
            ResponseListener sender = listener;
            listener = null;
            return sender;
        }
    }

    private static double parseUtilization(String report) {
        int start = report.indexOf(UTILIZATION_KEY);
        int end = report.indexOf(',', start);
        return start < 0 || end < 0
                ? Double.NaN
                : Double.parseDouble(report.substring(start + UTILIZATION_KEY.length(), end));
    }
}
