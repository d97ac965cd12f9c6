package sprucelanding.config.records;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.antlr.v4.runtime.BaseErrorListener;
import org.antlr.v4.runtime.CharStreams;
import org.antlr.v4.runtime.CommonTokenStream;
import org.antlr.v4.runtime.ParserRuleContext;
import org.antlr.v4.runtime.RecognitionException;
import org.antlr.v4.runtime.Recognizer;
import org.antlr.v4.runtime.Token;
import org.antlr.v4.runtime.tree.TerminalNode;

/**
 * Reads the files of a package into values. References are followed as they are met: loop variables
 * first, then definitions and fields of the package's top, given in whichever of its files, then
 * imported packages.
 */
final class RecordReader {
    /** A text, by the name that faults in it are told by. */
    record Source(String name, String text) {}

    /**
     * Reads a package that another imports, by its folder below the config folder; it throws
     * IOException if it may not or cannot.
     */
    interface PackageSource {
        List<Source> load(String folder) throws IOException;

        PackageSource NONE =
                folder -> {
                    throw new IOException("nothing can be imported here");
                };
    }

    private static final int MAX_DEPTH = 64;
    private static final int MAX_SOURCE_CHARACTERS = 16 << 20;
    private static final int MAX_COMPREHENSION_ITEMS =
            1_000_000; // that comprehensions of a package may make
    private static final int MAX_IMPORT_DEPTH = 8; // one within another
    private final List<String> faults;
    private final PackageSource packageSource;
    private final Map<String, List<RecordsParser.FieldContext>> topLevelFields =
            new LinkedHashMap<>();
    private final Map<String, RecordValue> definitions;
    private final Map<String, RecordValue> importedPackages = new HashMap<>();
    private final Map<String, RecordValue> loopVariables = new HashMap<>();
    private final Set<String> resolving = new LinkedHashSet<>();
    private final List<String> importPath;
    private int referenceDepth;
    private int comprehensionItems;

    /**
     * @param known definitions that other packages gave, to which this one's are added
     */
    RecordReader(
            Map<String, RecordValue> definitions,
            PackageSource packageSource,
            List<String> faults) {
        this(definitions, packageSource, List.of(), faults);
    }

    private RecordReader(
            Map<String, RecordValue> definitions,
            PackageSource packageSource,
            List<String> importPath,
            List<String> faults) {
        this.definitions = definitions;
        this.packageSource = packageSource;
        this.importPath = importPath;
        this.faults = faults;
    }

    /** The package's fields as a record; definitions are left in known. */
    RecordValue.Struct read(List<Source> sources) {
        RecordValue.Struct struct =
                new RecordValue.Struct(
                        new SourcePosition(sources.isEmpty() ? "" : sources.get(0).name, 1, 1),
                        false);
        List<RecordsParser.FileContext> trees = new ArrayList<>();
        for (Source source : sources) {
            RecordsParser.FileContext tree = parse(source, faults);
            if (tree != null) {
                trees.add(tree);
            }
        }
        if (!faults.isEmpty()) {
            return struct;
        }
        RecordsParser.FileContext first = null;
        for (RecordsParser.FileContext tree : trees) {
            if (first != null
                    && tree.label != null
                    && first.label != null
                    && !tree.label.getText().equals(first.label.getText())) {
                faults.add(
                        positionOf(tree)
                                + ": package "
                                + tree.label.getText()
                                + ", but "
                                + first.label.getText()
                                + " ("
                                + positionOf(first)
                                + ")");
            }
            first = first == null && tree.label != null ? tree : first;
            tree.imports().forEach(this::resolveImport);
            for (RecordsParser.FieldContext field : tree.field()) {
                List<RecordsParser.FieldContext> sameLabel =
                        topLevelFields.computeIfAbsent(labelOf(field), key -> new ArrayList<>());
                if (!sameLabel.isEmpty() && labelOf(field).startsWith("#")) {
                    faults.add(
                            positionOf(field)
                                    + ": "
                                    + labelOf(field)
                                    + " is defined twice ("
                                    + positionOf(sameLabel.get(0))
                                    + ")");
                }
                sameLabel.add(field);
            }
        }
        for (RecordsParser.FileContext tree : trees) {
            for (RecordsParser.FieldContext field : tree.field()) {
                if (labelOf(field).startsWith("#")) {
                    resolve(labelOf(field), positionOf(field));
                } else {
                    addField(struct, field, false);
                }
            }
        }
        return struct;
    }

    /** Null if the text cannot be read at all; its faults are added. */
    static RecordsParser.FileContext parse(Source source, List<String> faults) {
        if (source.text.length() > MAX_SOURCE_CHARACTERS || nestingDepth(source.text) > MAX_DEPTH) {
            faults.add(
                    source.name
                            + ":1:1: more than "
                            + MAX_SOURCE_CHARACTERS
                            + " characters, or "
                            + MAX_DEPTH
                            + " levels");
            return null;
        }
        BaseErrorListener errorListener =
                new BaseErrorListener() {
                    @Override
                    public void syntaxError(
                            Recognizer<?, ?> r,
                            Object symbol,
                            int line,
                            int column,
                            String message,
                            RecognitionException e) {
                        if (faults.size() < MAX_FAULTS) {
                            faults.add(
                                    source.name + ":" + line + ":" + (column + 1) + ": " + message);
                        }
                    }
                };
        RecordsLexer lexer = new RecordsLexer(CharStreams.fromString(source.text, source.name));
        lexer.removeErrorListeners();
        lexer.addErrorListener(errorListener);
        RecordsParser parser = new RecordsParser(new CommonTokenStream(lexer));
        parser.removeErrorListeners();
        parser.addErrorListener(errorListener);
        return parser.file();
    }

    private static final int MAX_FAULTS = 200;

    private void resolveImport(RecordsParser.ImportsContext importClause) {
        String folder = unquote(importClause.STRING().getText());
        String name = folder.substring(folder.lastIndexOf('/') + 1);
        if (importPath.contains(folder) || importPath.size() >= MAX_IMPORT_DEPTH) {
            faults.add(
                    positionOf(importClause)
                            + ": "
                            + folder
                            + " is imported by what it imports, or more than "
                            + MAX_IMPORT_DEPTH
                            + " levels deep: "
                            + importPath);
            return;
        }
        try {
            List<String> nestedPath = new ArrayList<>(importPath);
            nestedPath.add(folder);
            Map<String, RecordValue> importedDefinitions = new HashMap<>();
            RecordValue.Struct fields =
                    new RecordReader(importedDefinitions, packageSource, nestedPath, faults)
                            .read(packageSource.load(folder));
            importedDefinitions.forEach(fields.fields::put);
            importedPackages.put(name, fields);
        } catch (IOException e) {
            faults.add(positionOf(importClause) + ": import \"" + folder + "\": " + e.getMessage());
        }
    }

    private static int nestingDepth(String text) {
        int deepest = 0;
        int depthHere = 0;
        for (int i = 0; i < text.length(); i++) {
            char character = text.charAt(i);
            depthHere +=
                    character == '{' || character == '[' || character == '('
                            ? 1
                            : character == '}' || character == ']' || character == ')' ? -1 : 0;
            deepest = Math.max(deepest, depthHere);
        }
        return deepest;
    }

    private static SourcePosition positionOf(ParserRuleContext context) {
        Token token = context.getStart();
        return new SourcePosition(
                token.getTokenSource().getSourceName(),
                token.getLine(),
                token.getCharPositionInLine() + 1);
    }

    private static String labelOf(RecordsParser.FieldContext field) {
        return field.label.getType() == RecordsParser.STRING
                ? unquote(field.label.getText())
                : field.label.getText();
    }

    private static String unquote(String text) {
        return text.substring(1, text.length() - 1)
                .replace("\\n", "\n")
                .replace("\\t", "\t")
                .replace("\\\"", "\"")
                .replace("\\\\", "\\");
    }

    private RecordValue resolve(String name, SourcePosition referencedFrom) {
        RecordValue resolved = definitions.get(name);
        List<RecordsParser.FieldContext> occurrences = topLevelFields.get(name);
        if (resolved != null || occurrences == null) {
            RecordValue fromImport = importedPackages.get(name);
            if (resolved == null && fromImport == null) {
                faults.add(referencedFrom + ": " + name + " is not defined");
            }
            return resolved != null
                    ? resolved
                    : fromImport != null
                            ? fromImport
                            : new RecordValue.Struct(referencedFrom, false);
        }
        if (!resolving.add(name)) {
            faults.add(referencedFrom + ": " + name + " refers to itself");
            return new RecordValue.Struct(referencedFrom, false);
        }
        RecordValue unified = null;
        for (RecordsParser.FieldContext field : occurrences) {
            RecordValue operand = fieldValue(field, name.startsWith("#"));
            unified = unified == null ? operand : new Unifier(faults).unify(unified, operand, name);
        }
        resolving.remove(name);
        if (name.startsWith("#")) {
            definitions.put(name, unified);
        }
        return unified;
    }

    /**
     * Closed: within a definition, so that a record in it has the fields it names and no others, as
     * CUE has it.
     */
    private void addField(
            RecordValue.Struct struct, RecordsParser.FieldContext field, boolean closed) {
        String name = labelOf(field);
        RecordValue fieldValue = fieldValue(field, closed);
        RecordValue previous = struct.fields.get(name);
        struct.fields.put(
                name,
                previous == null
                        ? fieldValue
                        : new Unifier(faults).unify(previous, fieldValue, name));
        if (field.optional != null) {
            struct.optionalFields.add(name);
        }
    }

    /** A field's value; a: b: c is short for a: {b: c}. */
    private RecordValue fieldValue(RecordsParser.FieldContext field, boolean closed) {
        if (field.nested == null) {
            return expressionValue(field.expr(), closed);
        }
        RecordValue.Struct struct = new RecordValue.Struct(positionOf(field.nested), closed);
        addField(struct, field.nested, closed);
        return struct;
    }

    private RecordValue expressionValue(RecordsParser.ExprContext expression, boolean closed) {
        List<RecordValue> alternatives = new ArrayList<>();
        RecordValue defaultAlternative = null;
        for (RecordsParser.MeetContext conjunction : expression.meet()) {
            RecordValue unified = null;
            boolean isDefault = false;
            for (RecordsParser.UnaryContext operandContext : conjunction.unary()) {
                isDefault |= operandContext instanceof RecordsParser.PreferredContext;
                RecordValue operand = unaryValue(operandContext, closed);
                unified =
                        unified == null ? operand : new Unifier(faults).unify(unified, operand, "");
            }
            alternatives.add(unified);
            defaultAlternative = isDefault ? unified : defaultAlternative;
        }
        return alternatives.size() == 1 && defaultAlternative == null
                ? alternatives.get(0)
                : new RecordValue.Disjunction(
                        positionOf(expression), alternatives, defaultAlternative);
    }

    private RecordValue unaryValue(RecordsParser.UnaryContext operandContext, boolean closed) {
        if (operandContext instanceof RecordsParser.PreferredContext preferred) {
            return unaryValue(preferred.unary(), closed);
        }
        if (operandContext instanceof RecordsParser.BoundContext bound) {
            return new RecordValue.Bound(
                    positionOf(bound),
                    bound.op.getText(),
                    parseNumber(positionOf(bound), bound.NUMBER().getText()));
        }
        return primaryValue(((RecordsParser.PlainContext) operandContext).primary(), closed);
    }

    private RecordValue primaryValue(RecordsParser.PrimaryContext context, boolean closed) {
        SourcePosition position = positionOf(context);
        if (context instanceof RecordsParser.RecordContext structContext) {
            RecordValue.Struct struct =
                    new RecordValue.Struct(
                            position, closed && !structContext.getText().endsWith("...}"));
            structContext.field().forEach(field -> addField(struct, field, closed));
            return struct;
        } else if (context instanceof RecordsParser.ListContext listContext) {
            RecordValue.ListValue list = new RecordValue.ListValue(position);
            listContext.element().forEach(item -> addElements(item, 0, list));
            return list;
        } else if (context instanceof RecordsParser.ListOfContext listOfContext) {
            return new RecordValue.ListOf(position, expressionValue(listOfContext.expr(), closed));
        } else if (context instanceof RecordsParser.StringContext stringContext) {
            return new RecordValue.Scalar(
                    position, interpolate(position, stringContext.STRING().getText()), "");
        } else if (context instanceof RecordsParser.NumberContext numberContext) {
            return parseNumber(position, numberContext.NUMBER().getText());
        } else if (context instanceof RecordsParser.TruthContext truthContext) {
            return new RecordValue.Scalar(position, truthContext.getText().equals("true"), "");
        } else if (context instanceof RecordsParser.GroupContext groupContext) {
            return expressionValue(groupContext.expr(), closed);
        }
        return resolveReference((RecordsParser.ReferenceContext) context);
    }

    /** One item, or as many as a comprehension makes: its clauses from the n-th on. */
    private void addElements(
            RecordsParser.ElementContext elementContext,
            int clauseIndex,
            RecordValue.ListValue list) {
        if (elementContext.clause().isEmpty()) {
            list.elements.add(expressionValue(elementContext.expr(), false));
            return;
        }
        if (clauseIndex == elementContext.clause().size()) {
            if (++comprehensionItems > MAX_COMPREHENSION_ITEMS) {
                if (comprehensionItems == MAX_COMPREHENSION_ITEMS + 1) {
                    faults.add(
                            positionOf(elementContext)
                                    + ": more than "
                                    + MAX_COMPREHENSION_ITEMS
                                    + " items");
                }
                return;
            }
            RecordValue.Struct struct = new RecordValue.Struct(positionOf(elementContext), false);
            elementContext.field().forEach(field -> addField(struct, field, false));
            list.elements.add(struct);
        } else if (elementContext.clause(clauseIndex) instanceof RecordsParser.EachContext loop) {
            RecordValue iterated = expressionValue(loop.expr(), false);
            if (!(iterated instanceof RecordValue.ListValue iteratedList)) {
                faults.add(
                        positionOf(loop) + ": for: expected a list, found " + iterated.describe());
                return;
            }
            String valueVariable = loop.IDENT(loop.IDENT().size() - 1).getText();
            String indexVariable = loop.IDENT().size() > 1 ? loop.IDENT(0).getText() : null;
            Map<String, RecordValue> outerVariables = new HashMap<>(loopVariables);
            for (int i = 0;
                    i < iteratedList.elements.size()
                            && comprehensionItems <= MAX_COMPREHENSION_ITEMS;
                    i++) {
                loopVariables.put(valueVariable, iteratedList.elements.get(i));
                if (indexVariable != null) {
                    loopVariables.put(
                            indexVariable,
                            new RecordValue.Scalar(positionOf(loop), (double) i, ""));
                }
                addElements(elementContext, clauseIndex + 1, list);
            }
            loopVariables.clear();
            loopVariables.putAll(outerVariables);
        } else if (conditionHolds(
                (RecordsParser.WhereContext) elementContext.clause(clauseIndex))) {
            addElements(elementContext, clauseIndex + 1, list);
        }
    }

    private boolean conditionHolds(RecordsParser.WhereContext condition) {
        RecordValue leftValue = expressionValue(condition.expr(0), false);
        RecordValue rightValue = expressionValue(condition.expr(1), false);
        if (!(leftValue instanceof RecordValue.Scalar leftScalar)
                || !(rightValue instanceof RecordValue.Scalar rightScalar)
                || leftScalar.value.getClass() != rightScalar.value.getClass()) {
            faults.add(
                    positionOf(condition)
                            + ": if: "
                            + leftValue.describe()
                            + " and "
                            + rightValue.describe()
                            + " cannot be compared");
            return false;
        }
        if (condition.op.getText().equals("==") || condition.op.getText().equals("!=")) {
            return RecordValue.hasSameValue(leftScalar, rightScalar)
                    == condition.op.getText().equals("==");
        }
        if (!(leftScalar.value instanceof Double leftNumber)) {
            faults.add(positionOf(condition) + ": if: " + leftValue.describe() + " has no order");
            return false;
        }
        return new RecordValue.Bound(positionOf(condition), condition.op.getText(), rightScalar)
                .isMetBy(leftNumber);
    }

    /** A string with what it refers to put in for each \\(NAME). */
    private String interpolate(SourcePosition position, String quoted) {
        if (!quoted.contains("\\(")) {
            return unquote(quoted);
        }
        StringBuilder out = new StringBuilder();
        Matcher matcher = INTERPOLATION.matcher(quoted);
        while (matcher.find()) {
            RecordValue value = null;
            for (String fieldName : matcher.group(1).trim().split("\\.")) {
                value =
                        value == null
                                ? loopVariables.containsKey(fieldName)
                                        ? loopVariables.get(fieldName)
                                        : resolve(fieldName, position)
                                : value instanceof RecordValue.Struct struct
                                        ? struct.fields.get(fieldName)
                                        : null;
                if (value == null) {
                    break;
                }
            }
            value = value == null ? null : value.resolveDefaults();
            if (!(value instanceof RecordValue.Scalar scalar)) {
                faults.add(position + ": \\(" + matcher.group(1) + "): there is no such value");
            }
            String text =
                    !(value instanceof RecordValue.Scalar scalar)
                            ? ""
                            : scalar.value instanceof Double number && number == Math.rint(number)
                                    ? Long.toString(number.longValue())
                                    : scalar.value.toString();
            matcher.appendReplacement(out, Matcher.quoteReplacement(text));
        }
        matcher.appendTail(out);
        return unquote(out.toString());
    }

    private static final Pattern INTERPOLATION = Pattern.compile("\\\\\\(([^)]*)\\)");

    private RecordValue resolveReference(RecordsParser.ReferenceContext referenceContext) {
        String name = referenceContext.name.getText();
        SourcePosition position = positionOf(referenceContext);
        List<Token> path = new ArrayList<>();
        for (int i = 1; i < referenceContext.getChildCount(); i++) {
            if (referenceContext.getChild(i) instanceof TerminalNode terminal
                    && !terminal.getText().equals(".")) {
                path.add(terminal.getSymbol());
            }
        }
        if (RecordValue.BasicType.NAMES.contains(name)
                && path.isEmpty()
                && !topLevelFields.containsKey(name)
                && !loopVariables.containsKey(name)) {
            return new RecordValue.BasicType(position, name);
        }
        if (++referenceDepth > MAX_DEPTH) {
            faults.add(position + ": references of more than " + MAX_DEPTH + " steps");
            referenceDepth--;
            return new RecordValue.Struct(position, false);
        }
        RecordValue value =
                loopVariables.containsKey(name) ? loopVariables.get(name) : resolve(name, position);
        referenceDepth--;
        for (Token each : path) {
            String field = each.getText();
            RecordValue operand =
                    value instanceof RecordValue.Struct struct ? struct.fields.get(field) : null;
            if (operand == null) {
                faults.add(
                        position
                                + ": "
                                + referenceContext.getText()
                                + ": there is no field "
                                + field);
                return new RecordValue.Struct(position, false);
            }
            value = operand;
        }
        return value;
    }

    /** Times come out in ms, shares as parts of 1, rates in one a second. */
    static RecordValue.Scalar parseNumber(SourcePosition position, String text) {
        String digitsAndUnit = text.replace("_", "");
        int unitStart = digitsAndUnit.length();
        while (unitStart > 0 && !Character.isDigit(digitsAndUnit.charAt(unitStart - 1))) {
            unitStart--;
        }
        double number = Double.parseDouble(digitsAndUnit.substring(0, unitStart));
        return switch (digitsAndUnit.substring(unitStart)) {
            case "ms" -> new RecordValue.Scalar(position, number, "time");
            case "s" -> new RecordValue.Scalar(position, number * 1000, "time");
            case "min" -> new RecordValue.Scalar(position, number * 60_000, "time");
            case "%" -> new RecordValue.Scalar(position, number / 100, "share");
            case "/s" -> new RecordValue.Scalar(position, number, "rate");
            case "k" -> new RecordValue.Scalar(position, number * 1000, "");
            default -> new RecordValue.Scalar(position, number, "");
        };
    }
}
