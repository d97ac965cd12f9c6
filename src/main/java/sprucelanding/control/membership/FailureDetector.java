package sprucelanding.control.membership;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * Which governors live. Each sends beats with a number that rises, and in them the highest number
 * it knows of each other, so that who is cut off from one side only still lives. Who is not heard
 * of for a while is suspected, then dead; who hears that of itself refutes it by a higher
 * incarnation. Call clock, then heard or leaves, then decide until it says false.
 */
public final class FailureDetector {
    public enum State {
        ALIVE,
        SUSPECT,
        DEAD,
        LEFT
    }

    public interface Actions {
        /** To all others; it may be lost. */
        void sendHeartbeat(Heartbeat heartbeat);

        void onStateChanged(int id, State state);
    }

    private static final double STALL_HEARTBEATS =
            4; // beats missed of its own, past which it stood still itself
    static final int MAX_GOVERNORS = 32;
    private static final int MAX_OTHERS_PER_HEARTBEAT = 8; // others that one beat tells of

    private static final class Member {
        final int id;
        long generation;
        int incarnation;
        long heartbeatNumber;
        State state = State.DEAD;
        double lastHeardAt = Double.NEGATIVE_INFINITY;

        Member(int id) {
            this.id = id;
        }

        MemberState snapshot() {
            return new MemberState(id, generation, incarnation, heartbeatNumber, state);
        }
    }

    private final int selfId;
    private final double heartbeatIntervalMillis;
    private final double suspectAfterMillis;
    private final double deadAfterMillis;
    private final Map<Integer, Member> membersById = new TreeMap<>();
    private final Set<Integer> changedMembers = new TreeSet<>();
    private double now;
    private double lastAdvancedAt = Double.NaN;
    private double lastHeartbeatAt = Double.NEGATIVE_INFINITY;
    private boolean heartbeatDue;
    private int nextMemberIndex;

    /**
     * @param life ms since 1970 at which this process began: a later life of the same governor has
     *     a higher one
     * @param all ids of all governors that there may be, itself among them; 32 at most
     * @param every ms between beats
     * @param suspectAfter ms without a newer beat
     * @param deadAfter ms more
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
                    "governors: expected "
                            + selfId
                            + " and at most "
                            + (MAX_GOVERNORS - 1)
                            + " others");
        }
        this.selfId = selfId;
        this.heartbeatIntervalMillis = heartbeatIntervalMillis;
        this.suspectAfterMillis = suspectAfterMillis;
        this.deadAfterMillis = deadAfterMillis;
        governorIds.forEach(id -> membersById.put(id, new Member(id)));
        Member selfMember = membersById.get(selfId);
        selfMember.generation = generation;
        selfMember.state = State.ALIVE;
    }

    public void advanceTo(double time) {
        double gap = Double.isNaN(lastAdvancedAt) ? 0 : time - lastAdvancedAt;
        if (gap
                > STALL_HEARTBEATS
                        * heartbeatIntervalMillis) { // it stood still itself: that others were
            // silent meanwhile says
            // nothing of them
            membersById.values().forEach(member -> member.lastHeardAt += gap);
        }
        now =
                Math.max(
                        time,
                        Double.isNaN(lastAdvancedAt)
                                ? time
                                : lastAdvancedAt); // a clock that jumps back stands still
        lastAdvancedAt = now;
    }

    /**
     * A beat arrived. False: it is of no governor that there may be, or of an earlier life, and
     * nothing of it was taken.
     */
    public boolean onHeartbeat(Heartbeat heartbeat) {
        MemberState own =
                heartbeat.view().stream()
                        .filter(reported -> reported.id() == heartbeat.sender())
                        .findFirst()
                        .orElse(null);
        Member sender = membersById.get(heartbeat.sender());
        if (own == null
                || sender == null
                || heartbeat.sender() == selfId
                || own.generation() < sender.generation) {
            return false;
        }
        heartbeat.view().forEach(this::mergeState);
        return true;
    }

    private void mergeState(MemberState reported) {
        Member member = membersById.get(reported.id());
        if (member == null) {
            return;
        }
        if (reported.id() == selfId) {
            boolean wronglySuspected =
                    reported.generation() == member.generation
                            && reported.incarnation() >= member.incarnation
                            && reported.state() != State.ALIVE;
            if (wronglySuspected && member.state == State.ALIVE) {
                member.incarnation = reported.incarnation() + 1;
                heartbeatDue = true;
            }
            return;
        }
        if (reported.generation() < member.generation) {
            return;
        }
        if (reported.generation() > member.generation) { // it started anew
            member.generation = reported.generation();
            member.incarnation = reported.incarnation();
            member.heartbeatNumber = 0;
            member.state = State.DEAD;
            member.lastHeardAt = Double.NEGATIVE_INFINITY;
        }
        boolean refutes = reported.incarnation() > member.incarnation;
        member.incarnation = Math.max(member.incarnation, reported.incarnation());
        boolean newer = reported.heartbeatNumber() > member.heartbeatNumber;
        if (newer) {
            member.heartbeatNumber = reported.heartbeatNumber();
            member.lastHeardAt = now;
        }
        if (reported.state() == State.LEFT && reported.incarnation() >= member.incarnation) {
            state(member, State.LEFT);
        } else if (newer
                && (reported.state() == State.ALIVE || reported.state() == State.SUSPECT)
                && (refutes || member.state != State.LEFT)) {
            state(member, State.ALIVE);
        } else if (reported.state() == State.DEAD
                && reported.incarnation() >= member.incarnation
                && member.state == State.SUSPECT) {
            state(member, State.DEAD); // two that hear nothing agree
        }
    }

    /** This governor is about to stop: it says so with its last beats. */
    public void announceLeave() {
        Member selfMember = membersById.get(selfId);
        selfMember.state = State.LEFT;
        heartbeatDue = true;
    }

    private void state(Member member, State next) {
        if (member.state != next) {
            member.state = next;
            changedMembers.add(member.id);
        }
    }

    /** One decision; false if there is none now. */
    public boolean decide(Actions actions) {
        for (Member member : membersById.values()) {
            if (member.id != selfId
                    && member.state == State.ALIVE
                    && now - member.lastHeardAt > suspectAfterMillis) {
                state(member, State.SUSPECT);
            } else if (member.id != selfId
                    && member.state == State.SUSPECT
                    && now - member.lastHeardAt > suspectAfterMillis + deadAfterMillis) {
                state(member, State.DEAD);
            }
        }
        if (!changedMembers.isEmpty()) {
            int id = changedMembers.iterator().next();
            changedMembers.remove(id);
            actions.onStateChanged(id, membersById.get(id).state);
            return true;
        }
        if (heartbeatDue || now - lastHeartbeatAt >= heartbeatIntervalMillis) {
            heartbeatDue = false;
            lastHeartbeatAt = now;
            membersById.get(selfId).heartbeatNumber++;
            actions.sendHeartbeat(new Heartbeat(selfId, view()));
            return true;
        }
        return false;
    }

    /**
     * Itself, and some of the others by turns: among many, somebody's beat tells of each within the
     * time of one.
     */
    private List<MemberState> view() {
        List<Member> otherMembers =
                new ArrayList<>(
                        membersById.values().stream()
                                .filter(member -> member.id != selfId && member.generation > 0)
                                .toList());
        List<MemberState> view = new ArrayList<>(List.of(membersById.get(selfId).snapshot()));
        for (int i = 0; i < Math.min(MAX_OTHERS_PER_HEARTBEAT, otherMembers.size()); i++) {
            view.add(
                    otherMembers
                            .get(Math.floorMod(nextMemberIndex++, otherMembers.size()))
                            .snapshot());
        }
        return view;
    }

    public State state(int id) {
        return membersById.get(id).state;
    }

    /** Those that take part: itself, and all that are alive or only suspected. */
    public Set<Integer> liveMembers() {
        Set<Integer> live = new TreeSet<>();
        membersById.values().stream()
                .filter(member -> member.state == State.ALIVE || member.state == State.SUSPECT)
                .forEach(member -> live.add(member.id));
        return live;
    }

    /** How many others take part. */
    public int otherLiveCount() {
        int count = 0;
        for (Member member : membersById.values()) {
            count +=
                    member.id != selfId
                                    && (member.state == State.ALIVE
                                            || member.state == State.SUSPECT)
                            ? 1
                            : 0;
        }
        return count;
    }

    /**
     * Whether it is on the side of most of the governors that there may be; else it takes over
     * nothing.
     */
    public boolean hasMajority() {
        return 2 * liveMembers().size() > membersById.size();
    }

    /** It hears of nobody. */
    public boolean isAlone() {
        return membersById.size() > 1 && liveMembers().size() <= 1;
    }
}
