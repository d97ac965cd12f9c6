package sprucelanding.control.settings;

/** A formatter of numbers for the operators' protocols, which do not support exponents. */
public final class DecimalFormatter {
    /** Numbers are rounded to millionths. */
    private static final int PARTS_PER_UNIT = 1_000_000;

    private DecimalFormatter() {}

    /**
     * Appends a number in decimal notation: with six decimals, or without a decimal point if the
     * number is an integer.
     *
     * @param value a finite number that is not negative
     */
    public static void append(StringBuilder target, double value) {
        long integer = (long) value;
        if (integer == value) {
            target.append(integer);
            return;
        }
        long millionths = Math.round(value * PARTS_PER_UNIT);
        // the added 1 preserves leading zeros of the fraction; append() skips the digit 1
        String fraction = Long.toString(millionths % PARTS_PER_UNIT + PARTS_PER_UNIT);
        target.append(millionths / PARTS_PER_UNIT)
                .append('.')
                .append(fraction, 1, fraction.length());
    }
}
