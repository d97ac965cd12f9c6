package sprucelanding.control.membership;

/**
 * Decides whether a governor that has lost the majority goes on with the proxies it has. It does so
 * only after some time in which it ran and heard no majority; a time in which it stood still itself
 * tells nothing.
 *
 * <table>
 *   <caption>Transitions</caption>
 *   <tr><th>from</th><th>event</th><th>to</th></tr>
 *   <tr><td>any</td><td>a majority has answered within a lease</td><td>REACHED</td></tr>
 *   <tr><td>REACHED</td><td>none has for half a lease</td><td>SERVING_WITHOUT</td></tr>
 * </table>
 */
final class MajorityMonitor {
    private enum State {
        /** No majority was heard in this generation: the governor takes nothing. */
        NEVER_REACHED,
        /** A majority is heard, or was a short time ago. */
        REACHED,
        /** None is heard: the governor serves the proxies it has and takes no more. */
        SERVING_WITHOUT
    }

    /** Fraction of a lease without a majority after which the governor serves without. */
    private static final double LOSS_LEASE_FRACTION = 0.5;

    /** Fraction of a lease between two calls after which the governor itself stood still. */
    private static final double STALL_LEASE_FRACTION = 0.4;

    private final double leaseMillis;
    private State state = State.NEVER_REACHED;
    private double lostSince;

    MajorityMonitor(double leaseMillis, double now) {
        this.leaseMillis = leaseMillis;
        this.lostSince = now;
    }

    /** The clock went on by a gap; answers that were not heard in a long one tell nothing. */
    void onClockAdvanced(double gapMillis, double now) {
        if (gapMillis > STALL_LEASE_FRACTION * leaseMillis) {
            lostSince = now;
        }
    }

    void update(boolean majority, double now) {
        if (majority) {
            lostSince = now;
            state = State.REACHED;
        } else if (state == State.REACHED && now - lostSince > LOSS_LEASE_FRACTION * leaseMillis) {
            state = State.SERVING_WITHOUT;
        }
    }

    boolean isServingWithout() {
        return state == State.SERVING_WITHOUT;
    }
}
