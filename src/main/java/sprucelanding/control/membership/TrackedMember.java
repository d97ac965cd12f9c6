package sprucelanding.control.membership;

/**
 * One member of the fleet as the {@link FailureDetector} of a governor sees it. The governor itself
 * is a member as well. All transitions of other members are in {@link #merge} and {@link
 * #checkSilence}. {@link FailureDetector} documents them as a table.
 */
final class TrackedMember {
    private final int id;
    private long generation;
    private int incarnation;
    private long heartbeatNumber;
    private FailureDetector.State state = FailureDetector.State.DEAD;
    private double lastHeartbeatAt = Double.NEGATIVE_INFINITY;

    TrackedMember(int id) {
        this.id = id;
    }

    /** Marks this member as the governor itself, alive in its own generation. */
    void startAsSelf(long ownGeneration) {
        generation = ownGeneration;
        state = FailureDetector.State.ALIVE;
    }

    /**
     * Merges a reported state of this member, unless the report is outdated.
     *
     * @return whether the member's state has changed; the reset to DEAD by a later generation does
     *     not count as a change
     */
    boolean merge(MemberState reported, double now) {
        if (reported.generation() < generation) {
            return false;
        }
        if (reported.generation() > generation) {
            restart(reported);
        }
        boolean refutes = reported.incarnation() > incarnation;
        incarnation = Math.max(incarnation, reported.incarnation());
        boolean newer = reported.heartbeatNumber() > heartbeatNumber;
        if (newer) {
            heartbeatNumber = reported.heartbeatNumber();
            lastHeartbeatAt = now;
        }
        return moveTo(stateAfter(reported, newer, refutes));
    }

    private boolean moveTo(FailureDetector.State next) {
        boolean changed = next != state;
        state = next;
        return changed;
    }

    private void restart(MemberState reported) {
        generation = reported.generation();
        incarnation = reported.incarnation();
        heartbeatNumber = 0;
        state = FailureDetector.State.DEAD;
        lastHeartbeatAt = Double.NEGATIVE_INFINITY;
    }

    private FailureDetector.State stateAfter(MemberState reported, boolean newer, boolean refutes) {
        boolean current = reported.incarnation() >= incarnation;
        if (reported.state() == FailureDetector.State.LEFT && current) {
            return FailureDetector.State.LEFT;
        }
        if (newer && isLive(reported.state()) && (refutes || state != FailureDetector.State.LEFT)) {
            return FailureDetector.State.ALIVE;
        }
        if (reported.state() == FailureDetector.State.DEAD
                && current
                && state == FailureDetector.State.SUSPECT) {
            return FailureDetector.State.DEAD; // two governors agree that the member is silent
        }
        return state;
    }

    /** Moves a silent member to SUSPECT, then to DEAD. Returns whether the state has changed. */
    boolean checkSilence(double now, double suspectAfterMillis, double deadAfterMillis) {
        double silentMillis = now - lastHeartbeatAt;
        if (state == FailureDetector.State.ALIVE && silentMillis > suspectAfterMillis) {
            return moveTo(FailureDetector.State.SUSPECT);
        }
        if (state == FailureDetector.State.SUSPECT
                && silentMillis > suspectAfterMillis + deadAfterMillis) {
            return moveTo(FailureDetector.State.DEAD);
        }
        return false;
    }

    /**
     * Moves the time of the last heartbeat forward by a time during which the governor itself
     * stalled, so that this time does not count as silence of the member.
     */
    void excludeFromSilence(double millis) {
        lastHeartbeatAt += millis;
    }

    /**
     * Raises the incarnation if a report shows the governor itself, in its current generation and
     * incarnation, in any state but ALIVE. Returns whether the incarnation was raised.
     */
    boolean refute(MemberState reported) {
        boolean wronglySuspected =
                reported.generation() == generation
                        && reported.incarnation() >= incarnation
                        && reported.state() != FailureDetector.State.ALIVE;
        if (!wronglySuspected || state != FailureDetector.State.ALIVE) {
            return false;
        }
        incarnation = reported.incarnation() + 1;
        return true;
    }

    /** Marks the governor itself as leaving. */
    void leave() {
        state = FailureDetector.State.LEFT;
    }

    /** Increments the governor's own heartbeat number. */
    void incrementHeartbeatNumber() {
        heartbeatNumber++;
    }

    boolean isLive() {
        return isLive(state);
    }

    private static boolean isLive(FailureDetector.State state) {
        return state == FailureDetector.State.ALIVE || state == FailureDetector.State.SUSPECT;
    }

    boolean isKnown() {
        return generation > 0;
    }

    MemberState snapshot() {
        return new MemberState(id, generation, incarnation, heartbeatNumber, state);
    }

    int id() {
        return id;
    }

    long generation() {
        return generation;
    }

    FailureDetector.State state() {
        return state;
    }
}
