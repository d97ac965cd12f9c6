package sprucelanding.config.configstream;

import java.util.Set;

/**
 * States of a configuration version. At most one version is in each of the first five states.
 *
 * <table>
 *   <caption>Transitions</caption>
 *   <tr><th>from</th><th>to</th><th>when</th></tr>
 *   <tr><td>OFFERED</td><td>CHECKING</td><td>no other version is being checked</td></tr>
 *   <tr><td>OFFERED</td><td>REJECTED</td><td>a newer version is offered</td></tr>
 *   <tr><td>CHECKING</td><td>ACCEPTED</td><td>the checks found no fault</td></tr>
 *   <tr><td>CHECKING</td><td>REJECTED</td><td>the checks found a fault, or a newer version
 *       was offered</td></tr>
 *   <tr><td>ACCEPTED</td><td>PROBATION</td><td>the fleet is calm and no version is on
 *       probation</td></tr>
 *   <tr><td>ACCEPTED</td><td>REJECTED</td><td>a newer version is offered, or the fleet was not calm
 *       for too long</td></tr>
 *   <tr><td>PROBATION</td><td>LAST_GOOD</td><td>service did not drop during the probation</td></tr>
 *   <tr><td>PROBATION</td><td>ROLLED_BACK</td><td>service dropped while the fleet was calm</td></tr>
 *   <tr><td>LAST_GOOD</td><td>REPLACED</td><td>the version on probation becomes the last good
 *       one</td></tr>
 * </table>
 */
enum VersionState {
    /** The newest version that the source offered, which waits to be checked. */
    OFFERED,
    /** The version that the host checks. */
    CHECKING,
    /** A valid version that waits for a calm fleet. */
    ACCEPTED,
    /** The version in force that can still be rolled back. */
    PROBATION,
    /**
     * The version that passed its probation last, or was in force at the start. The version is in
     * force unless another version is on probation.
     */
    LAST_GOOD,
    /** Final state of a version that never was in force. */
    REJECTED,
    /** Final state of a version that was in force until service dropped. */
    ROLLED_BACK,
    /** Final state of a version after a newer version passed its probation. */
    REPLACED;

    /** Returns whether a version can change from this state to another state. */
    boolean canBecome(VersionState next) {
        return successors().contains(next);
    }

    private Set<VersionState> successors() {
        return switch (this) {
            case OFFERED -> Set.of(CHECKING, REJECTED);
            case CHECKING -> Set.of(ACCEPTED, REJECTED);
            case ACCEPTED -> Set.of(PROBATION, REJECTED);
            case PROBATION -> Set.of(LAST_GOOD, ROLLED_BACK);
            case LAST_GOOD -> Set.of(REPLACED);
            case REJECTED, ROLLED_BACK, REPLACED -> Set.of();
        };
    }

    /** Returns whether a version never leaves this state and need not be tracked. */
    boolean isFinal() {
        return successors().isEmpty();
    }
}
