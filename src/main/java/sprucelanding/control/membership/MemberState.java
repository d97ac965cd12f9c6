package sprucelanding.control.membership;

/**
 * What a governor knows of a member of the fleet.
 *
 * @param id the member's number
 * @param generation when the member's process began, ms since 1970 or above; 0 if unheard of
 * @param incarnation raised by the member each time that it refutes a suspicion
 * @param heartbeatNumber the highest number of a heartbeat heard of it, directly or through others
 * @param state what the member is held for
 */
public record MemberState(
        int id,
        long generation,
        int incarnation,
        long heartbeatNumber,
        FailureDetector.State state) {}
