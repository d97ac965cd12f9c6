package sprucelanding.replay.capture;

import static sprucelanding.replay.capture.FieldType.BOOLEAN;
import static sprucelanding.replay.capture.FieldType.DOUBLE;
import static sprucelanding.replay.capture.FieldType.INT;
import static sprucelanding.replay.capture.FieldType.LONG;
import static sprucelanding.replay.capture.FieldType.STRING;

import java.util.List;

/**
 * The types of events in a capture, each with its fields. The doc comment of a type lists the
 * fields in order, after the colon. Times and spans are in ms. Proxies, endpoints, tables and
 * request classes are identified by the numbers that the governor uses for them.
 *
 * <p>The ordinals and the fields are part of the file format: new types are added at the end, and
 * any other change requires a new {@link CaptureFormat#VERSION}. The names of the types are printed
 * and are values of command-line options.
 */
public enum EventType {
    /** The controller's time was set: time. */
    CLOCK(EventSource.INPUT, DOUBLE),
    /** A timer fired: tag of the timer. */
    BELL(EventSource.INPUT, INT),
    /** An endpoint list started: whether it is complete, whether it is the first list. */
    LIST_OPENS(EventSource.INPUT, BOOLEAN, BOOLEAN),
    /**
     * An endpoint of the list was read: endpoint, zone, machine kind, weight, start time of the
     * endpoint's process, ordinal of its state.
     */
    LISTED(EventSource.INPUT, LONG, INT, INT, DOUBLE, DOUBLE, INT),
    /** The end of the endpoint list was read. */
    LIST_CLOSES(EventSource.INPUT),
    /** The endpoint list could not be read to its end. */
    LIST_FAILED(EventSource.INPUT),
    /** A health check ended: endpoint, ordinal of the result, load. */
    PROBED(EventSource.INPUT, LONG, INT, DOUBLE),
    /**
     * A proxy reported statistics of an endpoint: endpoint, attempts, failed attempts, response
     * time, load.
     */
    MET(EventSource.INPUT, LONG, INT, INT, DOUBLE, DOUBLE),
    /** An acknowledgement arrived: serial number of its request. */
    IN_FORCE(EventSource.INPUT, INT),
    /** A proxy reported demand: proxy, request class, number of requests, span of the report. */
    CAME(EventSource.INPUT, INT, INT, INT, DOUBLE),
    /** A proxy joined: proxy, zone, expected request rate, whether the proxy has no tables. */
    JOINED(EventSource.INPUT, INT, INT, DOUBLE, BOOLEAN),
    /** A proxy left: proxy. */
    LEFT(EventSource.INPUT, INT),
    /**
     * A decision was made: whether more is to be decided. The orders of the decision are recorded
     * between the preceding input and this event.
     */
    DECIDED(EventSource.INPUT, BOOLEAN),
    /** The weight of a table entry was set: table, endpoint, weight. */
    LINE(EventSource.ORDER, INT, LONG, DOUBLE),
    /** A table was emptied: table. */
    CLEAR(EventSource.ORDER, INT),
    /** An endpoint was ejected from all tables or restored: endpoint, whether it is ejected. */
    WITHDRAW(EventSource.ORDER, LONG, BOOLEAN),
    /** Admission of a request class was set: table, request class, admitted share, retry policy. */
    LEVEL(EventSource.ORDER, INT, INT, DOUBLE, INT),
    /** A proxy was bound to a table: table, proxy, request classes as text. */
    BIND(EventSource.ORDER, INT, INT, STRING),
    /** An acknowledgement was requested: serial number of the request. */
    RECEIPT(EventSource.ORDER, INT),
    /** A health check was started: endpoint. */
    PROBE(EventSource.ORDER, LONG),
    /** A message was sent to the other governors: its bytes, decoded as ISO 8859-1. */
    TELL_PEERS(EventSource.ORDER, STRING),
    /** A watch on the endpoint list was requested. */
    WATCH_LIST(EventSource.ORDER),
    /** A timer was set: tag of the timer, time at which it fires. */
    TIMER(EventSource.ORDER, INT, DOUBLE),
    /** A decision event was logged: text of the log line. */
    LOG(EventSource.ORDER, STRING),
    /** The address of a listed endpoint: time of the listing, endpoint, host:port. */
    ADDRESS(EventSource.HEARD, DOUBLE, LONG, STRING),
    /** A load report arrived: time, proxy, span of the report. */
    REPORT(EventSource.HEARD, DOUBLE, INT, DOUBLE),
    /**
     * Statistics of one endpoint in the preceding load report: endpoint, attempts issued, completed
     * and failed, sum of response times, sum of load samples, number of load samples.
     */
    REPORT_MET(EventSource.HEARD, LONG, LONG, LONG, LONG, DOUBLE, DOUBLE, LONG),
    /** Demand of one request class in the preceding load report: request class, requests. */
    REPORT_CAME(EventSource.HEARD, INT, LONG),
    /** An update was sent: time, proxy, update id, resource type, number of entries. */
    SENT(EventSource.HEARD, DOUBLE, INT, LONG, STRING, INT),
    /**
     * An update was answered: time, proxy, update id, reason of the rejection (empty if the update
     * was accepted).
     */
    ANSWERED(EventSource.HEARD, DOUBLE, INT, LONG, STRING),
    /** A client sent a request: time, request class, request id, work, proxy. */
    TXN(EventSource.TRUTH, DOUBLE, INT, LONG, DOUBLE, INT),
    /** A client's request ended: time, request class, request id, ordinal of outcome, duration. */
    ENDED(EventSource.TRUTH, DOUBLE, INT, LONG, INT, DOUBLE),
    /** An endpoint started an attempt: time, endpoint, request class, proxy, attempt number. */
    RAN(EventSource.TRUTH, DOUBLE, LONG, INT, INT, INT),
    /** A proxy was assigned a number by the governor: time, number, name of the proxy. */
    NAMED(EventSource.HEARD, DOUBLE, INT, STRING);

    /** The sources of events. Their names are printed and are values of command-line options. */
    public enum EventSource {
        /** Inputs of the controller. */
        INPUT,
        /** Orders of the controller. */
        ORDER,
        /** Messages that the governor received or sent outside the controller. */
        HEARD,
        /** Events that simulated clients and endpoints recorded themselves. */
        TRUTH
    }

    /** The source of events of this type. */
    public final EventSource source;

    private final List<FieldType> fieldTypes;

    EventType(EventSource source, FieldType... fieldTypes) {
        this.source = source;
        this.fieldTypes = List.of(fieldTypes);
    }

    /** Returns the types of the fields, in order. */
    List<FieldType> fieldTypes() {
        return fieldTypes;
    }

    /**
     * Returns whether the first field is the time of the event. An event of any other type happened
     * at the last time recorded before the event.
     */
    boolean hasTimestamp() {
        return source == EventSource.HEARD && startsWithDouble() || source == EventSource.TRUTH;
    }

    private boolean startsWithDouble() {
        return !fieldTypes.isEmpty() && fieldTypes.get(0) == DOUBLE;
    }
}
