package sprucelanding.replay.capture;

import java.util.Arrays;
import java.util.List;
import java.util.Locale;

/**
 * One thing kept; fields are Boolean, Integer, Long, Double or String, as What says. At is ms on
 * the governor's clock.
 */
public record CaptureEvent(EventType type, double at, List<Object> fields) {
    static CaptureEvent of(EventType type, double at, Object... fields) {
        return new CaptureEvent(type, at, Arrays.asList(fields));
    }

    public int intAt(int index) {
        return (Integer) fields.get(index);
    }

    public long longAt(int index) {
        return (Long) fields.get(index);
    }

    public double doubleAt(int index) {
        return (Double) fields.get(index);
    }

    public boolean booleanAt(int index) {
        return (Boolean) fields.get(index);
    }

    public String stringAt(int index) {
        return (String) fields.get(index);
    }

    /** The same thing with the same fields, to the last bit; the time is not compared. */
    boolean hasSameContent(CaptureEvent other) {
        return type == other.type && fields.equals(other.fields);
    }

    /** One line; begin is the time that counts as 0. */
    public String format(double originMillis) {
        StringBuilder text =
                new StringBuilder(
                        String.format(
                                Locale.ROOT, "%12.3f  %-11s", (at - originMillis) / 1000, type));
        fields.forEach(
                field ->
                        text.append(' ')
                                .append(
                                        field instanceof Double number
                                                ? String.format(Locale.ROOT, "%.4g", number)
                                                : field));
        return text.toString();
    }
}
