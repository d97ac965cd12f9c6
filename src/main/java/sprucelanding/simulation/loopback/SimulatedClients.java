package sprucelanding.simulation.loopback;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.List;
import java.util.Locale;
import java.util.SplittableRandom;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.DoubleSupplier;
import sprucelanding.runtime.eventloop.EventLoop;
import sprucelanding.runtime.eventloop.HttpParser;
import sprucelanding.runtime.eventloop.TcpConnection;
import sprucelanding.simulation.model.ClientRetryPolicy;
import sprucelanding.simulation.rules.EventTrace;
import sprucelanding.simulation.rules.TraceEvent;

/**
 * The clients of one proxy, an open loop over HTTP: arrivals do not wait for responses. Clients
 * retry by a {@link ClientRetryPolicy} and give a request up at its expiry. All calls on their
 * loop.
 */
public final class SimulatedClients {
    /**
     * A request class as clients know it.
     *
     * @param name the path of its requests
     * @param share of all requests
     * @param meanWork mean ms of work
     * @param slaMillis ms within which a response is in time
     * @param expiryMillis ms after which a client gives a request up
     * @param idempotent whether a request may be retried after any failure
     */
    public record RequestClassSpec(
            String name,
            double share,
            double meanWork,
            double slaMillis,
            double expiryMillis,
            boolean idempotent) {}

    private static final int MAX_BUFFERED_BYTES = 65_536;
    private static final int OK = 200;
    private static final int UNAVAILABLE = 503;

    /** The ms that must remain for another attempt. */
    private static final double MIN_REMAINING_MILLIS = 1;

    /** The ms after which the rate is looked at again. */
    private static final double MAX_GAP_MILLIS = 1000;

    private static final double MILLIS_PER_SECOND = 1000;
    private static final double MIN_RATE = 1e-6;

    /** The most work of a request, as a multiple of the mean. */
    private static final double MAX_WORK_FACTOR = 10;

    /** One request of a client, through its attempts. */
    private final class ClientRequest {
        private final long id = requestIds.incrementAndGet();
        private final int requestClass;
        private final String work;
        private final double startedAt;
        private int attempts;
        private boolean ended;

        /** Whether the last failure was a status 503. */
        private boolean declined;

        /**
         * It starts when it was planned to, even if this loop was late: otherwise its latency would
         * leave that delay out.
         */
        ClientRequest(int requestClass, double work, double plannedAt) {
            this.requestClass = requestClass;
            this.startedAt = plannedAt;
            this.work = String.format(Locale.ROOT, "%.2f", work);
            trace.record(new TraceEvent.RequestArrived(startedAt, proxy, requestClass, id, work));
        }

        void send() {
            attempts++;
            RequestClassSpec spec = requestClasses.get(requestClass);
            double remainingMillis = spec.expiryMillis - (EventLoop.nowMillis() - startedAt);
            if (remainingMillis <= MIN_REMAINING_MILLIS) {
                complete(failureOutcome());
                return;
            }
            ProxyConnection connection =
                    idleConnections.isEmpty() ? new ProxyConnection() : idleConnections.pop();
            connection.request = this;
            byte[] request =
                    HttpParser.request(
                            "POST",
                            "/" + spec.name,
                            RequestHeaders.REQUEST_ID,
                            Long.toString(id),
                            RequestHeaders.WORK,
                            work,
                            RequestHeaders.REMAINING_MILLIS,
                            String.format(
                                    Locale.ROOT,
                                    "%.1f",
                                    Math.min(
                                            remainingMillis,
                                            attemptTimeoutShare * spec.expiryMillis)));
            if (connection.connection == null) {
                connection.connection =
                        loop.connect(proxyAddress, null, MAX_BUFFERED_BYTES, connection);
            }
            connection.connection.write(request);
            loop.schedule(
                    remainingMillis,
                    () -> {
                        if (!ended) {
                            complete(TraceEvent.RequestOutcome.VOIDED);
                        }
                    });
        }

        void onResponse(int status, boolean notExecuted) {
            if (ended) {
                return;
            }
            RequestClassSpec spec = requestClasses.get(requestClass);
            double elapsedMillis = EventLoop.nowMillis() - startedAt;
            if (status == OK) {
                complete(
                        elapsedMillis <= spec.slaMillis
                                ? TraceEvent.RequestOutcome.IN_TIME
                                : TraceEvent.RequestOutcome.LATE);
                return;
            }
            declined = status == UNAVAILABLE;
            if (retryPolicy.shouldRetry(
                    attempts, spec.idempotent, notExecuted, elapsedMillis, spec.expiryMillis)) {
                loop.schedule(retryPolicy.delayMillis(random.nextDouble()), this::send);
            } else {
                complete(failureOutcome());
            }
        }

        private TraceEvent.RequestOutcome failureOutcome() {
            return declined ? TraceEvent.RequestOutcome.DECLINED : TraceEvent.RequestOutcome.VOIDED;
        }

        private void complete(TraceEvent.RequestOutcome outcome) {
            if (!ended) {
                ended = true;
                trace.record(
                        new TraceEvent.RequestEnded(
                                EventLoop.nowMillis(),
                                requestClass,
                                id,
                                outcome,
                                EventLoop.nowMillis() - startedAt));
            }
        }
    }

    /** A connection to the proxy, with one request at a time. */
    private final class ProxyConnection implements TcpConnection.Listener {
        private TcpConnection connection;
        private ClientRequest request;
        private final HttpParser parser = new HttpParser(this::onResponse);

        @Override
        public void onReceived(TcpConnection connection, ByteBuffer input) throws IOException {
            parser.parse(input);
        }

        private void onResponse(HttpParser.Message message) {
            ClientRequest finishedRequest = request;
            request = null;
            idleConnections.push(this);
            if (finishedRequest != null) {
                finishedRequest.onResponse(
                        message.status(),
                        message.headers().containsKey(RequestHeaders.NOT_EXECUTED));
            }
        }

        @Override
        public void onClosed(TcpConnection connection, String reason) {
            idleConnections.remove(this);
            ClientRequest finishedRequest = request;
            request = null;
            if (finishedRequest != null) {
                finishedRequest.onResponse(0, false);
            }
        }
    }

    private final EventLoop loop;
    private final int proxy;
    private final InetSocketAddress proxyAddress;
    private final List<RequestClassSpec> requestClasses;
    private final DoubleSupplier requestsPerSecond;
    private final ClientRetryPolicy retryPolicy;
    private final double attemptTimeoutShare;
    private final AtomicLong requestIds;
    private final EventTrace trace;
    private final SplittableRandom random;
    private final ArrayDeque<ProxyConnection> idleConnections = new ArrayDeque<>();
    private boolean stopped;

    /**
     * Creates clients that have not been started.
     *
     * @param proxy the number of the proxy whose clients these are
     * @param requestsPerSecond asked anew for each arrival
     * @param attemptTimeoutShare share of the expiry after which an attempt is given up
     * @param requestIds the last id used, shared with the clients of other proxies
     */
    public SimulatedClients(
            EventLoop loop,
            int proxy,
            InetSocketAddress proxyAddress,
            List<RequestClassSpec> requestClasses,
            DoubleSupplier requestsPerSecond,
            ClientRetryPolicy retryPolicy,
            double attemptTimeoutShare,
            AtomicLong requestIds,
            EventTrace trace,
            long seed) {
        this.loop = loop;
        this.proxy = proxy;
        this.proxyAddress = proxyAddress;
        this.requestClasses = requestClasses;
        this.requestsPerSecond = requestsPerSecond;
        this.retryPolicy = retryPolicy;
        this.attemptTimeoutShare = attemptTimeoutShare;
        this.requestIds = requestIds;
        this.trace = trace;
        this.random = new SplittableRandom(seed);
    }

    /** Begins to send requests. */
    public void start() {
        scheduleNext(EventLoop.nowMillis());
    }

    private void scheduleNext(double afterMillis) {
        double gap =
                -Math.log(1 - random.nextDouble())
                        / Math.max(MIN_RATE, requestsPerSecond.getAsDouble())
                        * MILLIS_PER_SECOND;
        double nextAt = afterMillis + Math.min(gap, MAX_GAP_MILLIS);
        loop.scheduleAt(
                nextAt,
                () -> {
                    if (!stopped) {
                        if (gap <= MAX_GAP_MILLIS) {
                            arrive(nextAt);
                        }
                        scheduleNext(nextAt);
                    }
                });
    }

    /** Sends no more new requests. */
    public void stop() {
        stopped = true;
    }

    private void arrive(double plannedAt) {
        double draw = random.nextDouble();
        int requestClass = 0;
        while (requestClass < requestClasses.size() - 1
                && draw >= requestClasses.get(requestClass).share) {
            draw -= requestClasses.get(requestClass).share;
            requestClass++;
        }
        double meanWork = requestClasses.get(requestClass).meanWork;
        double work = -Math.log(1 - random.nextDouble()) * meanWork;
        new ClientRequest(requestClass, Math.min(work, MAX_WORK_FACTOR * meanWork), plannedAt)
                .send();
    }
}
