/**
 * Non-blocking I/O on one thread: TCP connections, datagrams, timers, HTTP/1.1 messages and a
 * bounded mailbox for other threads.
 *
 * <p>An {@link sprucelanding.runtime.eventloop.EventLoop} runs on a thread of its own. It calls all
 * listeners, handlers and timers on that thread, and they must not block. Only {@code tryExecute}
 * and {@code close} may be called by other threads; what sets a loop up may also be called before
 * its thread starts.
 *
 * <p>Times are milliseconds, as {@code double}, on the machine's monotonic clock.
 */
package sprucelanding.runtime.eventloop;
