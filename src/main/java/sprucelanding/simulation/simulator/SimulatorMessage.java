package sprucelanding.simulation.simulator;

import java.util.Base64;
import sprucelanding.control.settings.MalformedInputException;

/** One line of the wire, cut at its tabs; fields are read by position and "-" is an absent one. */
final class SimulatorMessage {
    private static final double MICROS_PER_MILLI = 1000;

    private final String[] fields;

    SimulatorMessage(String text) {
        int tabs = 0;
        for (int index = 0; index < text.length(); index++) {
            if (text.charAt(index) == '\t') {
                tabs++;
            }
        }
        fields = new String[tabs + 1];
        int start = 0;
        for (int index = 0; index < tabs; index++) {
            int tab = text.indexOf('\t', start);
            fields[index] = text.substring(start, tab);
            start = tab + 1;
        }
        fields[tabs] = text.substring(start);
    }

    String name() {
        return fields[0];
    }

    SimulatorMessage requireFields(int count) {
        if (fields.length < count + 1) {
            throw new MalformedInputException(
                    name()
                            + " has "
                            + (fields.length - 1)
                            + " values where "
                            + count
                            + " are needed");
        }
        return this;
    }

    boolean isAbsent(int index) {
        return fields[index].equals("-") || fields[index].isEmpty();
    }

    String text(int index) {
        return fields[index];
    }

    /** The rest of the line from a field on, tabs included. */
    String rest(int index) {
        StringBuilder rest = new StringBuilder(fields[index]);
        for (int k = index + 1; k < fields.length; k++) {
            rest.append('\t').append(fields[k]);
        }
        return rest.toString();
    }

    long longValue(int index) {
        try {
            return Long.parseLong(fields[index]);
        } catch (NumberFormatException e) {
            throw new MalformedInputException(
                    name() + " value " + index + " is no whole number: " + fields[index]);
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

    /** A number; absent or not finite gives the default. */
    double doubleValue(int index, double defaultValue) {
        if (isAbsent(index)) {
            return defaultValue;
        }
        try {
            double value = Double.parseDouble(fields[index]);
            return Double.isFinite(value) ? value : defaultValue;
        } catch (NumberFormatException e) {
            throw new MalformedInputException(
                    name() + " value " + index + " is no number: " + fields[index]);
        }
    }

    /** A time or a span of the wire, in ms. */
    double millis(int index) {
        return isAbsent(index) ? 0 : longValue(index) / MICROS_PER_MILLI;
    }

    boolean booleanValue(int index) {
        if (fields[index].equals("1") || fields[index].equals("0")) {
            return fields[index].equals("1");
        }
        throw new MalformedInputException(
                name() + " value " + index + " is neither 1 nor 0: " + fields[index]);
    }

    byte[] bytes(int index) {
        try {
            return isAbsent(index) ? new byte[0] : Base64.getDecoder().decode(fields[index]);
        } catch (IllegalArgumentException e) {
            throw new MalformedInputException(name() + " value " + index + " is not base64");
        }
    }

    /** One value of a row set apart by commas; NaN if the row or the value is missing. */
    double rowValue(int index, int column) {
        if (column < 0 || index >= fields.length || isAbsent(index)) {
            return Double.NaN;
        }
        String row = fields[index];
        int start = 0;
        for (int k = 0; k < column; k++) {
            start = row.indexOf(',', start) + 1;
            if (start == 0) {
                return Double.NaN;
            }
        }
        int end = row.indexOf(',', start);
        String value = end < 0 ? row.substring(start) : row.substring(start, end);
        if (value.isEmpty() || value.equals("-")) {
            return Double.NaN;
        }
        try {
            return Double.parseDouble(value);
        } catch (NumberFormatException e) {
            throw new MalformedInputException(
                    name() + " value " + index + " holds no number: " + value);
        }
    }
}
