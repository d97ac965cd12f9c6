package sprucelanding.control.distribution;

import java.util.Collection;
import java.util.List;
import sprucelanding.control.decision.Endpoint;

/**
 * The orders of one batch that concern one proxy: a single message of the channel.
 *
 * @param proxyId the host's number of the proxy
 * @param tables whole tables and changes of tables, in the order in which they came up
 * @param ejected endpoints that the proxy must take out of all its tables
 * @param restored endpoints that the proxy may use again
 * @param acknowledgementId the number by which the proxy acknowledges that it applied the message;
 *     {@link #NO_ACKNOWLEDGEMENT} if it need not
 */
public record ProxyUpdate(
        int proxyId,
        List<TableUpdate> tables,
        Collection<Endpoint> ejected,
        Collection<Endpoint> restored,
        int acknowledgementId) {
    /** No acknowledgement is requested. */
    public static final int NO_ACKNOWLEDGEMENT = -1;

    /** Lines that the message costs in the channel, its fixed overhead not counted. */
    public int lineCost() {
        return tables.stream().mapToInt(TableUpdate::lineCost).sum()
                + ejected.size()
                + restored.size()
                + (acknowledgementId == NO_ACKNOWLEDGEMENT ? 0 : 1);
    }
}
