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
 *   <tr><td>CHECKING</td><td>REJECTED</td><td>they did, or a newer version was offered</td></tr>
 *   <tr><td>ACCEPTED</td><td>PROBATION</td><td>the fleet is calm and no version on probation</td></tr>
 *   <tr><td>ACCEPTED</td><td>REJECTED</td><td>a newer version is offered, or the fleet was not calm
 *       for too long</td></tr>
 *   <tr><td>PROBATION</td><td>LAST_GOOD</td><td>service held for the time of the probation</td></tr>
 *   <tr><td>PROBATION</td><td>ROLLED_BACK</td><td>service dropped while the fleet was calm</td></tr>
 *   <tr><td>LAST_GOOD</td><td>REPLACED</td><td>the version on probation becomes the last good
 *       one</td></tr>
 * </table>
 */
enum VersionState {
    /** Waits to be checked; the newest version that the source offered. */
    OFFERED,
    /** The host checks it. */
    CHECKING,
    /** Waits for a calm fleet. */
    ACCEPTED,
    /** In force, and can be rolled back. */
    PROBATION,
    /**
     * Passed its probation, or was in force at the start; in force unless another is on probation.
     */
    LAST_GOOD,
    /** Never was in force; final. */
    REJECTED,
    /** Was in force until service dropped; final. */
    ROLLED_BACK,
    /** A newer version passed its probation; final. */
    REPLACED;

    /** Whether a version may go from this state to another. */
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

    /** Whether a version stays in this state for good and need not be kept. */
    boolean isFinal() {
        return successors().isEmpty();
    }
}
