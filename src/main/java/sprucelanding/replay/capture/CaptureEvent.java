package sprucelanding.replay.capture;

import java.util.Arrays;
import java.util.List;
import java.util.Locale;

/**
 * One event of a capture.
 *
 * @param type what happened
 * @param at when, in ms on the governor's clock
 * @param fields Boolean, Integer, Long, Double or String, as the type says
 */
public record CaptureEvent(EventType type, double at, List<Object> fields) {
    static CaptureEvent of(EventType type, double at, Object... fields) {
        return new CaptureEvent(type, at, Arrays.asList(fields));
    }

    /** A field that is an int. */
    public int intAt(int index) {
        return (Integer) fields.get(index);
    }

    /** A field that is a long. */
    public long longAt(int index) {
        return (Long) fields.get(index);
    }

    /** A field that is a double. */
    public double doubleAt(int index) {
        return (Double) fields.get(index);
    }

    /** A field that is a boolean. */
    public boolean booleanAt(int index) {
        return (Boolean) fields.get(index);
    }

    /** A field that is a string. */
    public String stringAt(int index) {
        return (String) fields.get(index);
    }

    /** Whether type and fields are the same to the last bit; times are not compared. */
    boolean hasSameContent(CaptureEvent other) {
        return type == other.type && fields.equals(other.fields);
    }

    /**
     * The event as one line.
     *
     * @param originMillis the time that is shown as 0
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
