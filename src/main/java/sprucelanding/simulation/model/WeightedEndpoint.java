package sprucelanding.simulation.model;

/**
 * One entry of a proxy's routing table.
 *
 * @param <K> identifies the endpoint
 */
public final class WeightedEndpoint<K> {
    /** The version of the resource that brought it; empty if unknown. */
    public final String version;

    /** The endpoint that it leads to. */
    public final K endpoint;

    /** Its weight among the entries of its table. */
    public final double weight;

    /** Whether new requests may be sent to it; a draining endpoint takes none. */
    public final boolean healthy;

    /** Credit of the smooth weighted round robin. */
    double credit;

    /** Creates an entry without credit. */
    public WeightedEndpoint(String version, K endpoint, double weight, boolean healthy) {
        this.version = version;
        this.endpoint = endpoint;
        this.weight = weight;
        this.healthy = healthy;
    }
}
