package sprucelanding.runtime.eventloop;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Logs the failures of loops whose owners do not handle them. A class of its own, so that owners
 * that do need no logging library.
 */
final class LoopErrorLogger {
    private static final Logger LOG = LoggerFactory.getLogger(EventLoop.class);

    private LoopErrorLogger() {}

    static void logError(String loopName, String message, Throwable cause) {
        LOG.atError().addKeyValue("loop", loopName).setCause(cause).log(message);
    }
}
