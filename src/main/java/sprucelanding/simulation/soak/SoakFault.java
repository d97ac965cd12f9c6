package sprucelanding.simulation.soak;

import java.util.Set;

/**
 * A fault that a soak injects. Times and durations are in milliseconds. The time {@code at} counts
 * from one second after all governors have answered for the first time.
 */
public sealed interface SoakFault {
    /** Returns the time at which the fault is injected. */
    double at();

    /** SIGKILL to several governors at the same time. Each is restarted after the downtime. */
    record Kill(double at, Set<Integer> governors, double downtime) implements SoakFault {}

    /**
     * SIGTERM to one governor, followed by SIGKILL 700 ms later if the process still runs. The
     * governor is restarted 800 ms after SIGTERM plus the downtime.
     */
    record Restart(double at, int governor, double downtime) implements SoakFault {}

    /** SIGSTOP to one governor, followed by SIGCONT after the length. */
    record Pause(double at, int governor, double length) implements SoakFault {}

    /**
     * Draining of some of the oldest ready endpoints, each of which is replaced by a new endpoint.
     */
    record Replace(double at, int count) implements SoakFault {}

    /** A reset of a share of all streams, possibly in the middle of a message. */
    record ResetStreams(double at, double share) implements SoakFault {}

    /**
     * Silence on a share of all streams. The proxies connect again, while the old connections stay
     * open.
     */
    record SilenceStreams(double at, double share) implements SoakFault {}

    /**
     * Silence of the discovery service of one governor for the length. The connection stays open.
     */
    record SilenceDiscovery(double at, int governor, double length) implements SoakFault {}

    /** A reset of the watch of one governor in the middle of a line. */
    record ResetDiscovery(double at, int governor) implements SoakFault {}

    /** Loss of the acknowledgements of all proxies with a probability, for the length. */
    record LoseAcknowledgements(double at, double probability, double length)
            implements SoakFault {}

    /** Connections to one governor that never send a join message. */
    record OpenUnjoinedConnections(double at, int governor, int count) implements SoakFault {}

    /**
     * Loss of all endpoints of a zone, which discovery lists as gone. They return under their names
     * as new processes after the downtime.
     */
    record LoseZone(double at, int zone, double downtime) implements SoakFault {}

    /**
     * Draining of all endpoints of a zone, which then leave. They return under their names as new
     * processes after the downtime.
     */
    record DrainZone(double at, int zone, double downtime) implements SoakFault {}

    /** The proxies of a zone reach no governor for the length. */
    record CutOffZone(double at, int zone, double length) implements SoakFault {}
}
