package sprucelanding.replay.capture;

/**
 * What is kept of a service, each with its fields: b boolean, i int, l long, d double, s text. The
 * order of this list is the file's: new ones go to the end, and none changes, or Blocks.VERSION
 * does.
 */
public enum EventType {
    CLOCK(EventSource.INPUT, "d"),
    BELL(EventSource.INPUT, "i"),
    LIST_OPENS(EventSource.INPUT, "bb"),
    /** Replica, zone, kind, weight, started at, stage. */
    LISTED(EventSource.INPUT, "liiddi"),
    LIST_CLOSES(EventSource.INPUT, ""),
    LIST_FAILED(EventSource.INPUT, ""),
    /** Replica, answer, load. */
    PROBED(EventSource.INPUT, "lid"),
    /** Replica, tries, voided, answer time, load. */
    MET(EventSource.INPUT, "liidd"),
    IN_FORCE(EventSource.INPUT, "i"),
    /** Proxy, product, count, span. */
    CAME(EventSource.INPUT, "iiid"),
    /** Proxy, zone, usual, bare. */
    JOINED(EventSource.INPUT, "iidb"),
    LEFT(EventSource.INPUT, "i"),
    /**
     * One decision was asked for; the orders before it, back to the input before them, are its own.
     */
    DECIDED(EventSource.INPUT, "b"),
    /** Table, replica, weight. */
    LINE(EventSource.ORDER, "ild"),
    CLEAR(EventSource.ORDER, "i"),
    WITHDRAW(EventSource.ORDER, "lb"),
    /** Table, product, let in, retry. */
    LEVEL(EventSource.ORDER, "iidi"),
    /** Table, proxy, products. */
    BIND(EventSource.ORDER, "iis"),
    RECEIPT(EventSource.ORDER, "i"),
    PROBE(EventSource.ORDER, "l"),
    TELL_PEERS(EventSource.ORDER, "s"),
    WATCH_LIST(EventSource.ORDER, ""),
    TIMER(EventSource.ORDER, "id"),
    LOG(EventSource.ORDER, "s"),
    /** At, replica, address. */
    ADDRESS(EventSource.HEARD, "dls"),
    /** At, proxy, span. */
    REPORT(EventSource.HEARD, "did"),
    /** Of the report before: replica, issued, settled, voided, answer times, loads, told. */
    REPORT_MET(EventSource.HEARD, "llllddl"),
    /** Of the report before: product, count. */
    REPORT_CAME(EventSource.HEARD, "il"),
    /** At, proxy, message, kind, lines. */
    SENT(EventSource.HEARD, "dilsi"),
    /** At, proxy, message, why it was refused or nothing. */
    ANSWERED(EventSource.HEARD, "dils"),
    /** A client's txn: came at, product, txn, work, proxy. */
    TXN(EventSource.TRUTH, "dildi"),
    /** Ended at, product, txn, outcome, took. */
    ENDED(EventSource.TRUTH, "dilid"),
    /** At, replica, product, proxy, attempt: a try began to run. */
    RAN(EventSource.TRUTH, "dliii"),
    /** At, the number that the governor gave to a proxy, its name. */
    NAMED(EventSource.HEARD, "dis");

    /**
     * Who it comes from: what Choice was told, what it ordered, what else the governor heard, what
     * stand-ins know.
     */
    public enum EventSource {
        INPUT,
        ORDER,
        HEARD,
        TRUTH
    }

    public final EventSource source;
    final String fieldTypes;

    EventType(EventSource source, String fieldTypes) {
        this.source = source;
        this.fieldTypes = fieldTypes;
    }

    /** Its first field is the time at which it was, in ms; else it was at the last CLOCK. */
    boolean hasTimestamp() {
        return source == EventSource.HEARD && fieldTypes.startsWith("d")
                || source == EventSource.TRUTH;
    }
}
