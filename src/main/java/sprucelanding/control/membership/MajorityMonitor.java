package sprucelanding.control.membership;

/**
 * A monitor that decides whether a governor that has lost the majority keeps serving the proxies it
 * has. The governor does so only after it has run for some time without the answers of a majority.
 * Time during which the governor itself stalled does not count, because it says nothing about the
 * other governors.
 *
 * <table>
 *   <caption>Transitions</caption>
 *   <tr><th>from</th><th>event</th><th>to</th></tr>
 *   <tr><td>any</td><td>a majority has answered within a lease</td><td>REACHED</td></tr>
 *   <tr><td>REACHED</td><td>no majority has answered for half a
 *       lease</td><td>SERVING_WITHOUT</td></tr>
 * </table>
 */
final class MajorityMonitor {
    private enum State {
        /** No majority has answered in this generation. The governor owns no proxies. */
        NEVER_REACHED,
        /** A majority answers, or answered a short time ago. */
        REACHED,
        /** No majority answers. The governor serves the proxies it has and accepts no more. */
        SERVING_WITHOUT
    }

    /** Fraction of a lease without a majority after which the governor serves without one. */
    private static final double LOSS_LEASE_FRACTION = 0.5;

    /**
     * Fraction of a lease between two calls above which the governor itself is considered to have
     * stalled.
     */
    private static final double STALL_LEASE_FRACTION = 0.4;

    private final double leaseMillis;
    private State state = State.NEVER_REACHED;
    private double withoutMajoritySince;

    MajorityMonitor(double leaseMillis, double now) {
        this.leaseMillis = leaseMillis;
        this.withoutMajoritySince = now;
    }

    /**
     * Handles an advance of the clock. Missing answers during a long gap say nothing about the
     * majority.
     */
    void onClockAdvanced(double gapMillis, double now) {
        if (gapMillis > STALL_LEASE_FRACTION * leaseMillis) {
            withoutMajoritySince = now;
        }
    }

    void update(boolean hasMajority, double now) {
        if (hasMajority) {
            withoutMajoritySince = now;
            state = State.REACHED;
        } else if (state == State.REACHED
                && now - withoutMajoritySince > LOSS_LEASE_FRACTION * leaseMillis) {
            state = State.SERVING_WITHOUT;
        }
    }

    boolean isServingWithout() {
        return state == State.SERVING_WITHOUT;
    }
}
