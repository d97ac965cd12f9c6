package sprucelanding.config.records;

import java.util.Optional;

/** Built-in types of the language. */
enum BasicKind {
    STRING("string", "a string"),
    INT("int", "a whole number"),
    NUMBER("number", "a number"),
    BOOL("bool", "true or false"),
    TIME("time", "a time (ms, s or min)"),
    SHARE("share", "a share (such as 40%)"),
    RATE("rate", "a rate (such as 200/s)");

    private final String keyword;
    private final String expectation;

    BasicKind(String keyword, String expectation) {
        this.keyword = keyword;
        this.expectation = expectation;
    }

    /** Returns the type that a keyword names, or empty if the word is not the keyword of a type. */
    static Optional<BasicKind> ofKeyword(String keyword) {
        for (BasicKind kind : values()) {
            if (kind.keyword.equals(keyword)) {
                return Optional.of(kind);
            }
        }
        return Optional.empty();
    }

    String keyword() {
        return keyword;
    }

    /** Returns the description of a value of this type in fault messages. */
    String expectation() {
        return expectation;
    }

    /**
     * Returns whether a scalar is of this type. A time of 0, a share up to 1 and a rate are
     * accepted without a unit because they are unambiguous.
     */
    boolean includes(RecordValue.Scalar scalar) {
        Object value = scalar.value();
        Unit unit = scalar.unit();
        return switch (this) {
            case STRING -> value instanceof String;
            case BOOL -> value instanceof Boolean;
            case INT ->
                    value instanceof Double number
                            && number == Math.rint(number)
                            && unit == Unit.NONE;
            case NUMBER -> value instanceof Double && unit == Unit.NONE;
            case TIME -> value instanceof Double number && (unit == Unit.TIME || number == 0);
            case SHARE ->
                    value instanceof Double number
                            && (unit == Unit.SHARE || unit == Unit.NONE && number <= 1);
            case RATE -> value instanceof Double && (unit == Unit.RATE || unit == Unit.NONE);
            default -> throw new AssertionError(this);
        };
    }
}
