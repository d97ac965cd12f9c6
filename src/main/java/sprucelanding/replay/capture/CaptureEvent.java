package sprucelanding.replay.capture;

import java.util.Arrays;
import java.util.List;
import java.util.Locale;

/**
 * One event of a capture.
 *
 * @param type type of the event
 * @param at time of the event, in ms on the governor's clock
 * @param fields values of the fields that {@link EventType} lists for the type: Boolean, Integer,
 *     Long, Double or String
 */
public record CaptureEvent(EventType type, double at, List<Object> fields) {
    static CaptureEvent of(EventType type, double at, Object... fields) {
        return new CaptureEvent(type, at, Arrays.asList(fields));
    }

    /** Returns the value of a field of type int. */
    public int intAt(int index) {
        return (Integer) fields.get(index);
    }

    /** Returns the value of a field of type long. */
    public long longAt(int index) {
        return (Long) fields.get(index);
    }

    /** Returns the value of a field of type double. */
    public double doubleAt(int index) {
        return (Double) fields.get(index);
    }

    /** Returns the value of a field of type boolean. */
    public boolean booleanAt(int index) {
        return (Boolean) fields.get(index);
    }

    /** Returns the value of a field of type string. */
    public String stringAt(int index) {
        return (String) fields.get(index);
    }

    /** Returns whether type and fields are equal to the last bit. Times are not compared. */
    boolean hasSameContent(CaptureEvent other) {
        return type == other.type && fields.equals(other.fields);
    }

    /**
     * Returns the event as one line of text: seconds since an origin, type and fields.
     *
     * @param originMillis the time that is shown as 0, in ms on the governor's clock
     */
    public String format(double originMillis) {
        StringBuilder text =
                new StringBuilder(
                        String.format(
                                Locale.ROOT, "%12.3f  %-11s", (at - originMillis) / 1000, type));
        fields.forEach(field -> text.append(' ').append(formatField(field)));
        return text.toString();
    }

    private static Object formatField(Object field) {
        return field instanceof Double number ? String.format(Locale.ROOT, "%.4g", number) : field;
    }
}
