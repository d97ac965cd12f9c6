package sprucelanding.simulation.soak;

import java.util.Set;

/**
 * A fault of a soak. Times and durations are in milliseconds; {@code at} counts from a second after
 * all governors have first answered.
 */
public sealed interface SoakFault {
    /** Returns when it is injected. */
    double at();

    /** SIGKILL to governors at the same time; each is started again after the downtime. */
    record Kill(double at, Set<Integer> governors, double downtime) implements SoakFault {}

    /**
     * SIGTERM to one governor, SIGKILL 700 ms later if it still runs; it is started again after the
     * downtime.
     */
    record Restart(double at, int governor, double downtime) implements SoakFault {}

    /** SIGSTOP to one governor, SIGCONT after the length. */
    record Pause(double at, int governor, double length) implements SoakFault {}

    /** Some of the oldest ready endpoints begin to drain, and each is replaced by a new one. */
    record Replace(double at, int count) implements SoakFault {}

    /** A share of all streams is reset, perhaps in the middle of a message. */
    record ResetStreams(double at, double share) implements SoakFault {}

    /**
     * A share of all streams falls silent; the proxies connect again, while the governors' ends
     * stay open.
     */
    record SilenceStreams(double at, double share) implements SoakFault {}

    /**
     * Discovery of one governor writes nothing for the length, though its connection stays open.
     */
    record SilenceDiscovery(double at, int governor, double length) implements SoakFault {}

    /** The watch of one governor is reset, in the middle of a line if one is due. */
    record ResetDiscovery(double at, int governor) implements SoakFault {}

    /** Acknowledgements of all proxies are lost with a probability, for the length. */
    record LoseAcknowledgements(double at, double probability, double length)
            implements SoakFault {}

    /** Connections that never join are opened to one governor. */
    record OpenUnjoinedConnections(double at, int governor, int count) implements SoakFault {}
}
