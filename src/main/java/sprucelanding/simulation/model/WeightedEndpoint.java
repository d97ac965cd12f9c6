package sprucelanding.simulation.model;

/** One line of a proxy's table; at is whatever tells its replica. */
public final class WeightedEndpoint<K> {
    public final String version;
    public final K endpoint;
    public final double weight;
    public final boolean healthy;

    /** For picks in turn. */
    double credit;

    public WeightedEndpoint(String version, K endpoint, double weight, boolean healthy) {
        this.version = version;
        this.endpoint = endpoint;
        this.weight = weight;
        this.healthy = healthy;
    }
}
