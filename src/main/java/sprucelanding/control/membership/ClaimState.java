package sprucelanding.control.membership;

/**
 * How a claim of this governor stands, as the host knows it.
 *
 * <table>
 *   <caption>Transitions; those not listed leave the state as it is</caption>
 *   <tr><th>from</th><th>condition</th><th>to</th></tr>
 *   <tr><td>any</td><td>a majority's grants hold</td><td>OWNED</td></tr>
 *   <tr><td>OWNED, LAPSED, RETAINED</td><td>they do not, and the governor serves without a
 *       majority</td><td>RETAINED</td></tr>
 *   <tr><td>OWNED, LAPSED, RETAINED</td><td>they do not, and it does not serve without
 *       one</td><td>LAPSED</td></tr>
 * </table>
 */
enum ClaimState {
    /** Asked for, and not yet owned: nothing may be written to the proxy. */
    REQUESTED,
    /** Granted by a majority: writes may leave until the lease ends. */
    OWNED,
    /** Owned before; nothing may be written until it is owned or retained again. */
    LAPSED,
    /** Owned before; served on without a majority for as long as its stream lasts. */
    RETAINED;

    /** The state that follows from whether a majority's grants hold. */
    ClaimState next(boolean majorityGrantsHold, boolean servingWithoutMajority) {
        if (majorityGrantsHold) {
            return OWNED;
        }
        if (this == REQUESTED) {
            return REQUESTED;
        }
        return servingWithoutMajority ? RETAINED : LAPSED;
    }
}
