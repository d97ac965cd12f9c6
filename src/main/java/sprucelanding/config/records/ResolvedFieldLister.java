package sprucelanding.config.records;

import java.util.ArrayList;
import java.util.List;
import sprucelanding.config.records.Records.ResolvedField;

/** Lister of the fields of a value in readable form. Names nested fields by their paths. */
final class ResolvedFieldLister {
    private final List<ResolvedField> resolvedFields = new ArrayList<>();

    private ResolvedFieldLister() {}

    static List<ResolvedField> list(RecordValue value) {
        ResolvedFieldLister lister = new ResolvedFieldLister();
        lister.add(value, "");
        return lister.resolvedFields;
    }

    private void add(RecordValue value, String path) {
        RecordValue chosen = value.resolveDefaults();
        if (chosen instanceof RecordValue.Struct struct) {
            addFields(struct, path);
        } else if (chosen instanceof RecordValue.ListValue list) {
            List<RecordValue> elements = list.elements();
            for (int i = 0; i < elements.size(); i++) {
                add(elements.get(i), path + "[" + i + "]");
            }
        } else {
            resolvedFields.add(
                    new ResolvedField(path, format(chosen), chosen.position().toString()));
        }
    }

    private void addFields(RecordValue.Struct struct, String path) {
        struct.fields()
                .forEach(
                        (name, value) -> {
                            if (struct.isGiven(name)) {
                                add(value, path.isEmpty() ? name : path + "." + name);
                            }
                        });
    }

    private static String format(RecordValue value) {
        return value instanceof RecordValue.Scalar scalar && scalar.value() instanceof Double number
                ? NumberLiteral.format(number, scalar.unit())
                : value.describe();
    }
}
