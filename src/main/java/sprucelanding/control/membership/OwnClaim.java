package sprucelanding.control.membership;

/** A claim of this governor for a proxy that is connected to it. */
final class OwnClaim {
    private final long proxy;
    private long epoch;

    /** The voters that granted the claim, as one bit each. */
    private int grantedVoters;

    private double connectedAt;
    private double nextRequestAt;
    private ClaimState state = ClaimState.REQUESTED;

    /**
     * Whether the stream here must end because the proxy has a newer stream at another governor.
     */
    private boolean yielding;

    OwnClaim(long proxy) {
        this.proxy = proxy;
    }

    /** Handles a stream that the proxy has opened, which may replace an earlier one. */
    void connect(double now) {
        connectedAt = now;
        yielding = false;
    }

    /** Starts the claim again under an epoch, without any grant. */
    void restart(long newEpoch) {
        epoch = newEpoch;
        grantedVoters = 0;
    }

    void requestAt(double time) {
        nextRequestAt = time;
    }

    void requestBy(double time) {
        nextRequestAt = Math.min(nextRequestAt, time);
    }

    void addGrant(int voter) {
        grantedVoters |= 1 << voter;
    }

    void removeGrant(int voter) {
        grantedVoters &= ~(1 << voter);
    }

    void markYielding() {
        yielding = true;
    }

    /** Moves the claim to a state. Returns false if the claim is in this state already. */
    boolean moveTo(ClaimState next) {
        if (next == state) {
            return false;
        }
        state = next;
        return true;
    }

    boolean isClaimed() {
        return epoch != 0;
    }

    boolean isYielding() {
        return yielding;
    }

    boolean isGrantedBy(int voters) {
        return grantedVoters == voters;
    }

    boolean isRequestDue(double now) {
        return nextRequestAt <= now && !yielding;
    }

    /** Returns whether the proxy's current stream has lasted longer than a time in ms. */
    boolean isConnectedLongerThan(double millis, double now) {
        return now - connectedAt > millis;
    }

    /** Returns the claim as it is sent in requests and releases. */
    Claim toClaim() {
        return new Claim(proxy, epoch);
    }

    long proxy() {
        return proxy;
    }

    long epoch() {
        return epoch;
    }

    int grantedVoters() {
        return grantedVoters;
    }

    double nextRequestAt() {
        return nextRequestAt;
    }

    ClaimState state() {
        return state;
    }
}
