package sprucelanding.control.decision;

/** The entry of one endpoint in a routing table: its target weight and its weight as last sent. */
final class TableEntry {
    private final RoutingTable table;
    private final Endpoint endpoint;
    private double weight;
    private double sentWeight;
    private double rank;

    TableEntry(RoutingTable table, Endpoint endpoint) {
        this.table = table;
        this.endpoint = endpoint;
    }

    RoutingTable table() {
        return table;
    }

    Endpoint endpoint() {
        return endpoint;
    }

    /** Returns the weight that the policy has determined. */
    double weight() {
        return weight;
    }

    void setWeight(double weight) {
        this.weight = weight;
    }

    /** Returns the weight as last sent; 0 if the table at the proxies lacks the endpoint. */
    double sentWeight() {
        return sentWeight;
    }

    void markSent(double newWeight) {
        double change = newWeight - sentWeight;
        table.addSentWeight(change);
        endpoint.addSentWeight(change);
        sentWeight = newWeight;
    }

    /**
     * Returns the urgency of the pending weight change; the highest comes first. {@link
     * WeightUpdateScheduler} determines the rank.
     */
    double rank() {
        return rank;
    }

    void setRank(double rank) {
        this.rank = rank;
    }
}
