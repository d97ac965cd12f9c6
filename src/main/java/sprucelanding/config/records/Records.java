package sprucelanding.config.records;

import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.lang.reflect.InvocationTargetException;
import java.lang.reflect.ParameterizedType;
import java.lang.reflect.RecordComponent;
import java.lang.reflect.Type;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The door: a file's records, unified with a definition, as a Java record. Components are matched
 * by name; an optional field that is not given comes out as null, an empty list, 0 or false.
 */
public final class Records {
    private Records() {}

    /**
     * Reads a file, or all files of a folder as one package, and binds what they come to. Imports
     * come from below the folder.
     *
     * @param schema a resource beside the class, with the definitions
     * @param definition the one that the whole file must meet, such as #Governor
     * @throws Invalid with all faults found
     * @throws IOException if the file cannot be read
     */
    public static <T extends Record> T read(
            Path file, String schema, String definition, Class<T> target)
            throws InvalidRecordsException, IOException {
        List<String> faults = new ArrayList<>();
        RecordValue resolved = load(file, schema, definition, target, faults);
        return bindTo(resolved, target, faults);
    }

    /**
     * What a file or folder and a definition come to, for people to read: a line for each value
     * with its field and where it was given; a default's place is the schema's. Throws as read
     * does.
     */
    public static List<ResolvedField> show(
            Path file, String schema, String definition, Class<?> resourceOwner)
            throws InvalidRecordsException, IOException {
        List<String> faults = new ArrayList<>();
        RecordValue resolved = load(file, schema, definition, resourceOwner, faults);
        if (!faults.isEmpty()) {
            throw new InvalidRecordsException(faults);
        }
        List<ResolvedField> fields = new ArrayList<>();
        addResolved(resolved, "", fields);
        return fields;
    }

    /** A field, its value as one would write it, and where it was given. */
    public record ResolvedField(String field, String value, String position) {}

    /** A number with its unit, as a person would write it. */
    private static String formatScalar(RecordValue.Scalar scalar) {
        if (!(scalar.value instanceof Double number)) {
            return scalar.describe();
        }
        double displayed =
                scalar.unit.equals("share")
                        ? number * 100
                        : scalar.unit.equals("time") && number % 1000 == 0 ? number / 1000 : number;
        String unit =
                switch (scalar.unit) {
                    case "time" -> number % 1000 == 0 ? "s" : "ms";
                    case "share" -> "%";
                    case "rate" -> "/s";
                    default -> "";
                };
        return new java.math.BigDecimal(displayed, new java.math.MathContext(12))
                        .stripTrailingZeros()
                        .toPlainString()
                + unit;
    }

    private static void addResolved(RecordValue value, String field, List<ResolvedField> output) {
        RecordValue chosen = value.resolveDefaults();
        if (chosen instanceof RecordValue.Struct struct) {
            struct.fields.forEach(
                    (name, child) -> {
                        boolean hasDefault =
                                child instanceof RecordValue.Disjunction disjunction
                                        && disjunction.defaultAlternative != null;
                        if (!struct.optionalFields.contains(name) || hasDefault) {
                            addResolved(child, field.isEmpty() ? name : field + "." + name, output);
                        }
                    });
        } else if (chosen instanceof RecordValue.ListValue list) {
            for (int i = 0; i < list.elements.size(); i++) {
                addResolved(list.elements.get(i), field + "[" + i + "]", output);
            }
        } else {
            output.add(
                    new ResolvedField(
                            field,
                            chosen instanceof RecordValue.Scalar p
                                    ? formatScalar(p)
                                    : chosen.describe(),
                            chosen.position.toString()));
        }
    }

    /** The same for a text. */
    public static <T extends Record> T parse(
            String name, String text, String schema, String definition, Class<T> target)
            throws InvalidRecordsException {
        return parse(name, text, null, null, schema, definition, target);
    }

    /**
     * The same for a text with another laid over it: what that one gives takes the place of what
     * the first gives.
     */
    public static <T extends Record> T parse(
            String name,
            String text,
            String overlayName,
            String overlayText,
            String schema,
            String definition,
            Class<T> target)
            throws InvalidRecordsException {
        List<String> faults = new ArrayList<>();
        Map<String, RecordValue> definitionsByName = readDefinitions(schema, target, faults);
        RecordValue.Struct given =
                new RecordReader(definitionsByName, RecordReader.PackageSource.NONE, faults)
                        .read(List.of(new RecordReader.Source(name, text)));
        if (overlayText != null) {
            overlay(
                    given,
                    new RecordReader(definitionsByName, RecordReader.PackageSource.NONE, faults)
                            .read(List.of(new RecordReader.Source(overlayName, overlayText))));
        }
        return bindTo(unifyWith(definitionsByName.get(definition), given, faults), target, faults);
    }

    /** What a file or folder and a definition come to; faults are added. */
    private static RecordValue load(
            Path file,
            String schema,
            String definition,
            Class<?> resourceOwner,
            List<String> faults)
            throws IOException {
        Map<String, RecordValue> definitionsByName = readDefinitions(schema, resourceOwner, faults);
        return unifyWith(
                definitionsByName.get(definition),
                new RecordReader(definitionsByName, new PackageFolder(file), faults)
                        .read(PackageFolder.sources(file)),
                faults);
    }

    private static Map<String, RecordValue> readDefinitions(
            String schema, Class<?> resourceOwner, List<String> faults) {
        Map<String, RecordValue> definitionsByName = new HashMap<>();
        new RecordReader(definitionsByName, RecordReader.PackageSource.NONE, faults)
                .read(
                        List.of(
                                new RecordReader.Source(
                                        schema, readResource(schema, resourceOwner))));
        return definitionsByName;
    }

    private static RecordValue unifyWith(
            RecordValue definition, RecordValue.Struct given, List<String> faults) {
        return faults.isEmpty() ? new Unifier(faults).unify(definition, given, "") : given;
    }

    private static <T extends Record> T bindTo(
            RecordValue resolved, Class<T> target, List<String> faults)
            throws InvalidRecordsException {
        Object bound = faults.isEmpty() ? new Binder(faults).bind(resolved, target, "") : null;
        if (!faults.isEmpty()) {
            throw new InvalidRecordsException(faults);
        }
        return target.cast(bound);
    }

    private static void overlay(RecordValue.Struct base, RecordValue.Struct overlay) {
        overlay.fields.forEach(
                (field, value) -> {
                    if (value instanceof RecordValue.Struct overlayStruct
                            && base.fields.get(field) instanceof RecordValue.Struct baseStruct) {
                        overlay(baseStruct, overlayStruct);
                    } else {
                        base.fields.put(field, value);
                    }
                });
    }

    private static String readResource(String schema, Class<?> resourceOwner) {
        try (InputStream in = resourceOwner.getResourceAsStream(schema)) {
            if (in == null) {
                throw new IllegalArgumentException(
                        "no resource " + schema + " beside " + resourceOwner.getName());
            }
            return new String(in.readAllBytes(), StandardCharsets.UTF_8);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private static final class Binder {
        private final List<String> faults;

        Binder(List<String> faults) {
            this.faults = faults;
        }

        Object bind(RecordValue value, Type type, String field) {
            RecordValue chosen = value.resolveDefaults();
            Class<?> rawType =
                    (Class<?>) (type instanceof ParameterizedType p ? p.getRawType() : type);
            if (rawType == List.class) {
                return bindList(chosen, (ParameterizedType) type, field);
            }
            if (rawType.isRecord()) {
                return bindRecord(chosen, rawType, field);
            }
            if (!(chosen instanceof RecordValue.Scalar scalar)) {
                faults.add(
                        chosen.position
                                + ": "
                                + field
                                + ": no value is given; expected "
                                + chosen.describe());
                return null;
            }
            if ((rawType == double.class || rawType == Double.class)
                    && scalar.value instanceof Double) {
                return scalar.value;
            } else if ((rawType == int.class || rawType == Integer.class)
                    && scalar.value instanceof Double number) {
                return number.intValue();
            } else if ((rawType == long.class || rawType == Long.class)
                    && scalar.value instanceof Double number) {
                return number.longValue();
            } else if (rawType == boolean.class && scalar.value instanceof Boolean
                    || rawType == String.class && scalar.value instanceof String) {
                return scalar.value;
            }
            faults.add(scalar.position + ": " + field + ": found " + scalar.describe());
            return null;
        }

        private Object bindList(RecordValue value, ParameterizedType type, String field) {
            List<Object> fields = new ArrayList<>();
            if (value instanceof RecordValue.ListValue list) {
                for (int i = 0; i < list.elements.size(); i++) {
                    fields.add(
                            bind(
                                    list.elements.get(i),
                                    type.getActualTypeArguments()[0],
                                    field + "[" + i + "]"));
                }
            } else if (!(value instanceof RecordValue.ListOf)) {
                faults.add(
                        value.position
                                + ": "
                                + field
                                + ": expected a list, found "
                                + value.describe());
            }
            return faults.isEmpty() ? List.copyOf(fields) : fields;
        }

        private Object bindRecord(RecordValue value, Class<?> type, String field) {
            if (!(value instanceof RecordValue.Struct struct)) {
                faults.add(
                        value.position
                                + ": "
                                + field
                                + ": expected a record, found "
                                + value.describe());
                return null;
            }
            RecordComponent[] components = type.getRecordComponents();
            Object[] values = new Object[components.length];
            Class<?>[] types = new Class<?>[components.length];
            for (int i = 0; i < components.length; i++) {
                String name = components[i].getName();
                types[i] = components[i].getType();
                RecordValue componentValue = struct.fields.get(name);
                String path = field.isEmpty() ? name : field + "." + name;
                boolean hasDefault =
                        componentValue instanceof RecordValue.Disjunction disjunction
                                && disjunction.defaultAlternative != null;
                if (componentValue == null || struct.optionalFields.contains(name) && !hasDefault) {
                    values[i] =
                            types[i] == List.class
                                    ? List.of()
                                    : types[i] == boolean.class
                                            ? (Object) false
                                            : types[i] == int.class
                                                    ? (Object) 0
                                                    : types[i] == long.class
                                                            ? (Object) 0L
                                                            : types[i] == double.class
                                                                    ? (Object) 0.0
                                                                    : null;
                } else {
                    values[i] = bind(componentValue, components[i].getGenericType(), path);
                }
            }
            if (!faults.isEmpty()) {
                return null;
            }
            try {
                var constructor = type.getDeclaredConstructor(types);
                constructor.setAccessible(true);
                return constructor.newInstance(values);
            } catch (InvocationTargetException e) {
                faults.add(value.position + ": " + field + ": " + e.getCause().getMessage());
            } catch (ReflectiveOperationException e) {
                throw new IllegalStateException(type + " cannot be made", e);
            }
            return null;
        }
    }
}
