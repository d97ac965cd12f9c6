package sprucelanding.control.distribution;

import java.util.Collection;
import java.util.List;
import sprucelanding.control.decision.Endpoint;

/**
 * A message to one proxy, with all orders of one batch that concern the proxy.
 *
 * @param proxyId number of the proxy at the host
 * @param tables whole tables and changes of tables, in the order in which they were first ordered
 * @param ejected endpoints that the proxy must remove from all its tables
 * @param restored endpoints that the proxy may use again
 * @param acknowledgementId number with which the proxy acknowledges that the message is applied;
 *     {@link #NO_ACKNOWLEDGEMENT} if the proxy need not acknowledge
 */
public record ProxyUpdate(
        int proxyId,
        List<TableUpdate> tables,
        Collection<Endpoint> ejected,
        Collection<Endpoint> restored,
        int acknowledgementId) {
    /** The acknowledgement id of an update for which no acknowledgement is requested. */
    public static final int NO_ACKNOWLEDGEMENT = -1;

    /** Returns the message's cost in the channel, in table entries, without its fixed overhead. */
    public int entryCost() {
        return tables.stream().mapToInt(TableUpdate::entryCost).sum()
                + ejected.size()
                + restored.size()
                + (acknowledgementId == NO_ACKNOWLEDGEMENT ? 0 : 1);
    }
}
