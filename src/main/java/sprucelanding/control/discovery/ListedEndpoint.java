package sprucelanding.control.discovery;

/**
 * One replica as listed.
 *
 * @param zone position among the site's zones
 * @param kind position among the site's machine kinds
 * @param startedAt ms since 1970 of its latest start; 0 if long past
 */
public record ListedEndpoint(
        long id,
        String host,
        int port,
        int zone,
        int machineKind,
        double weight,
        double startedAt,
        State state) {
    public enum State {
        READY,
        DRAINING,
        GONE
    }
}
