package sprucelanding.replay.capture;

import static sprucelanding.replay.capture.FieldType.BOOLEAN;
import static sprucelanding.replay.capture.FieldType.DOUBLE;
import static sprucelanding.replay.capture.FieldType.INT;
import static sprucelanding.replay.capture.FieldType.LONG;
import static sprucelanding.replay.capture.FieldType.STRING;

import java.util.List;

/**
 * What a capture records, and the fields of each event. Times and spans are ms; proxies, endpoints,
 * tables and request classes are told by the governor's numbers.
 *
 * <p>The order of the constants is part of the file format: new ones go to the end, and none
 * changes, or {@link CaptureFormat#VERSION} does. Names are printed and are values of options.
 */
public enum EventType {
    /** The controller's time was set: time. */
    CLOCK(EventSource.INPUT, DOUBLE),
    /** A timer fired: its tag. */
    BELL(EventSource.INPUT, INT),
    /** An endpoint list begins: whether it is whole, whether it is the first. */
    LIST_OPENS(EventSource.INPUT, BOOLEAN, BOOLEAN),
    /** An endpoint of the list: id, zone, type, weight, start of its process, state. */
    LISTED(EventSource.INPUT, LONG, INT, INT, DOUBLE, DOUBLE, INT),
    /** The endpoint list is complete. */
    LIST_CLOSES(EventSource.INPUT),
    /** The endpoint list could not be read to its end. */
    LIST_FAILED(EventSource.INPUT),
    /** A health check ended: endpoint, result, load. */
    PROBED(EventSource.INPUT, LONG, INT, DOUBLE),
    /** A proxy's statistics of an endpoint: endpoint, attempts, failed, response time, load. */
    MET(EventSource.INPUT, LONG, INT, INT, DOUBLE, DOUBLE),
    /** An acknowledgement arrived: its serial. */
    IN_FORCE(EventSource.INPUT, INT),
    /** Demand at a proxy: proxy, request class, count, span. */
    CAME(EventSource.INPUT, INT, INT, INT, DOUBLE),
    /** A proxy joined: proxy, zone, expected rate, whether it has no tables. */
    JOINED(EventSource.INPUT, INT, INT, DOUBLE, BOOLEAN),
    /** A proxy left: proxy. */
    LEFT(EventSource.INPUT, INT),
    /**
     * A decision was asked for: whether more is to be decided. The orders between the input before
     * and this event are its result.
     */
    DECIDED(EventSource.INPUT, BOOLEAN),
    /** The weight of a table's entry: table, endpoint, weight. */
    LINE(EventSource.ORDER, INT, LONG, DOUBLE),
    /** A table was emptied: table. */
    CLEAR(EventSource.ORDER, INT),
    /** An endpoint was ejected from all tables, or restored: endpoint, whether it is ejected. */
    WITHDRAW(EventSource.ORDER, LONG, BOOLEAN),
    /** Admission of a request class: table, request class, admitted share, retry policy. */
    LEVEL(EventSource.ORDER, INT, INT, DOUBLE, INT),
    /** A proxy was bound to a table: table, proxy, request classes. */
    BIND(EventSource.ORDER, INT, INT, STRING),
    /** An acknowledgement was requested: its serial. */
    RECEIPT(EventSource.ORDER, INT),
    /** A health check was started: endpoint. */
    PROBE(EventSource.ORDER, LONG),
    /** A note was sent to other governors: its bytes as ISO 8859-1. */
    TELL_PEERS(EventSource.ORDER, STRING),
    /** The endpoint list is to be watched. */
    WATCH_LIST(EventSource.ORDER),
    /** A timer was set: its tag, when it fires. */
    TIMER(EventSource.ORDER, INT, DOUBLE),
    /** A log line: its text. */
    LOG(EventSource.ORDER, STRING),
    /** An endpoint's address: when it was told, endpoint, host:port. */
    ADDRESS(EventSource.HEARD, DOUBLE, LONG, STRING),
    /** A load report: when it arrived, proxy, span. */
    REPORT(EventSource.HEARD, DOUBLE, INT, DOUBLE),
    /**
     * Of the report before, one endpoint: endpoint, issued, completed, failed, sum of response
     * times, sum of loads, number of loads.
     */
    REPORT_MET(EventSource.HEARD, LONG, LONG, LONG, LONG, DOUBLE, DOUBLE, LONG),
    /** Of the report before, one request class: request class, count. */
    REPORT_CAME(EventSource.HEARD, INT, LONG),
    /** An update was sent: when, proxy, message, type of resource, entries. */
    SENT(EventSource.HEARD, DOUBLE, INT, LONG, STRING, INT),
    /** An update was answered: when, proxy, message, why it was rejected or nothing. */
    ANSWERED(EventSource.HEARD, DOUBLE, INT, LONG, STRING),
    /** A client's request: when it was sent, request class, request, work, proxy. */
    TXN(EventSource.TRUTH, DOUBLE, INT, LONG, DOUBLE, INT),
    /** A client's request ended: when, request class, request, outcome, duration. */
    ENDED(EventSource.TRUTH, DOUBLE, INT, LONG, INT, DOUBLE),
    /** An attempt began to run: when, endpoint, request class, proxy, number of the attempt. */
    RAN(EventSource.TRUTH, DOUBLE, LONG, INT, INT, INT),
    /** A proxy's name was told: when, the number that the governor gave to it, name. */
    NAMED(EventSource.HEARD, DOUBLE, INT, STRING);

    /** Whom events come from. Names are printed and are values of options. */
    public enum EventSource {
        /** What the controller was told. */
        INPUT,
        /** What the controller ordered. */
        ORDER,
        /** What else the governor received and sent. */
        HEARD,
        /** What simulated clients and endpoints recorded themselves. */
        TRUTH
    }

    /** Whom events of this type come from. */
    public final EventSource source;

    private final List<FieldType> fieldTypes;

    EventType(EventSource source, FieldType... fieldTypes) {
        this.source = source;
        this.fieldTypes = List.of(fieldTypes);
    }

    /** Types of the fields, in order. */
    List<FieldType> fieldTypes() {
        return fieldTypes;
    }

    /** Whether the first field is the event's time; else it happened at the last such time. */
    boolean hasTimestamp() {
        return source == EventSource.HEARD && startsWithDouble() || source == EventSource.TRUTH;
    }

    private boolean startsWithDouble() {
        return !fieldTypes.isEmpty() && fieldTypes.get(0) == DOUBLE;
    }
}
