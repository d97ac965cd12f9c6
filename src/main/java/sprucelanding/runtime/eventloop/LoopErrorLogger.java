package sprucelanding.runtime.eventloop;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * A logger of failures in loops whose owners do not handle failures. The class is separate from
 * {@link EventLoop}, so that owners with their own error handler need no logging library.
 */
final class LoopErrorLogger {
    private static final Logger LOG = LoggerFactory.getLogger(EventLoop.class);

    private LoopErrorLogger() {}

    static void logError(String loopName, String message, Throwable cause) {
        LOG.atError().addKeyValue("loop", loopName).setCause(cause).log(message);
    }
}
