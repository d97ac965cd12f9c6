package sprucelanding.control.decision;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.BitSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** One shared table as it was ordered, and the weights it is coming to. */
final class RoutingTable {
    /**
     * A line: the weight it has come to, the one last ordered, and how urgent the difference is.
     */
    static final class TableEntry {
        final RoutingTable table;
        final Endpoint endpoint;
        double weight;
        double sentWeight;
        double rank;

        TableEntry(RoutingTable table, Endpoint endpoint) {
            this.table = table;
            this.endpoint = endpoint;
        }

        TableEntry withWeight(double weight) {
            this.weight = weight;
            return this;
        }

        void markSent(double weight) {
            table.sentWeight += weight - sentWeight;
            endpoint.sentWeight += weight - sentWeight;
            sentWeight = weight;
        }
    }

    /** -1 while it is laid nowhere. */
    int number;

    /** A product of this table: all that share it are open to the same replicas. */
    final RequestClass requestClass;

    /** The zone of its proxies and replicas, or -1 for all. */
    final int zone;

    /**
     * The table of all servers that this one is a part of, or itself; and the parts of that one, if
     * any.
     */
    final RoutingTable fullTable;

    final List<RoutingTable> subsets = new ArrayList<>();

    /** The products on it, by their positions. */
    final BitSet requestClasses;

    final Map<Endpoint, TableEntry> entries = new LinkedHashMap<>();

    /** The joined proxies that were put on it. */
    final Set<Proxy> users = new LinkedHashSet<>();

    /** These, and those that have been since it was last cleared. */
    final Set<Proxy> receivers = new LinkedHashSet<>();

    /** By product, the level and the retry last ordered; a negative level is none. */
    final double[] sentAdmission;

    final int[] sentRetryPolicy;

    /** Sum of its lines' weights, as last ordered, and as wanted when last ranked. */
    double sentWeight;

    double targetWeight;

    /** It is a starter table: nobody holds connections for its lines once nobody goes by it. */
    boolean starter;

    /** Traffic of the proxies that are assigned to it as a starter table, txns a second. */
    double assignedDemand;

    int assignedProxies;

    /** When a line of it was last ordered, ms. */
    double lastEntryTime = Double.NEGATIVE_INFINITY;

    /** When a level of it was last ordered, ms. */
    double lastAdmissionTime = Double.NEGATIVE_INFINITY;

    /** Demand for each unit of its replicas' speed; 1 is the mean over all. */
    double relativeDemand;

    RoutingTable(int number, RequestClass like, int home, RoutingTable wide, int products) {
        this.number = number;
        this.requestClass = like;
        this.zone = home;
        this.fullTable = wide == null ? this : wide;
        this.requestClasses = wide == null ? new BitSet() : wide.requestClasses;
        this.sentAdmission = new double[products];
        this.sentRetryPolicy = new int[products];
        Arrays.fill(sentAdmission, -1);
    }

    void removeProxy(Proxy proxy) {
        users.remove(proxy);
        receivers.remove(proxy);
    }

    /** No lines and no levels are left of it at the host. */
    void cleared() {
        number = -1;
        receivers.clear();
        entries.values().forEach(entry -> entry.markSent(0));
        Arrays.fill(sentAdmission, -1);
    }

    boolean accepts(Endpoint endpoint) {
        return (requestClass.kinds.isEmpty() || requestClass.kinds.get(endpoint.kind))
                && (requestClass.zones.isEmpty() || requestClass.zones.get(endpoint.zone))
                && (zone < 0 || zone == endpoint.zone);
    }

    /** How many of its lines are of replicas that are on the list. */
    int listedEntries() {
        return (int) entries.keySet().stream().filter(Endpoint::isListed).count();
    }

    /**
     * A part takes one more of the servers, at the weight that it has come to in the table of all.
     */
    void addFromFullTable(Endpoint endpoint) {
        entryOf(endpoint).weight = fullTable.entryOf(endpoint).weight;
        endpoint.subsetDemand++;
    }

    /** Whether the table as last ordered gives it traffic. */
    boolean contains(Endpoint endpoint) {
        TableEntry entry = entries.get(endpoint);
        return entry != null && entry.sentWeight > 0;
    }

    boolean isEmpty() {
        return sentWeight == 0;
    }

    TableEntry entryOf(Endpoint endpoint) {
        return entries.computeIfAbsent(endpoint, x -> new TableEntry(this, x));
    }
}
