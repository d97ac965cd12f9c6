package sprucelanding.simulation.simulator;

import java.util.OptionalInt;
import sprucelanding.control.settings.MalformedInputException;

/**
 * A line of the simulator's protocol. The fields of the line are read by position. Field 0 is the
 * name of the message.
 *
 * <p>A value with an invalid format causes a {@link MalformedInputException}.
 */
final class SimulatorMessage {
    private static final double MICROS_PER_MILLI = 1000;

    private final String[] fields;

    /** Splits a line at its separators and keeps empty fields. */
    SimulatorMessage(String line) {
        int separators = 0;
        for (int index = 0; index < line.length(); index++) {
            if (line.charAt(index) == SimulatorProtocol.FIELD_SEPARATOR) {
                separators++;
            }
        }
        fields = new String[separators + 1];
        int start = 0;
        for (int index = 0; index < separators; index++) {
            int end = line.indexOf(SimulatorProtocol.FIELD_SEPARATOR, start);
            fields[index] = line.substring(start, end);
            start = end + 1;
        }
        fields[separators] = line.substring(start);
    }

    String name() {
        return fields[0];
    }

    /**
     * Checks the number of values after the name.
     *
     * @param count minimum number of values
     * @throws MalformedInputException if there are fewer values
     */
    void requireFields(int count) {
        if (fields.length < count + 1) {
            throw new MalformedInputException(
                    name()
                            + " has "
                            + (fields.length - 1)
                            + " values where "
                            + count
                            + " are needed");
        }
    }

    boolean isAbsent(int index) {
        return fields[index].equals(SimulatorProtocol.ABSENT) || fields[index].isEmpty();
    }

    String text(int index) {
        return fields[index];
    }

    /** Returns the rest of the line from a field to the end, including separators. */
    String rest(int index) {
        StringBuilder rest = new StringBuilder(fields[index]);
        for (int i = index + 1; i < fields.length; i++) {
            rest.append(SimulatorProtocol.FIELD_SEPARATOR).append(fields[i]);
        }
        return rest.toString();
    }

    long longValue(int index) {
        try {
            return Long.parseLong(fields[index]);
        } catch (NumberFormatException e) {
            throw new MalformedInputException(
                    name() + " value " + index + " is no whole number: " + fields[index], e);
        }
    }

    int intValue(int index) {
        long value = longValue(index);
        if (value != (int) value) {
            throw new MalformedInputException(
                    name() + " value " + index + " is out of range: " + fields[index]);
        }
        return (int) value;
    }

    /** Returns a number; the default value if the number is absent or not finite. */
    double doubleValue(int index, double defaultValue) {
        if (isAbsent(index)) {
            return defaultValue;
        }
        try {
            double value = Double.parseDouble(fields[index]);
            return Double.isFinite(value) ? value : defaultValue;
        } catch (NumberFormatException e) {
            throw new MalformedInputException(
                    name() + " value " + index + " is no number: " + fields[index], e);
        }
    }

    /** Returns a time or a duration in milliseconds; 0 if the value is absent. */
    double millis(int index) {
        return isAbsent(index) ? 0 : longValue(index) / MICROS_PER_MILLI;
    }

    boolean booleanValue(int index) {
        if (fields[index].equals(SimulatorProtocol.TRUE)) {
            return true;
        }
        if (fields[index].equals(SimulatorProtocol.FALSE)) {
            return false;
        }
        throw new MalformedInputException(
                name() + " value " + index + " is neither 1 nor 0: " + fields[index]);
    }

    /** Returns a value of a row; NaN if the column, the row or the value is absent. */
    double rowValue(int index, OptionalInt column) {
        if (column.isEmpty() || index >= fields.length || isAbsent(index)) {
            return Double.NaN;
        }
        String value = rowItem(fields[index], column.getAsInt());
        if (value.isEmpty() || value.equals(SimulatorProtocol.ABSENT)) {
            return Double.NaN;
        }
        try {
            return Double.parseDouble(value);
        } catch (NumberFormatException e) {
            throw new MalformedInputException(
                    name() + " value " + index + " holds no number: " + value, e);
        }
    }

    /** Returns the item of a row in a column; an empty string if the row is too short. */
    private static String rowItem(String row, int column) {
        int start = 0;
        for (int i = 0; i < column; i++) {
            start = row.indexOf(SimulatorProtocol.ROW_SEPARATOR, start) + 1;
            if (start == 0) {
                return "";
            }
        }
        int end = row.indexOf(SimulatorProtocol.ROW_SEPARATOR, start);
        return end < 0 ? row.substring(start) : row.substring(start, end);
    }
}
