package sprucelanding;

import java.util.LinkedHashMap;
import java.util.Map;

/** One shared table as it was ordered, and the weights it is coming to. */
final class Table {
    /** A line: the weight it has come to and the one last ordered. */
    static final class Row {
        final Replica replica;
        double weight;
        double sent;

        Row(Replica replica) {
            this.replica = replica;
        }
    }

    final int number;
    /** A product of this table: all that share it are open to the same replicas. */
    final Product like;
    /** The zone of its proxies and replicas, or -1 for all. */
    final int home;
    /** The products on it, as a mask of their positions. */
    int products;
    final Map<Replica, Row> rows = new LinkedHashMap<>();
    /** By product, the level and the retry last ordered; a negative level is none. */
    final double[] letIn;
    final int[] retry;

    Table(int number, Product like, int home, int products) {
        this.number = number;
        this.like = like;
        this.home = home;
        this.letIn = new double[products];
        this.retry = new int[products];
        java.util.Arrays.fill(letIn, -1);
    }
}
