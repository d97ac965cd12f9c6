package sprucelanding.records;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.antlr.v4.runtime.BaseErrorListener;
import org.antlr.v4.runtime.CharStreams;
import org.antlr.v4.runtime.CommonTokenStream;
import org.antlr.v4.runtime.ParserRuleContext;
import org.antlr.v4.runtime.RecognitionException;
import org.antlr.v4.runtime.Recognizer;
import org.antlr.v4.runtime.Token;

/** Reads text into values; references are followed as they are met, definitions and fields of the file's top first. */
final class Reader {
    private static final int DEPTH = 64;
    private static final int SIZE = 1 << 20;
    private final String file;
    private final List<String> faults;
    private final Map<String, RecordsParser.FieldContext> tops = new LinkedHashMap<>();
    private final Map<String, Value> known;
    private final List<String> following = new ArrayList<>();
    private int depth;

    /** @param known definitions that other files gave, to which this file's are added */
    Reader(String file, Map<String, Value> known, List<String> faults) {
        this.file = file;
        this.known = known;
        this.faults = faults;
    }

    /** The file's fields as a record; definitions are left in known. */
    Value.Rec read(String text) {
        Value.Rec top = new Value.Rec(new Place(file, 1, 1), false);
        if (text.length() > SIZE || nesting(text) > DEPTH) {
            faults.add(file + ":1:1: more than " + SIZE + " characters, or " + DEPTH + " levels");
            return top;
        }
        BaseErrorListener says = new BaseErrorListener() {
            @Override
            public void syntaxError(Recognizer<?, ?> r, Object symbol, int line, int column, String message,
                    RecognitionException e) {
                faults.add(file + ":" + line + ":" + (column + 1) + ": " + message);
            }
        };
        RecordsLexer lexer = new RecordsLexer(CharStreams.fromString(text, file));
        lexer.removeErrorListeners();
        lexer.addErrorListener(says);
        RecordsParser parser = new RecordsParser(new CommonTokenStream(lexer));
        parser.removeErrorListeners();
        parser.addErrorListener(says);
        RecordsParser.FileContext tree = parser.file();
        if (!faults.isEmpty()) {
            return top;
        }
        for (RecordsParser.FieldContext f : tree.field()) {
            if (tops.put(label(f), f) != null && label(f).startsWith("#")) {
                faults.add(place(f) + ": " + label(f) + " is defined twice");
            }
        }
        for (RecordsParser.FieldContext f : tree.field()) {
            if (label(f).startsWith("#")) {
                definition(label(f), place(f));
            } else {
                put(top, f);
            }
        }
        return top;
    }

    private static int nesting(String text) {
        int most = 0;
        int now = 0;
        for (int i = 0; i < text.length(); i++) {
            char c = text.charAt(i);
            now += c == '{' || c == '[' || c == '(' ? 1 : c == '}' || c == ']' || c == ')' ? -1 : 0;
            most = Math.max(most, now);
        }
        return most;
    }

    private Place place(ParserRuleContext c) {
        Token t = c.getStart();
        return new Place(file, t.getLine(), t.getCharPositionInLine() + 1);
    }

    private static String label(RecordsParser.FieldContext f) {
        return f.label.getType() == RecordsParser.STRING ? unquoted(f.label.getText()) : f.label.getText();
    }

    private static String unquoted(String text) {
        return text.substring(1, text.length() - 1).replace("\\n", "\n").replace("\\t", "\t").replace("\\\"", "\"")
                .replace("\\\\", "\\");
    }

    private Value definition(String name, Place from) {
        Value ready = known.get(name);
        RecordsParser.FieldContext f = tops.get(name);
        if (ready != null || f == null) {
            if (ready == null) {
                faults.add(from + ": " + name + " is not defined");
            }
            return ready == null ? new Value.Rec(from, false) : ready;
        }
        if (following.contains(name)) {
            faults.add(from + ": " + name + " refers to itself");
            return new Value.Rec(from, false);
        }
        following.add(name);
        Value made = of(f, name.startsWith("#"));
        following.remove(name);
        if (name.startsWith("#")) {
            known.put(name, made);
        }
        return made;
    }

    private void put(Value.Rec to, RecordsParser.FieldContext f) {
        String name = label(f);
        Value v = of(f, false);
        Value before = to.fields.get(name);
        to.fields.put(name, before == null ? v : new Unify(faults).meet(before, v, name));
        if (f.optional != null) {
            to.optional.add(name);
        }
    }

    /** A field's value; a: b: c is short for a: {b: c}. */
    private Value of(RecordsParser.FieldContext f, boolean closed) {
        if (f.nested == null) {
            return value(f.expr(), closed);
        }
        Value.Rec rec = new Value.Rec(place(f.nested), false);
        put(rec, f.nested);
        return rec;
    }

    private Value value(RecordsParser.ExprContext e, boolean closed) {
        List<Value> all = new ArrayList<>();
        Value preferred = null;
        for (RecordsParser.MeetContext m : e.meet()) {
            Value v = null;
            boolean star = false;
            for (RecordsParser.UnaryContext u : m.unary()) {
                star |= u instanceof RecordsParser.PreferredContext;
                Value next = unary(u, closed);
                v = v == null ? next : new Unify(faults).meet(v, next, "");
            }
            all.add(v);
            preferred = star ? v : preferred;
        }
        return all.size() == 1 && preferred == null ? all.get(0) : new Value.Either(place(e), all, preferred);
    }

    private Value unary(RecordsParser.UnaryContext u, boolean closed) {
        if (u instanceof RecordsParser.PreferredContext p) {
            return unary(p.unary(), closed);
        }
        if (u instanceof RecordsParser.BoundContext b) {
            return new Value.Bound(place(b), b.op.getText(), number(place(b), b.NUMBER().getText()));
        }
        return primary(((RecordsParser.PlainContext) u).primary(), closed);
    }

    private Value primary(RecordsParser.PrimaryContext p, boolean closed) {
        Place at = place(p);
        if (p instanceof RecordsParser.RecordContext r) {
            Value.Rec rec = new Value.Rec(at, closed && !r.getText().endsWith("...}"));
            r.field().forEach(f -> put(rec, f));
            return rec;
        } else if (p instanceof RecordsParser.ListContext l) {
            Value.Items items = new Value.Items(at);
            l.expr().forEach(x -> items.items.add(value(x, false)));
            return items;
        } else if (p instanceof RecordsParser.ListOfContext l) {
            return new Value.Each(at, value(l.expr(), closed));
        } else if (p instanceof RecordsParser.StringContext s) {
            return new Value.Plain(at, unquoted(s.STRING().getText()), "");
        } else if (p instanceof RecordsParser.NumberContext n) {
            return number(at, n.NUMBER().getText());
        } else if (p instanceof RecordsParser.TruthContext t) {
            return new Value.Plain(at, t.getText().equals("true"), "");
        } else if (p instanceof RecordsParser.GroupContext g) {
            return value(g.expr(), closed);
        }
        return reference((RecordsParser.ReferenceContext) p);
    }

    private Value reference(RecordsParser.ReferenceContext r) {
        String name = r.name.getText();
        Place at = place(r);
        if (Value.Type.NAMES.contains(name) && r.IDENT().size() <= 1 && !tops.containsKey(name)) {
            return new Value.Type(at, name);
        }
        if (++depth > DEPTH) {
            faults.add(at + ": references of more than " + DEPTH + " steps");
            depth--;
            return new Value.Rec(at, false);
        }
        Value v = definition(name, at);
        depth--;
        int from = r.name.getType() == RecordsParser.IDENT ? 1 : 0;
        for (int i = from; i < r.IDENT().size(); i++) {
            String field = r.IDENT(i).getText();
            Value next = v instanceof Value.Rec rec ? rec.fields.get(field) : null;
            if (next == null) {
                faults.add(at + ": " + r.getText() + ": there is no field " + field);
                return new Value.Rec(at, false);
            }
            v = next;
        }
        return v;
    }

    /** Times come out in ms, shares as parts of 1, rates in one a second. */
    static Value.Plain number(Place at, String text) {
        String plain = text.replace("_", "");
        int end = plain.length();
        while (end > 0 && !Character.isDigit(plain.charAt(end - 1))) {
            end--;
        }
        double n = Double.parseDouble(plain.substring(0, end));
        return switch (plain.substring(end)) {
            case "ms" -> new Value.Plain(at, n, "time");
            case "s" -> new Value.Plain(at, n * 1000, "time");
            case "min" -> new Value.Plain(at, n * 60_000, "time");
            case "%" -> new Value.Plain(at, n / 100, "share");
            case "/s" -> new Value.Plain(at, n, "rate");
            case "k" -> new Value.Plain(at, n * 1000, "");
            default -> new Value.Plain(at, n, "");
        };
    }
}
