package sprucelanding.control.settings;

/** Numbers as the operators' wires have them. */
public final class DecimalFormatter {
    private DecimalFormatter() {}

    /** Plain decimals: no exponent, and whole numbers without a point. */
    public static void append(StringBuilder target, double value) {
        long integer = (long) value;
        if (integer == value) {
            target.append(integer);
            return;
        }
        long millionths = Math.round(value * 1e6);
        String fraction = Long.toString(millionths % 1_000_000 + 1_000_000);
        target.append(millionths / 1_000_000).append('.').append(fraction, 1, fraction.length());
    }
}
