/**
 * Non-blocking I/O on one thread: TCP connections, datagrams, timers, HTTP/1.1 messages and a
 * bounded mailbox through which other threads submit tasks.
 *
 * <p>An {@link sprucelanding.runtime.eventloop.EventLoop} runs on its own thread. The loop calls
 * all listeners, handlers and timers on that thread, so they must not block. Other threads may call
 * only {@code tryExecute} and {@code close}. Methods that set up a loop may also be called before
 * the loop's thread starts.
 *
 * <p>Times are milliseconds, as {@code double}, on the machine's monotonic clock.
 */
package sprucelanding.runtime.eventloop;
