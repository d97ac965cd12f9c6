package sprucelanding.config.records;

import java.math.BigDecimal;
import java.math.MathContext;

/**
 * Parser and formatter of numbers with units, such as {@code 1500ms}, {@code 40%}, {@code 6_000/s}.
 */
final class NumberLiteral {
    private static final double MILLIS_PER_SECOND = 1000;
    private static final double MILLIS_PER_MINUTE = 60_000;
    private static final double PERCENT = 100;
    private static final double THOUSAND = 1000;
    private static final int DISPLAYED_DIGITS = 12;

    private NumberLiteral() {}

    /**
     * Parses a number. Converts times to ms, shares to fractions of 1, and rates to events per
     * second.
     */
    static RecordValue.Scalar parse(SourcePosition position, String text) {
        String digitsAndSuffix = text.replace("_", "");
        int suffixStart = digitsAndSuffix.length();
        while (suffixStart > 0 && !Character.isDigit(digitsAndSuffix.charAt(suffixStart - 1))) {
            suffixStart--;
        }
        double number = Double.parseDouble(digitsAndSuffix.substring(0, suffixStart));
        return switch (digitsAndSuffix.substring(suffixStart)) {
            case "ms" -> new RecordValue.Scalar(position, number, Unit.TIME);
            case "s" -> new RecordValue.Scalar(position, number * MILLIS_PER_SECOND, Unit.TIME);
            case "min" -> new RecordValue.Scalar(position, number * MILLIS_PER_MINUTE, Unit.TIME);
            case "%" -> new RecordValue.Scalar(position, number / PERCENT, Unit.SHARE);
            case "/s" -> new RecordValue.Scalar(position, number, Unit.RATE);
            case "k" -> new RecordValue.Scalar(position, number * THOUSAND, Unit.NONE);
            default -> new RecordValue.Scalar(position, number, Unit.NONE);
        };
    }

    /**
     * Formats a number as in a source. Formats times in seconds if they are whole, otherwise in ms.
     */
    static String format(double number, Unit unit) {
        boolean isWholeSeconds = number % MILLIS_PER_SECOND == 0;
        return switch (unit) {
            case TIME ->
                    isWholeSeconds
                            ? formatDecimal(number / MILLIS_PER_SECOND) + "s"
                            : formatDecimal(number) + "ms";
            case SHARE -> formatDecimal(number * PERCENT) + "%";
            case RATE -> formatDecimal(number) + "/s";
            case NONE -> formatDecimal(number);
            default -> throw new AssertionError(unit);
        };
    }

    private static String formatDecimal(double number) {
        return new BigDecimal(number, new MathContext(DISPLAYED_DIGITS))
                .stripTrailingZeros()
                .toPlainString();
    }
}
