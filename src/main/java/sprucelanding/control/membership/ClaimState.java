package sprucelanding.control.membership;

/**
 * The state of one of this governor's claims, as reported to the host.
 *
 * <table>
 *   <caption>Transitions; all other conditions leave the state unchanged</caption>
 *   <tr><th>from</th><th>condition</th><th>to</th></tr>
 *   <tr><td>any</td><td>grants of a majority are valid</td><td>OWNED</td></tr>
 *   <tr><td>OWNED, LAPSED, RETAINED</td><td>no majority's grants are valid, and the governor serves
 *       without a majority</td><td>RETAINED</td></tr>
 *   <tr><td>OWNED, LAPSED, RETAINED</td><td>no majority's grants are valid, and the governor does
 *       not serve without a majority</td><td>LAPSED</td></tr>
 * </table>
 */
enum ClaimState {
    /** Requested and not yet owned. Nothing may be written to the proxy. */
    REQUESTED,
    /** Granted by a majority. The proxy may be written to until the lease ends. */
    OWNED,
    /** Owned before. Nothing may be written to the proxy until it is owned or retained again. */
    LAPSED,
    /** Owned before. The proxy is served without a majority for as long as its stream lasts. */
    RETAINED;

    /** Returns the state that follows from whether the grants of a majority are valid. */
    ClaimState next(boolean hasValidMajority, boolean servingWithoutMajority) {
        if (hasValidMajority) {
            return OWNED;
        }
        if (this == REQUESTED) {
            return REQUESTED;
        }
        return servingWithoutMajority ? RETAINED : LAPSED;
    }
}
