package sprucelanding.simulation.model;

/**
 * Entry of a proxy's routing table.
 *
 * @param <K> type that identifies an endpoint
 */
public final class WeightedEndpoint<K> {
    /** Version of the resource that contained this entry; empty if unknown. */
    public final String version;

    /** Endpoint that requests are sent to. */
    public final K endpoint;

    /** Weight relative to the other entries of the table. */
    public final double weight;

    /** Whether new requests may be sent to the endpoint; false for a draining endpoint. */
    public final boolean healthy;

    /** Current credit of the entry in the smooth weighted round robin. */
    double credit;

    /** Creates an entry without credit. */
    public WeightedEndpoint(String version, K endpoint, double weight, boolean healthy) {
        this.version = version;
        this.endpoint = endpoint;
        this.weight = weight;
        this.healthy = healthy;
    }
}
