package sprucelanding.runtime.eventloop;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.ClosedSelectorException;
import java.nio.channels.DatagramChannel;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.function.BiConsumer;
import java.util.function.Consumer;

/**
 * An event loop over a selector. Each round waits for a ready channel, a due timer or a submitted
 * task. The round then handles the ready channels, the due timers and the tasks that other threads
 * have submitted.
 *
 * <p>Any thread may call {@link #tryExecute} and {@link #close}. Only the loop's thread may call
 * the other methods after the thread has started.
 */
public final class EventLoop implements Runnable, AutoCloseable {
    /** A scheduled task. */
    public static final class Timer {
        private final double dueMillis;
        private final long sequence;

        /** Null once the timer is cancelled. */
        private Runnable action;

        Timer(double dueMillis, long sequence, Runnable action) {
            this.dueMillis = dueMillis;
            this.sequence = sequence;
            this.action = action;
        }

        /** Prevents the task from running, if the task has not run yet. */
        public void cancel() {
            action = null;
        }

        double dueMillis() {
            return dueMillis;
        }

        long sequence() {
            return sequence;
        }
    }

    /** A task that may throw an I/O exception. */
    private interface IoTask {
        void run() throws IOException;
    }

    private static final int MAILBOX_CAPACITY = 65_536;
    private static final int MAX_TASKS_PER_ROUND = 4096;
    private static final int READ_BUFFER_BYTES = 16_384;
    private static final double MAX_WAIT_MILLIS = 1000;

    /** At least 1 ms, because the loop would spin before a timer is due if it waited for 0 ms. */
    private static final long MIN_WAIT_MILLIS = 1;

    private static final long JOIN_TIMEOUT_MILLIS = 2000;
    private static final double NANOS_PER_MILLI = 1e6;

    private final BiConsumer<String, Throwable> errorHandler;
    private final Selector selector;
    private final ByteBuffer readBuffer = ByteBuffer.allocateDirect(READ_BUFFER_BYTES);
    private final TimerQueue timers = new TimerQueue();
    private final TcpConnector connector;

    /** Tasks from other threads. The mailbox is thread-safe. */
    private final Mailbox<Runnable> mailbox = new Mailbox<>(MAILBOX_CAPACITY);

    /** Volatile because any thread may close the loop. */
    private volatile boolean isClosed;

    /**
     * The thread that runs the loop; null before the start. Volatile because any thread reads it.
     */
    private volatile Thread thread;

    private Runnable afterEachRound = () -> {};

    /** Opens a loop that logs failures under its name. */
    public EventLoop(String name) {
        this(name, (message, cause) -> LoopErrorLogger.logError(name, message, cause));
    }

    /**
     * Opens a loop.
     *
     * @param name name of the loop in messages
     * @param errorHandler receives failures of channels, timers and tasks, after which the loop
     *     goes on, and a failure of the selector, which ends the loop
     * @throws UncheckedIOException if no selector can be opened
     */
    public EventLoop(String name, BiConsumer<String, Throwable> errorHandler) {
        this.errorHandler = errorHandler;
        try {
            selector = Selector.open();
        } catch (IOException e) {
            throw new UncheckedIOException("cannot open a selector for event loop " + name, e);
        }
        connector = new TcpConnector(this, selector);
    }

    /** Opens a loop and runs it on a daemon thread with the given name. */
    public static EventLoop start(String name) {
        EventLoop loop = new EventLoop(name);
        Thread thread = new Thread(loop, name);
        thread.setDaemon(true);
        thread.start();
        return loop;
    }

    /**
     * Returns the time of the machine's monotonic clock, ms with fractions. All processes of the
     * machine share this clock.
     */
    public static double nowMillis() {
        return System.nanoTime() / NANOS_PER_MILLI;
    }

    /** Sets the task that runs at the end of each round. */
    public void afterEachRound(Runnable task) {
        afterEachRound = task;
    }

    /** Schedules a task for {@code dueMillis}; a time that has passed means the next round. */
    public Timer scheduleAt(double dueMillis, Runnable task) {
        return timers.add(dueMillis, task);
    }

    /** Schedules a task after a delay, ms. */
    public Timer schedule(double delayMillis, Runnable task) {
        return scheduleAt(nowMillis() + delayMillis, task);
    }

    /**
     * Schedules a periodic task until the loop ends. Each run starts {@code intervalMillis} after
     * the end of the previous run, also if that run failed.
     */
    public void scheduleWithFixedDelay(double intervalMillis, Runnable task) {
        schedule(
                intervalMillis,
                () -> {
                    try {
                        task.run();
                    } finally {
                        scheduleWithFixedDelay(intervalMillis, task);
                    }
                });
    }

    /**
     * Submits a task to the loop. Any thread may call this method.
     *
     * @return false if the task was not accepted because the mailbox is full or the loop was closed
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

    /** Returns the port on which a server socket listens. */
    public int localPort(ServerSocketChannel server) {
        return server.socket().getLocalPort();
    }

    /**
     * Listens for TCP connections.
     *
     * @param backlog number of connections that may wait to be accepted
     * @param acceptHandler receives each accepted connection, and usually registers it
     * @throws UncheckedIOException if the socket cannot listen on the address
     */
    public ServerSocketChannel listen(
            InetSocketAddress address, int backlog, Consumer<SocketChannel> acceptHandler) {
        try {
            ServerSocketChannel server = ServerSocketChannel.open();
            server.setOption(StandardSocketOptions.SO_REUSEADDR, true);
            server.bind(address, backlog);
            server.configureBlocking(false);
            server.register(
                    selector,
                    SelectionKey.OP_ACCEPT,
                    new ConnectionAcceptor(this, server, acceptHandler));
            return server;
        } catch (IOException e) {
            throw new UncheckedIOException("cannot listen on " + address, e);
        }
    }

    /**
     * Registers an accepted connection with the loop.
     *
     * @param maxUnsentBytes limit of queued bytes, beyond which the connection is closed
     * @param listener receives the connection's events
     * @throws UncheckedIOException if the registration fails; the connection is closed then
     */
    public TcpConnection register(
            SocketChannel channel, int maxUnsentBytes, TcpConnection.Listener listener) {
        return connector.register(channel, maxUnsentBytes, listener);
    }

    /**
     * Connects to a peer. The listener is called when the connection is established, or when it is
     * closed because it could not be established.
     *
     * @param localAddress address to connect from; null for any
     * @param maxUnsentBytes limit of queued bytes, beyond which the connection is closed
     * @throws UncheckedIOException if this machine cannot start to connect, because it has no file
     *     descriptor, buffer or local address left
     */
    public TcpConnection connect(
            InetSocketAddress remoteAddress,
            InetSocketAddress localAddress,
            int maxUnsentBytes,
            TcpConnection.Listener listener) {
        return connector.connect(remoteAddress, localAddress, maxUnsentBytes, listener);
    }

    /**
     * Receives datagrams.
     *
     * @param datagramHandler receives the sender and the content, which is truncated to 2048 bytes
     * @throws UncheckedIOException if the address cannot be bound
     */
    public DatagramChannel receiveDatagrams(
            InetSocketAddress address, BiConsumer<InetSocketAddress, byte[]> datagramHandler) {
        try {
            DatagramChannel channel = DatagramChannel.open();
            channel.bind(address);
            channel.configureBlocking(false);
            channel.register(
                    selector, SelectionKey.OP_READ, new DatagramReceiver(channel, datagramHandler));
            return channel;
        } catch (IOException e) {
            throw new UncheckedIOException("cannot receive datagrams on " + address, e);
        }
    }

    /** Returns the shared read buffer. The next read of any connection overwrites its content. */
    ByteBuffer readBuffer() {
        return readBuffer;
    }

    /** Runs rounds until the loop is closed, then closes all its channels. */
    @Override
    public void run() {
        thread = Thread.currentThread();
        while (!isClosed) {
            try {
                runOnce();
            } catch (ClosedSelectorException e) {
                break;
            } catch (IOException e) {
                errorHandler.accept("the selector failed", e);
                break;
            }
        }
        closeChannels();
    }

    private void closeChannels() {
        try {
            for (SelectionKey key : selector.keys()) {
                key.channel().close();
            }
            selector.close();
        } catch (IOException | ClosedSelectorException e) {
            // the loop ends in any case
        }
    }

    private void runOnce() throws IOException {
        select();
        handleReadyChannels();
        runDueTimers();
        runMailboxTasks();
        runGuarded(afterEachRound::run);
    }

    private void select() throws IOException {
        double waitMillis = timers.untilNextDue(MAX_WAIT_MILLIS);
        if (!mailbox.isEmpty() || waitMillis <= 0) {
            selector.selectNow();
        } else {
            selector.select(Math.max(MIN_WAIT_MILLIS, (long) waitMillis));
        }
    }

    private void handleReadyChannels() {
        for (SelectionKey key : selector.selectedKeys()) {
            if (key.isValid()) {
                runGuarded(() -> ((SelectionHandler) key.attachment()).onReady(key));
            }
        }
        selector.selectedKeys().clear();
    }

    private void runDueTimers() {
        double nowMillis = nowMillis();
        for (Timer timer = timers.pollDue(nowMillis);
                timer != null;
                timer = timers.pollDue(nowMillis)) {
            Runnable task = timer.action;
            if (task != null) {
                runGuarded(task::run);
            }
        }
    }

    private void runMailboxTasks() {
        for (int i = 0; i < MAX_TASKS_PER_ROUND; i++) {
            Runnable task = mailbox.poll();
            if (task == null) {
                return;
            }
            runGuarded(task::run);
        }
    }

    /** Runs a task whose failure must not end the loop. */
    private void runGuarded(IoTask task) {
        try {
            task.run();
        } catch (IOException | RuntimeException | StackOverflowError | OutOfMemoryError e) {
            errorHandler.accept("a step failed", e);
        }
    }

    /**
     * Ends the loop, which accepts no more tasks. Waits for the loop's thread to end, unless that
     * thread is the caller.
     */
    @Override
    public void close() {
        mailbox.close();
        isClosed = true;
        selector.wakeup();
        Thread loopThread = thread;
        if (loopThread != null && loopThread != Thread.currentThread()) {
            try {
                loopThread.join(JOIN_TIMEOUT_MILLIS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
    }
}
