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
 * A loop over a selector: in each round it waits until the next timer is due, then handles the
 * channels that are ready, the timers that are due and the tasks that other threads handed over.
 *
 * <p>{@link #tryExecute} and {@link #close} may be called by any thread; all else only by the
 * loop's own thread, or before that starts.
 */
public final class EventLoop implements Runnable, AutoCloseable {
    /** A scheduled task. */
    public static final class Timer {
        private final double dueMillis;
        private final long sequence;

        /** Null once it is cancelled. */
        private Runnable action;

        Timer(double dueMillis, long sequence, Runnable action) {
            this.dueMillis = dueMillis;
            this.sequence = sequence;
            this.action = action;
        }

        /** Keeps the task from running, if it has not run yet. */
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

    /** A step that may fail. */
    private interface IoTask {
        void run() throws IOException;
    }

    private static final int MAILBOX_CAPACITY = 65_536;
    private static final int MAX_TASKS_PER_ROUND = 4096;
    private static final int READ_BUFFER_BYTES = 16_384;
    private static final double MAX_WAIT_MILLIS = 1000;

    /** A whole ms, so that the loop does not spin before a timer is due. */
    private static final long MIN_WAIT_MILLIS = 1;

    private static final long JOIN_TIMEOUT_MILLIS = 2000;
    private static final double NANOS_PER_MILLI = 1e6;

    private final BiConsumer<String, Throwable> errorHandler;
    private final Selector selector;
    private final ByteBuffer readBuffer = ByteBuffer.allocateDirect(READ_BUFFER_BYTES);
    private final TimerQueue timers = new TimerQueue();
    private final TcpConnector connector;

    /** Synchronized by itself: other threads add to it. */
    private final Mailbox<Runnable> mailbox = new Mailbox<>(MAILBOX_CAPACITY);

    /** Volatile, as any thread may close the loop. */
    private volatile boolean closed;

    /** The thread that runs the loop; null before that. Volatile, as any thread may ask for it. */
    private volatile Thread thread;

    private Runnable afterEachRound = () -> {};

    /** Opens a loop; what fails on it is logged under its name. */
    public EventLoop(String name) {
        this(name, (message, cause) -> LoopErrorLogger.logError(name, message, cause));
    }

    /**
     * Opens a loop.
     *
     * @param name what messages call it
     * @param errorHandler is told what failed in a step, after which the loop goes on
     * @throws UncheckedIOException if no selector can be opened
     */
    public EventLoop(String name, BiConsumer<String, Throwable> errorHandler) {
        this.errorHandler = errorHandler;
        try {
            selector = Selector.open();
        } catch (IOException e) {
            throw new UncheckedIOException("no selector for loop " + name, e);
        }
        connector = new TcpConnector(this, selector);
    }

    /** Opens a loop and runs it on a daemon thread of that name. */
    public static EventLoop start(String name) {
        EventLoop loop = new EventLoop(name);
        Thread thread = new Thread(loop, name);
        thread.setDaemon(true);
        thread.start();
        return loop;
    }

    /**
     * The time in ms, with fractions, on the machine's monotonic clock, which all its processes
     * share.
     */
    public static double nowMillis() {
        return System.nanoTime() / NANOS_PER_MILLI;
    }

    /** Sets what runs at the end of each round. */
    public void afterEachRound(Runnable task) {
        afterEachRound = task;
    }

    /** Runs a task at that time, ms; in the next round if that has passed. */
    public Timer scheduleAt(double dueMillis, Runnable task) {
        return timers.add(dueMillis, task);
    }

    /** Runs a task after that delay, ms. */
    public Timer schedule(double delayMillis, Runnable task) {
        return scheduleAt(nowMillis() + delayMillis, task);
    }

    /**
     * Runs a task again and again until the loop ends, each time so many ms after the last run,
     * also if that failed.
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
     * Runs a task on the loop; any thread may call this.
     *
     * @return false if the mailbox is full or the loop has ended, and the task was not taken
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

    /** The port at which a server socket listens. */
    public int localPort(ServerSocketChannel server) {
        return server.socket().getLocalPort();
    }

    /**
     * Listens for TCP connections.
     *
     * @param backlog connections that may wait to be accepted
     * @param acceptHandler is given each accepted connection, and usually registers it
     * @throws UncheckedIOException if the address can't be listened at
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
            throw new UncheckedIOException("cannot listen at " + address, e);
        }
    }

    /**
     * Takes over an accepted connection.
     *
     * @param maxUnsentBytes that may wait for the peer before the connection is closed
     * @param listener is given what the peer sends
     * @throws UncheckedIOException if that fails; the connection is closed
     */
    public TcpConnection register(
            SocketChannel channel, int maxUnsentBytes, TcpConnection.Listener listener) {
        return connector.register(channel, maxUnsentBytes, listener);
    }

    /**
     * Connects to a peer. The listener is told when the connection is up, or that it is closed.
     *
     * @param localAddress to connect from; null for any
     * @param maxUnsentBytes that may wait for the peer before the connection is closed
     * @throws UncheckedIOException if this machine can't connect at all, for want of a descriptor,
     *     a buffer or an address of its own
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
     * @param datagramHandler is given the sender and the content, of which what exceeds 2048 bytes
     *     is cut off
     * @throws UncheckedIOException if the address can't be bound
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
            throw new UncheckedIOException("cannot take datagrams at " + address, e);
        }
    }

    /** A buffer for what is read; its content is lost at the next read of any connection. */
    ByteBuffer readBuffer() {
        return readBuffer;
    }

    /** Runs rounds until the loop is closed, then closes all its channels. */
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
        closeChannels();
    }

    private void closeChannels() {
        try {
            for (SelectionKey key : selector.keys()) {
                key.channel().close();
            }
            selector.close();
        } catch (IOException | ClosedSelectorException e) {
            // the loop ends anyway
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

    /** Runs a step, whose failure must not end the loop for all others. */
    private void runGuarded(IoTask task) {
        try {
            task.run();
        } catch (IOException | RuntimeException | StackOverflowError | OutOfMemoryError e) {
            errorHandler.accept("a step failed", e);
        }
    }

    /** Ends the loop and waits for its thread, unless that calls; it takes no task from now on. */
    @Override
    public void close() {
        mailbox.close();
        closed = true;
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
