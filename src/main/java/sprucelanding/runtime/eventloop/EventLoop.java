package sprucelanding.runtime.eventloop;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.net.NoRouteToHostException;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.ClosedSelectorException;
import java.nio.channels.DatagramChannel;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.PriorityQueue;
import java.util.function.BiConsumer;
import java.util.function.Consumer;

/**
 * The loop: select until the next due time, then what is ready, what is due, what was handed over.
 */
public final class EventLoop implements Runnable, AutoCloseable {
    /** What a selection key carries. */
    interface SelectionHandler {
        void onReady(SelectionKey key) throws IOException;
    }

    /** A due time that can be called off. */
    public static final class Timer implements Comparable<Timer> {
        final double dueMillis;
        final long sequence;
        private Runnable action;

        Timer(double dueMillis, long sequence, Runnable action) {
            this.dueMillis = dueMillis;
            this.sequence = sequence;
            this.action = action;
        }

        public void cancel() {
            action = null;
        }

        @Override
        public int compareTo(Timer other) {
            int byTime = Double.compare(dueMillis, other.dueMillis);
            return byTime != 0 ? byTime : Long.compare(sequence, other.sequence);
        }
    }

    private static final int MAILBOX_CAPACITY = 65_536;
    private static final int MAX_TASKS_PER_ROUND = 4096;
    private static final int MAX_DATAGRAM_BYTES = 2048;
    private static final int MAX_DATAGRAMS_PER_ROUND = 256;
    private static final int MAX_ACCEPTS_PER_ROUND =
            16; // what is closed gives its descriptor back at the next select only
    private static final int READ_BUFFER_BYTES = 16_384;
    private static final double ACCEPT_PAUSE_MILLIS =
            50; // ms without accepting where no descriptor is left

    private final BiConsumer<String, Throwable> errorHandler;
    private final Selector selector;

    /** What is read goes through it; nothing of it outlasts a call. */
    final ByteBuffer readBuffer = ByteBuffer.allocateDirect(READ_BUFFER_BYTES);

    private final PriorityQueue<Timer> timers = new PriorityQueue<>();
    private final Mailbox<Runnable> mailbox = new Mailbox<>(MAILBOX_CAPACITY);
    private long nextSequence;
    private volatile boolean closed;
    private volatile Thread thread;
    private Runnable afterEachRound = () -> {};

    /** What fails on it is logged under its name. */
    public EventLoop(String name) {
        this(name, (message, cause) -> LoopErrorLogger.logError(name, message, cause));
    }

    /** Failed hears what went wrong in a step; the loop goes on. */
    public EventLoop(String name, BiConsumer<String, Throwable> errorHandler) {
        this.errorHandler = errorHandler;
        try {
            selector = Selector.open();
        } catch (IOException e) {
            throw new UncheckedIOException("no selector for loop " + name, e);
        }
    }

    /** Opens a loop and starts its thread. */
    public static EventLoop start(String name) {
        EventLoop loop = new EventLoop(name);
        Thread thread = new Thread(loop, name);
        thread.setDaemon(true);
        thread.start();
        return loop;
    }

    /** ms with fractions on the machine's monotonic clock, which processes of one machine share. */
    public static double nowMillis() {
        return System.nanoTime() / 1e6;
    }

    /** What runs after each round, when all that was ready and due is done. */
    public void afterEachRound(Runnable task) {
        afterEachRound = task;
    }

    public Timer scheduleAt(double dueMillis, Runnable task) {
        Timer timer = new Timer(dueMillis, nextSequence++, task);
        timers.add(timer);
        return timer;
    }

    public Timer schedule(double delayMillis, Runnable task) {
        return scheduleAt(nowMillis() + delayMillis, task);
    }

    /** Runs it again and again, each time that long after the last; it stops with the loop. */
    public void scheduleWithFixedDelay(double intervalMillis, Runnable task) {
        schedule(
                intervalMillis,
                () -> {
                    try {
                        task.run();
                    } finally { // one that fails once is due again all the same
                        scheduleWithFixedDelay(intervalMillis, task);
                    }
                });
    }

    /**
     * From other threads; false if the mailbox is full or the loop has ended: then nothing was
     * taken.
     */
    public boolean tryExecute(Runnable task) {
        if (!mailbox.offer(task)) {
            return false;
        }
        if (Thread.currentThread() != thread) {
            selector.wakeup();
        }
        return true;
    }

    public int localPort(ServerSocketChannel server) {
        return server.socket().getLocalPort();
    }

    /**
     * Accepts connections there, on the loop's thread or before it runs; throws
     * UncheckedIOException.
     */
    public ServerSocketChannel listen(
            InetSocketAddress address, int backlog, Consumer<SocketChannel> acceptHandler) {
        try {
            ServerSocketChannel server = ServerSocketChannel.open();
            server.setOption(StandardSocketOptions.SO_REUSEADDR, true);
            server.bind(address, backlog);
            server.configureBlocking(false);
            SelectionHandler handler =
                    key -> {
                        try {
                            SocketChannel channel = server.accept();
                            for (int acceptedCount = 1; channel != null; acceptedCount++) {
                                acceptHandler.accept(channel);
                                channel =
                                        acceptedCount < MAX_ACCEPTS_PER_ROUND
                                                ? server.accept()
                                                : null;
                            }
                        } catch (
                                IOException e) { // no descriptor is left: what waits would wake the
                            // selector again and again
                            key.interestOps(0);
                            schedule(
                                    ACCEPT_PAUSE_MILLIS,
                                    () -> {
                                        if (key.isValid()) {
                                            key.interestOps(SelectionKey.OP_ACCEPT);
                                        }
                                    });
                        }
                    };
            server.register(selector, SelectionKey.OP_ACCEPT, handler);
            return server;
        } catch (IOException e) {
            throw new UncheckedIOException("cannot listen at " + address, e);
        }
    }

    /**
     * A connection that was accepted; its bytes come to the listener. One that cannot be adopted is
     * closed.
     */
    public TcpConnection register(
            SocketChannel channel, int maxUnsentBytes, TcpConnection.Listener listener) {
        try {
            channel.configureBlocking(false);
            channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
            TcpConnection connection = new TcpConnection(this, channel, maxUnsentBytes, listener);
            connection.selectionKey = channel.register(selector, SelectionKey.OP_READ, connection);
            return connection;
        } catch (IOException | ClosedSelectorException e) {
            closeQuietly(channel);
            throw new UncheckedIOException(
                    "cannot adopt a connection",
                    e instanceof IOException io ? io : new IOException(e));
        }
    }

    /**
     * Dials; the listener hears connected or closed. From: the own address, or null for any. Throws
     * UncheckedIOException where this machine cannot dial at all, for want of a descriptor, a
     * buffer or an address of its own.
     */
    public TcpConnection connect(
            InetSocketAddress remoteAddress,
            InetSocketAddress localAddress,
            int maxUnsentBytes,
            TcpConnection.Listener listener) {
        SocketChannel channel = null;
        try {
            channel = SocketChannel.open();
            if (localAddress != null) {
                channel.bind(localAddress);
            }
            channel.configureBlocking(false);
            channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
            TcpConnection connection = new TcpConnection(this, channel, maxUnsentBytes, listener);
            connection.selectionKey =
                    channel.register(selector, SelectionKey.OP_CONNECT, connection);
            try {
                if (channel.connect(remoteAddress)) {
                    schedule(0, connection::finishConnect);
                }
            } catch (ConnectException
                    | NoRouteToHostException e) { // the peer's, or on the way to it
                schedule(0, () -> connection.close("cannot connect: " + e.getMessage()));
            }
            return connection;
        } catch (IOException e) {
            closeQuietly(channel);
            throw new UncheckedIOException("cannot dial " + remoteAddress, e);
        }
    }

    private static void closeQuietly(SocketChannel channel) {
        try {
            if (channel != null) {
                channel.close();
            }
        } catch (IOException e) {
            // nothing is left to do with it
        }
    }

    /** Datagrams that come there go to the listener with their sender; longer ones are cut off. */
    public DatagramChannel receiveDatagrams(
            InetSocketAddress address, BiConsumer<InetSocketAddress, byte[]> datagramHandler) {
        try {
            DatagramChannel channel = DatagramChannel.open();
            channel.bind(address);
            channel.configureBlocking(false);
            ByteBuffer buffer = ByteBuffer.allocate(MAX_DATAGRAM_BYTES);
            SelectionHandler handler =
                    key -> {
                        for (int received = 0;
                                received < MAX_DATAGRAMS_PER_ROUND;
                                received++) { // a flood is left to the socket's own buffer
                            buffer.clear();
                            InetSocketAddress sender = (InetSocketAddress) channel.receive(buffer);
                            if (sender == null) {
                                break;
                            }
                            buffer.flip();
                            byte[] payload = new byte[buffer.remaining()];
                            buffer.get(payload);
                            datagramHandler.accept(sender, payload);
                        }
                    };
            channel.register(selector, SelectionKey.OP_READ, handler);
            return channel;
        } catch (IOException e) {
            throw new UncheckedIOException("cannot take datagrams at " + address, e);
        }
    }

    @Override
    public void run() {
        thread = Thread.currentThread();
        while (!closed) {
            try {
                runOnce();
            } catch (ClosedSelectorException e) {
                break;
            } catch (IOException e) {
                errorHandler.accept("the selector failed", e);
                break;
            }
        }
        try {
            for (SelectionKey key : selector.keys()) {
                key.channel().close();
            }
            selector.close();
        } catch (IOException | ClosedSelectorException e) {
            // it ends anyway
        }
    }

    private void runOnce() throws IOException {
        Timer nextTimer = timers.peek();
        double waitMillis = nextTimer == null ? 1000 : nextTimer.dueMillis - nowMillis();
        if (!mailbox.isEmpty() || waitMillis <= 0) {
            selector.selectNow();
        } else {
            selector.select(
                    Math.max(
                            1, (long) waitMillis)); // a whole ms at least: no spinning before a due
            // time
        }
        for (SelectionKey key : selector.selectedKeys()) {
            if (key.isValid()) {
                runGuarded(() -> ((SelectionHandler) key.attachment()).onReady(key));
            }
        }
        selector.selectedKeys().clear();
        double nowMillis = nowMillis();
        while (!timers.isEmpty() && timers.peek().dueMillis <= nowMillis) {
            Runnable task = timers.poll().action;
            if (task != null) {
                runGuarded(task::run);
            }
        }
        for (int i = 0; i < MAX_TASKS_PER_ROUND; i++) {
            Runnable task = mailbox.poll();
            if (task == null) {
                break;
            }
            runGuarded(task::run);
        }
        runGuarded(afterEachRound::run);
    }

    private interface IoTask {
        void run() throws IOException;
    }

    /** One peer's failure must not end the loop for all others. */
    private void runGuarded(IoTask task) {
        try {
            task.run();
        } catch (IOException | RuntimeException | StackOverflowError | OutOfMemoryError e) {
            errorHandler.accept("a step failed", e);
        }
    }

    @Override
    public void close() {
        mailbox.close();
        closed = true;
        selector.wakeup();
        Thread loopThread = thread;
        if (loopThread != null && loopThread != Thread.currentThread()) {
            try {
                loopThread.join(2000);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
    }
}
