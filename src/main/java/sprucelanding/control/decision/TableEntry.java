package sprucelanding.control.decision;

/**
 * One endpoint's entry in a routing table: the weight that it should have, and the one that was
 * last sent.
 */
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

    /** The weight that the policy has come to. */
    double weight() {
        return weight;
    }

    void setWeight(double weight) {
        this.weight = weight;
    }

    /** The weight as last sent; 0 if the endpoint is not in the table that proxies hold. */
    double sentWeight() {
        return sentWeight;
    }

    void markSent(double newWeight) {
        double change = newWeight - sentWeight;
        table.addSentWeight(change);
        endpoint.addSentWeight(change);
        sentWeight = newWeight;
    }

    /** How urgent the difference is, the highest first; see {@link WeightUpdateScheduler}. */
    double rank() {
        return rank;
    }

    void setRank(double rank) {
        this.rank = rank;
    }
}
