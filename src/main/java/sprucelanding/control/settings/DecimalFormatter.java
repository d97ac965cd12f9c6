package sprucelanding.control.settings;

/** Formats numbers for the operators' protocols, which know no exponents. */
public final class DecimalFormatter {
    /** What a number is rounded to: six decimals. */
    private static final int PARTS_PER_UNIT = 1_000_000;

    private DecimalFormatter() {}

    /**
     * Appends a number as a plain decimal with six decimals, or without a point if it is whole.
     *
     * @param value not negative and finite
     */
    public static void append(StringBuilder target, double value) {
        long integer = (long) value;
        if (integer == value) {
            target.append(integer);
            return;
        }
        long millionths = Math.round(value * PARTS_PER_UNIT);
        // a leading 1 keeps the zeros behind the point; it is left out again
        String fraction = Long.toString(millionths % PARTS_PER_UNIT + PARTS_PER_UNIT);
        target.append(millionths / PARTS_PER_UNIT)
                .append('.')
                .append(fraction, 1, fraction.length());
    }
}
