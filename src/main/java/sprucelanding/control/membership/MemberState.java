package sprucelanding.control.membership;

/**
 * The state of one member of the fleet, as one governor knows it.
 *
 * @param id the member's number
 * @param generation start time of the member's process in ms since 1970, or higher; 0 if no
 *     heartbeat of the member was ever received
 * @param incarnation number that the member raises each time it refutes a suspicion
 * @param heartbeatNumber the highest heartbeat number of the member that was received, directly or
 *     through other members
 * @param state the liveness state that the governor assigns to the member
 */
public record MemberState(
        int id,
        long generation,
        int incarnation,
        long heartbeatNumber,
        FailureDetector.State state) {}
