package sprucelanding.simulation.soak;

import java.util.Set;

/** A fault of a soak and when it strikes, in ms after all proxies have first been connected. */
public sealed interface SoakFault {
    /** When it strikes, ms. */
    double at();

    /** SIGKILL to governors at one instant; each is started again after the downtime, ms. */
    record Kill(double at, Set<Integer> governors, double downtime) implements SoakFault {}

    /**
     * SIGTERM to one governor, SIGKILL 700 ms later if it still runs; started again after the
     * downtime, ms.
     */
    record Restart(double at, int governor, double downtime) implements SoakFault {}

    /** SIGSTOP to one governor, SIGCONT after the length, ms. */
    record Pause(double at, int governor, double length) implements SoakFault {}

    /** So many of the oldest ready endpoints begin to drain, and each is replaced by a new one. */
    record Replace(double at, int count) implements SoakFault {}

    /** That share of all streams is reset, half of them in the middle of a message. */
    record ResetStreams(double at, double share) implements SoakFault {}

    /**
     * That share of all streams falls silent without a word; the proxies dial again, the old ends
     * stay open.
     */
    record SilenceStreams(double at, double share) implements SoakFault {}

    /**
     * Discovery of one governor says nothing for the length, ms, though its connection stays open.
     */
    record SilenceDiscovery(double at, int governor, double length) implements SoakFault {}

    /** The watch of one governor is reset, in the middle of a line if one is due. */
    record ResetDiscovery(double at, int governor) implements SoakFault {}

    /** Acknowledgements are lost fleet-wide with that probability for the length, ms. */
    record LoseAcknowledgements(double at, double probability, double length)
            implements SoakFault {}

    /** Connections that never join: so many at one governor. */
    record OpenUnjoinedConnections(double at, int governor, int count) implements SoakFault {}
}
