package sprucelanding.control.distribution;

import java.util.Collection;
import java.util.List;
import sprucelanding.control.decision.Endpoint;

/** What one moment's orders come to for one proxy: a single message of the channel. */
public record ProxyUpdate(
        int proxyId,
        List<TableUpdate> tables,
        Collection<Endpoint> ejected,
        Collection<Endpoint> restored,
        int acknowledgementId) {
    /** No receipt is asked for. */
    public static final int NO_ACKNOWLEDGEMENT = -1;

    /** Lines that it costs in the channel, its head not counted. */
    public int lineCost() {
        return tables.stream().mapToInt(TableUpdate::cost).sum()
                + ejected.size()
                + restored.size()
                + (acknowledgementId == NO_ACKNOWLEDGEMENT ? 0 : 1);
    }
}
