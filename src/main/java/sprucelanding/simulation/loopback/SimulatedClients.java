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
 * The clients of one proxy, which send requests over HTTP in an open loop: arrivals do not wait for
 * responses. Clients retry according to a {@link ClientRetryPolicy}, and abandon a request when it
 * expires. All calls must be made on the clients' event loop.
 */
public final class SimulatedClients {
    /**
     * The properties of a request class that clients use.
     *
     * @param name the path of the class's requests, without the leading slash
     * @param share the class's share of all requests
     * @param meanWork the mean work of a request, in ms on a core of speed 1
     * @param slaMillis the time within which a response is in time
     * @param expiryMillis the time after which a client abandons a request
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

    /** An attempt is sent only if more than this time remains until the expiry. */
    private static final double MIN_REMAINING_MILLIS = 1;

    /** The longest time until the request rate is read again. */
    private static final double MAX_ARRIVAL_GAP_MILLIS = 1000;

    private static final double MILLIS_PER_SECOND = 1000;
    private static final double MIN_REQUESTS_PER_SECOND = 1e-6;

    /** The highest work of a request, as a multiple of the mean work. */
    private static final double MAX_WORK_FACTOR = 10;

    /** One request of a client, with all its attempts. */
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
         * Creates a request whose start time is the planned time, even if the event loop ran late.
         * Otherwise the measured latency would omit the delay of the loop.
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
            if (connection.transport == null) {
                connection.transport =
                        loop.connect(proxyAddress, null, MAX_BUFFERED_BYTES, connection);
            }
            connection.transport.write(request);
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

    /** A connection to the proxy, which carries one request at a time. */
    private final class ProxyConnection implements TcpConnection.Listener {
        private TcpConnection transport;
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
     * @param proxy the number of the clients' proxy in the trace
     * @param requestsPerSecond supplies the request rate; read again for each arrival
     * @param attemptTimeoutShare the share of the expiry after which an attempt is abandoned
     * @param requestIds the last request id used, shared with the clients of other proxies
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

    /** Starts to send requests. */
    public void start() {
        scheduleNext(EventLoop.nowMillis());
    }

    private void scheduleNext(double afterMillis) {
        double gapMillis =
                -StrictMath.log(1 - random.nextDouble())
                        / Math.max(MIN_REQUESTS_PER_SECOND, requestsPerSecond.getAsDouble())
                        * MILLIS_PER_SECOND;
        double nextAt = afterMillis + Math.min(gapMillis, MAX_ARRIVAL_GAP_MILLIS);
        loop.scheduleAt(
                nextAt,
                () -> {
                    if (!stopped) {
                        if (gapMillis <= MAX_ARRIVAL_GAP_MILLIS) {
                            arrive(nextAt);
                        }
                        scheduleNext(nextAt);
                    }
                });
    }

    /** Stops sending new requests. Requests in flight may still be retried. */
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
        double work = -StrictMath.log(1 - random.nextDouble()) * meanWork;
        new ClientRequest(requestClass, Math.min(work, MAX_WORK_FACTOR * meanWork), plannedAt)
                .send();
    }
}
