package sprucelanding.config.records;

import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Interpolation of strings. Replaces each {@code \(NAME)} in a string with the value of the name.
 */
final class StringInterpolation {
    private static final String REFERENCE_START = "\\(";
    private static final Pattern REFERENCE = Pattern.compile("\\\\\\(([^)]*)\\)");
    private static final Pattern PATH_SEPARATOR = Pattern.compile("\\.");

    private final ReferenceResolver references;
    private final Faults faults;

    StringInterpolation(ReferenceResolver references, Faults faults) {
        this.references = references;
        this.faults = faults;
    }

    /**
     * Returns the content of a quoted string with all references replaced. Omits a reference that
     * cannot be resolved and adds a fault.
     */
    String evaluate(SourcePosition position, String quoted) {
        if (!quoted.contains(REFERENCE_START)) {
            return SyntaxTrees.unquote(quoted);
        }
        StringBuilder result = new StringBuilder();
        Matcher matcher = REFERENCE.matcher(quoted);
        while (matcher.find()) {
            String text = textOf(matcher.group(1), position);
            matcher.appendReplacement(result, Matcher.quoteReplacement(text));
        }
        matcher.appendTail(result);
        return SyntaxTrees.unquote(result.toString());
    }

    private String textOf(String path, SourcePosition position) {
        Optional<RecordValue> value = resolvePath(path, position);
        if (value.isPresent()
                && value.get().resolveDefaults() instanceof RecordValue.Scalar scalar) {
            return formatWithoutUnit(scalar.value());
        }
        faults.add(position, "\\(" + path + "): there is no such value");
        return "";
    }

    private Optional<RecordValue> resolvePath(String path, SourcePosition position) {
        String[] names = PATH_SEPARATOR.split(path.trim());
        if (names.length == 0) {
            return Optional.empty();
        }
        Optional<RecordValue> value = Optional.of(references.resolveVariable(names[0], position));
        for (int i = 1; i < names.length && value.isPresent(); i++) {
            value = ReferenceResolver.fieldOf(value.get(), names[i]);
        }
        return value;
    }

    private static String formatWithoutUnit(Object value) {
        return value instanceof Double number && number == Math.rint(number)
                ? Long.toString(number.longValue())
                : value.toString();
    }
}
