package sprucelanding.front.xds;

import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The threads that encode and write responses. All tasks of one proxy run on the same thread, in
 * the order in which they were submitted. The threads are daemons and end on {@link #close}.
 */
final class ResponseWriters implements AutoCloseable {
    /** The logger of the front, because these are the front's threads. */
    private static final Logger LOG = LoggerFactory.getLogger(XdsFront.class);

    private static final int THREADS = 2;
    private static final int MAX_PENDING_TASKS = 65_536;
    private static final long POLL_SECONDS = 1;

    private final Writer[] writers = new Writer[THREADS];
    private volatile boolean closed;

    ResponseWriters() {
        for (int i = 0; i < THREADS; i++) {
            writers[i] = new Writer("xds-writer-" + i);
        }
    }

    void start() {
        for (Writer writer : writers) {
            writer.thread.start();
        }
    }

    /** Queues a task; returns false if too many tasks wait for the proxy's thread. */
    boolean submit(int proxyId, Runnable task) {
        return writers[proxyId % THREADS].tasks.offer(task);
    }

    /** Makes every thread end after its current task. */
    void stopTakingTasks() {
        closed = true;
    }

    @Override
    public void close() {
        stopTakingTasks();
        for (Writer writer : writers) {
            writer.thread.interrupt();
        }
    }

    private final class Writer implements Runnable {
        private final ArrayBlockingQueue<Runnable> tasks =
                new ArrayBlockingQueue<>(MAX_PENDING_TASKS);
        private final Thread thread;

        Writer(String name) {
            thread = new Thread(this, name);
            thread.setDaemon(true);
        }

        @Override
        public void run() {
            while (!closed) {
                try {
                    Runnable next = tasks.poll(POLL_SECONDS, TimeUnit.SECONDS);
                    if (next != null) {
                        next.run();
                    }
                } catch (InterruptedException e) {
                    break;
                } catch (RuntimeException e) {
                    // A response that can't be encoded must not end the thread for all proxies.
                    LOG.atError().setMessage("a response was not written").setCause(e).log();
                }
            }
        }
    }
}
