package sprucelanding.runtime.eventloop;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Where a loop's failures go if its owner does not take them; apart, so that such owners need no
 * logging library.
 */
final class LoopErrorLogger {
    private static final Logger LOG = LoggerFactory.getLogger(EventLoop.class);

    private LoopErrorLogger() {}

    static void logError(String loopName, String message, Throwable cause) {
        LOG.atError().addKeyValue("loop", loopName).setCause(cause).log(message);
    }
}
