package sprucelanding.control.membership;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * A failure detector that determines which governors of a fleet are live. Each governor sends
 * heartbeats with an increasing number. A heartbeat also carries the highest heartbeat numbers that
 * its sender knows of some other members, so a member that one governor cannot reach directly still
 * counts as alive. The protocol follows SWIM (Das, Gupta, Motivala, 2002): suspicion before death,
 * and refutation by a higher incarnation.
 *
 * <table>
 *   <caption>Transitions of another member</caption>
 *   <tr><th>from</th><th>event</th><th>to</th></tr>
 *   <tr><td>ALIVE, SUSPECT, DEAD</td><td>a newer heartbeat of the member, received directly or
 *       reported</td><td>ALIVE</td></tr>
 *   <tr><td>LEFT</td><td>a report of a newer heartbeat with a higher
 *       incarnation</td><td>ALIVE</td></tr>
 *   <tr><td>ALIVE</td><td>no newer heartbeat for suspectAfterMillis</td><td>SUSPECT</td></tr>
 *   <tr><td>SUSPECT</td><td>no newer heartbeat for another deadAfterMillis, or a report by another
 *       member that considers the member dead</td><td>DEAD</td></tr>
 *   <tr><td>any</td><td>a report of the current incarnation that the member
 *       left</td><td>LEFT</td></tr>
 *   <tr><td>any</td><td>a report of a later generation</td><td>DEAD first, then the state that
 *       follows from the same report</td></tr>
 * </table>
 *
 * <p>The governor itself is ALIVE until {@link #announceLeave} is called, and LEFT from then on.
 * When another member reports the governor in any state but ALIVE, the governor raises its
 * incarnation.
 *
 * <p>Call {@link #advanceTo}, then {@link #onHeartbeat} or {@link #announceLeave}, then {@link
 * #decide} until it returns false. Not safe for use by several threads.
 */
public final class FailureDetector {
    /** The liveness state of a member. The ordinals are the codes on the wire. */
    public enum State {
        /** A heartbeat was received recently. */
        ALIVE,
        /** No heartbeat was received for some time. The member still counts as live. */
        SUSPECT,
        /** No heartbeat was received for a long time, or ever. */
        DEAD,
        /** The member announced that it stops. */
        LEFT
    }

    /** The actions that the host performs. */
    public interface Actions {
        /** Sends a heartbeat to all other governors. The message may be lost. */
        void sendHeartbeat(Heartbeat heartbeat);

        /** Reports that a member's state has changed. */
        void onStateChanged(int id, State state);
    }

    /** The largest number of governors in a fleet. */
    static final int MAX_GOVERNORS = 32;

    /**
     * Number of heartbeat intervals between two calls above which this governor itself is
     * considered to have stalled.
     */
    private static final double STALL_HEARTBEAT_INTERVALS = 4;

    /** Number of other members whose states one heartbeat carries. */
    private static final int MAX_OTHERS_PER_HEARTBEAT = 8;

    private final int selfId;
    private final double heartbeatIntervalMillis;
    private final double suspectAfterMillis;
    private final double deadAfterMillis;
    private final Map<Integer, TrackedMember> membersById = new TreeMap<>();
    private final Set<Integer> changedMembers = new TreeSet<>();
    private double now;
    private boolean clockStarted;
    private double lastSentAt = Double.NEGATIVE_INFINITY;
    private boolean heartbeatDue;
    private int nextMemberIndex;

    /**
     * Creates the detector of one generation of a governor.
     *
     * @param selfId this governor's id
     * @param generation start time of this governor's process in ms since 1970, or higher; it must
     *     be above the generations of its earlier processes
     * @param governorIds ids of all configured governors, including this governor; at most 32
     * @param heartbeatIntervalMillis ms between heartbeats
     * @param suspectAfterMillis ms without a newer heartbeat of a member until the member is
     *     suspected
     * @param deadAfterMillis further ms until the member is considered dead
     * @throws IllegalArgumentException if there are too many ids, or this governor's id is not
     *     among them
     */
    public FailureDetector(
            int selfId,
            long generation,
            Set<Integer> governorIds,
            double heartbeatIntervalMillis,
            double suspectAfterMillis,
            double deadAfterMillis) {
        if (governorIds.size() > MAX_GOVERNORS || !governorIds.contains(selfId)) {
            throw new IllegalArgumentException(
                    "governor ids: got "
                            + governorIds.size()
                            + " ids, expected at most "
                            + MAX_GOVERNORS
                            + " that include "
                            + selfId);
        }
        this.selfId = selfId;
        this.heartbeatIntervalMillis = heartbeatIntervalMillis;
        this.suspectAfterMillis = suspectAfterMillis;
        this.deadAfterMillis = deadAfterMillis;
        governorIds.forEach(id -> membersById.put(id, new TrackedMember(id)));
        self().startAsSelf(generation);
    }

    private TrackedMember self() {
        return membersById.get(selfId);
    }

    /** Sets the clock to a time in ms. A time before the current one changes nothing. */
    public void advanceTo(double time) {
        if (!clockStarted) {
            clockStarted = true;
            now = time;
            return;
        }
        double gapMillis = time - now;
        if (gapMillis > STALL_HEARTBEAT_INTERVALS * heartbeatIntervalMillis) {
            // This governor stalled itself, so the missing heartbeats say nothing about the others.
            membersById.values().forEach(member -> member.excludeFromSilence(gapMillis));
        }
        now = Math.max(time, now);
    }

    /**
     * Handles a heartbeat.
     *
     * @return false if the heartbeat was ignored because its sender is not configured or it is of
     *     an earlier generation
     */
    public boolean onHeartbeat(Heartbeat heartbeat) {
        Optional<MemberState> senderState =
                heartbeat.view().stream()
                        .filter(reported -> reported.id() == heartbeat.sender())
                        .findFirst();
        TrackedMember sender = membersById.get(heartbeat.sender());
        if (senderState.isEmpty()
                || sender == null
                || heartbeat.sender() == selfId
                || senderState.get().generation() < sender.generation()) {
            return false;
        }
        heartbeat.view().forEach(this::merge);
        return true;
    }

    private void merge(MemberState reported) {
        TrackedMember member = membersById.get(reported.id());
        if (member == null) {
            return;
        }
        if (reported.id() == selfId) {
            heartbeatDue |= member.refute(reported);
            return;
        }
        if (member.merge(reported, now)) {
            changedMembers.add(member.id());
        }
    }

    /** Marks this governor as leaving, so that its next heartbeats announce that it stops. */
    public void announceLeave() {
        self().leave();
        heartbeatDue = true;
    }

    /** Takes one decision. Returns false if no decision is due now. */
    public boolean decide(Actions actions) {
        updateSilentMembers();
        if (!changedMembers.isEmpty()) {
            int id = changedMembers.iterator().next();
            changedMembers.remove(id);
            actions.onStateChanged(id, state(id));
            return true;
        }
        if (heartbeatDue || now - lastSentAt >= heartbeatIntervalMillis) {
            heartbeatDue = false;
            lastSentAt = now;
            self().incrementHeartbeatNumber();
            actions.sendHeartbeat(new Heartbeat(selfId, buildView()));
            return true;
        }
        return false;
    }

    private void updateSilentMembers() {
        for (TrackedMember member : membersById.values()) {
            if (member.id() != selfId
                    && member.checkSilence(now, suspectAfterMillis, deadAfterMillis)) {
                changedMembers.add(member.id());
            }
        }
    }

    /**
     * Returns the states of this governor and of some other members, chosen in turn. With many
     * governors, the heartbeats of one interval together cover all members.
     */
    private List<MemberState> buildView() {
        List<TrackedMember> others =
                membersById.values().stream()
                        .filter(member -> member.id() != selfId && member.isKnown())
                        .toList();
        List<MemberState> view = new ArrayList<>();
        view.add(self().snapshot());
        for (int i = 0; i < Math.min(MAX_OTHERS_PER_HEARTBEAT, others.size()); i++) {
            view.add(others.get(Math.floorMod(nextMemberIndex, others.size())).snapshot());
            nextMemberIndex++;
        }
        return view;
    }

    /** Returns a member's state. */
    public State state(int id) {
        return membersById.get(id).state();
    }

    /**
     * Returns the live members: this governor, and all members that are alive or only suspected.
     */
    public Set<Integer> liveMembers() {
        Set<Integer> live = new TreeSet<>();
        for (TrackedMember member : membersById.values()) {
            if (member.isLive()) {
                live.add(member.id());
            }
        }
        return live;
    }

    /** Returns the number of other live members. */
    public int otherLiveCount() {
        int count = 0;
        for (TrackedMember member : membersById.values()) {
            if (member.id() != selfId && member.isLive()) {
                count++;
            }
        }
        return count;
    }

    /** Returns whether a majority of the configured governors is live. */
    public boolean hasMajority() {
        return 2 * liveMembers().size() > membersById.size();
    }

    /** Returns whether no other governor is live. */
    public boolean isAlone() {
        return membersById.size() > 1 && liveMembers().size() <= 1;
    }
}
