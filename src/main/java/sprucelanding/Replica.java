package sprucelanding;

/** One replica: what the list says, what was reported and what was met there. */
public final class Replica {
    public final long id;
    int zone;
    int kind;
    double listedWeight = 1;
    /** ms on the host's clock; 0 if long past. */
    double startedAt;
    Choice.Stage stage = Choice.Stage.GONE;

    /** Last reported share of busy cores, the same smoothed, and when the last report came. */
    double load;
    double steadyLoad;
    double heardAt = Double.NEGATIVE_INFINITY;
    /** Faded sums: ms of busy time, and tries by outcome. */
    double busyTime;
    double settled;
    double tries;
    double voided;
    /** Sum of the settled tries' answer times. */
    double waited;

    /** The least weight by the speed learnt so far, and what its health leaves of it. */
    double speed = 1;

    boolean probing;
    /** Probes in a row without, and with, an answer. */
    double unanswered;
    int answered;
    /** Kept out of the tables for its health, at least until then; and for its load. */
    boolean out;
    double outUntil = Double.NEGATIVE_INFINITY;
    double sentence;
    boolean zeroed;
    /** When a report last told of a settled try. */
    double settledAt = Double.NEGATIVE_INFINITY;
    /** Reports before this time tell of an earlier life. */
    double deafUntil;

    Replica(long id) {
        this.id = id;
    }
}
