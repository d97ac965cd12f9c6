package sprucelanding.config.records;

import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Reader of configuration records. Unifies the fields of a file with a definition of a schema and
 * binds the result to a Java record. Matches record components by name. Binds an optional field
 * that is not given to null, an empty list, 0 or false. The class is stateless.
 */
public final class Records {
    private Records() {}

    /**
     * Field after unification with its schema.
     *
     * @param field path of the field, such as {@code zones[0].name}
     * @param value the value in the notation of a source
     * @param position file, line and column of the value; the position of a default is in the
     *     schema
     */
    public record ResolvedField(String field, String value, String position) {}

    /**
     * Reads a file, or all files of a folder as one package, and binds it to a Java record. Loads
     * imports from below the folder.
     *
     * @param schema name of the resource with the definitions, in the package of the target class
     * @param definition name of the definition that the whole file must meet, such as #Governor
     * @throws InvalidRecordsException with all faults found
     * @throws IOException if the file cannot be read
     */
    public static <T extends Record> T read(
            Path file, String schema, String definition, Class<T> target)
            throws InvalidRecordsException, IOException {
        Faults faults = new Faults();
        RecordValue resolved = load(file, schema, definition, target, faults);
        return bindTo(resolved, target, faults);
    }

    /**
     * Lists the fields of a file or folder after unification with a definition, defaults included.
     *
     * @param schema name of the resource with the definitions, in the package of the owner class
     * @param definition name of the definition that the whole file must meet
     * @throws InvalidRecordsException with all faults found
     * @throws IOException if the file cannot be read
     */
    public static List<ResolvedField> show(
            Path file, String schema, String definition, Class<?> resourceOwner)
            throws InvalidRecordsException, IOException {
        Faults faults = new Faults();
        RecordValue resolved = load(file, schema, definition, resourceOwner, faults);
        faults.throwIfAny();
        return ResolvedFieldLister.list(resolved);
    }

    /**
     * Binds a text to a Java record as {@link #read} does. The text cannot import packages.
     *
     * @param name name of the text in faults
     * @throws InvalidRecordsException with all faults found
     */
    public static <T extends Record> T parse(
            String name, String text, String schema, String definition, Class<T> target)
            throws InvalidRecordsException {
        return parse(name, text, null, null, schema, definition, target);
    }

    /**
     * Binds a text with an overlay to a Java record. Fields of the overlay replace fields of the
     * text.
     *
     * @param name name of the text in faults
     * @param overlayName name of the overlay in faults
     * @param overlayText text of the overlay, or null if there is none
     * @throws InvalidRecordsException with all faults found
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
        Faults faults = new Faults();
        Map<String, RecordValue> definitions = readDefinitions(schema, target, faults);
        RecordValue.Struct given = readText(new Source(name, text), definitions, faults);
        if (overlayText != null) {
            overlay(given, readText(new Source(overlayName, overlayText), definitions, faults));
        }
        RecordValue resolved = unifyWith(definitions.get(definition), given, faults);
        return bindTo(resolved, target, faults);
    }

    private static RecordValue load(
            Path file, String schema, String definition, Class<?> resourceOwner, Faults faults)
            throws IOException {
        Map<String, RecordValue> definitions = readDefinitions(schema, resourceOwner, faults);
        RecordValue expected = definitions.get(definition);
        RecordReader reader = new RecordReader(definitions, new PackageFolder(file), faults);
        return unifyWith(expected, reader.read(PackageFolder.sources(file)), faults);
    }

    private static Map<String, RecordValue> readDefinitions(
            String schema, Class<?> resourceOwner, Faults faults) {
        Map<String, RecordValue> definitions = new HashMap<>();
        readText(new Source(schema, readResource(schema, resourceOwner)), definitions, faults);
        return definitions;
    }

    private static RecordValue.Struct readText(
            Source source, Map<String, RecordValue> definitions, Faults faults) {
        return new RecordReader(definitions, PackageSource.NONE, faults).read(List.of(source));
    }

    private static RecordValue unifyWith(
            RecordValue definition, RecordValue.Struct given, Faults faults) {
        return faults.isEmpty() ? new Unifier(faults).unify(definition, given, "") : given;
    }

    private static <T extends Record> T bindTo(RecordValue resolved, Class<T> target, Faults faults)
            throws InvalidRecordsException {
        faults.throwIfAny();
        Object bound = new RecordBinder(faults).bind(resolved, target, "");
        faults.throwIfAny();
        return target.cast(bound);
    }

    private static void overlay(RecordValue.Struct base, RecordValue.Struct overlay) {
        overlay.fields()
                .forEach(
                        (field, value) -> {
                            if (value instanceof RecordValue.Struct overlayStruct
                                    && base.fields().get(field)
                                            instanceof RecordValue.Struct baseStruct) {
                                overlay(baseStruct, overlayStruct);
                            } else {
                                base.put(field, value);
                            }
                        });
    }

    private static String readResource(String schema, Class<?> resourceOwner) {
        try (InputStream in = resourceOwner.getResourceAsStream(schema)) {
            if (in == null) {
                throw new IllegalArgumentException(
                        "no resource " + schema + " in the package of " + resourceOwner.getName());
            }
            return new String(in.readAllBytes(), StandardCharsets.UTF_8);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
