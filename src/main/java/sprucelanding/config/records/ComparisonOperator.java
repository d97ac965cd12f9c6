package sprucelanding.config.records;

/** Comparison operator in a bound ({@code >=1}) or in the condition of a comprehension. */
enum ComparisonOperator {
    EQUAL("=="),
    NOT_EQUAL("!="),
    LESS("<"),
    LESS_OR_EQUAL("<="),
    GREATER(">"),
    GREATER_OR_EQUAL(">=");

    private final String symbol;

    ComparisonOperator(String symbol) {
        this.symbol = symbol;
    }

    /**
     * Returns the operator with a symbol.
     *
     * @throws IllegalArgumentException if no operator has the symbol, which the grammar excludes
     */
    static ComparisonOperator ofSymbol(String symbol) {
        for (ComparisonOperator operator : values()) {
            if (operator.symbol.equals(symbol)) {
                return operator;
            }
        }
        throw new IllegalArgumentException(
                "expected a comparison operator, found \"" + symbol + "\"");
    }

    String symbol() {
        return symbol;
    }

    /**
     * Returns whether this operator compares values for equality, which needs no order of values.
     */
    boolean isEquality() {
        return this == EQUAL || this == NOT_EQUAL;
    }

    boolean holds(double left, double right) {
        return switch (this) {
            case EQUAL -> left == right;
            case NOT_EQUAL -> left != right;
            case LESS -> left < right;
            case LESS_OR_EQUAL -> left <= right;
            case GREATER -> left > right;
            case GREATER_OR_EQUAL -> left >= right;
            default -> throw new AssertionError(this);
        };
    }
}
