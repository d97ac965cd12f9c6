package sprucelanding.control.membership;

/** A claim of this governor for a proxy that is connected to it. */
final class OwnClaim {
    private final long proxy;
    private long epoch;

    /** Voters that granted it, a bit each. */
    private int grantedVoters;

    private double connectedAt;
    private double nextRequestAt;
    private ClaimState state = ClaimState.REQUESTED;

    /** Its stream is to end, for the proxy has a newer one at another governor. */
    private boolean yielding;

    OwnClaim(long proxy) {
        this.proxy = proxy;
    }

    /** The proxy has opened a stream, maybe another than before. */
    void connect(double now) {
        connectedAt = now;
        yielding = false;
    }

    /** Asks for it under an epoch, with no grant so far. */
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

    /** Takes over its next state; false if that is the present one. */
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

    /** Whether its stream has lasted for longer than that. */
    boolean isConnectedLongerThan(double millis, double now) {
        return now - connectedAt > millis;
    }

    /** The claim as it goes into requests and releases. */
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
