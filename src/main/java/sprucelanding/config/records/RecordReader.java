package sprucelanding.config.records;

import static sprucelanding.config.records.SyntaxTrees.labelOf;
import static sprucelanding.config.records.SyntaxTrees.positionOf;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import sprucelanding.config.records.RecordValue.Openness;
import sprucelanding.config.records.RecordsParser.FieldContext;
import sprucelanding.config.records.RecordsParser.FileContext;
import sprucelanding.config.records.RecordsParser.ImportsContext;

/**
 * Reader of the files of one package. Parses all files, collects the fields and definitions of
 * their top levels, reads the imported packages, then evaluates the fields. A reader is used once.
 */
final class RecordReader {
    private static final int MAX_IMPORT_DEPTH = 8;

    private final PackageSource packageSource;

    /**
     * Folders of the importing packages, outermost first, followed by the folder of this package.
     */
    private final List<String> importPath;

    private final Faults faults;
    private final Scope scope;
    private final ExpressionEvaluator evaluator;

    /**
     * Creates a reader of a package that no other package imports.
     *
     * @param definitions definitions of other sources by name, including the #; the reader adds the
     *     definitions of the package
     * @param packageSource loads imported packages
     * @param faults receives the faults of the package
     */
    RecordReader(Map<String, RecordValue> definitions, PackageSource packageSource, Faults faults) {
        this(definitions, packageSource, List.of(), faults);
    }

    private RecordReader(
            Map<String, RecordValue> definitions,
            PackageSource packageSource,
            List<String> importPath,
            Faults faults) {
        this.packageSource = packageSource;
        this.importPath = importPath;
        this.faults = faults;
        this.scope = new Scope(definitions);
        this.evaluator = new ExpressionEvaluator(scope, faults);
    }

    /** Evaluates the package. Returns the fields of the package without the definitions. */
    RecordValue.Struct read(List<Source> sources) {
        String firstName = sources.isEmpty() ? "" : sources.get(0).name();
        RecordValue.Struct result =
                new RecordValue.Struct(SourcePosition.startOf(firstName), Openness.OPEN);
        List<FileContext> files = new ArrayList<>();
        for (Source source : sources) {
            SourceParser.parse(source, faults).ifPresent(files::add);
        }
        if (!faults.isEmpty()) {
            return result;
        }
        collectTopLevel(files);
        for (FileContext file : files) {
            for (FieldContext field : file.field()) {
                evaluateTopLevelField(field, result);
            }
        }
        return result;
    }

    private void collectTopLevel(List<FileContext> files) {
        FileContext firstLabelled = null;
        for (FileContext file : files) {
            if (firstLabelled == null) {
                firstLabelled = file.label == null ? null : file;
            } else {
                checkSamePackage(file, firstLabelled);
            }
            file.imports().forEach(this::resolveImport);
            file.field().forEach(this::collectField);
        }
    }

    private void checkSamePackage(FileContext file, FileContext firstLabelled) {
        String expected = firstLabelled.label.getText();
        if (file.label != null && !file.label.getText().equals(expected)) {
            faults.add(
                    positionOf(file),
                    "found package "
                            + file.label.getText()
                            + ", expected "
                            + expected
                            + " ("
                            + positionOf(firstLabelled)
                            + ")");
        }
    }

    private void collectField(FieldContext field) {
        String label = labelOf(field);
        List<FieldContext> earlier = scope.topLevelFields(label);
        if (!earlier.isEmpty() && SyntaxTrees.isDefinition(label)) {
            faults.add(
                    positionOf(field),
                    label + " is defined twice (" + positionOf(earlier.get(0)) + ")");
        }
        scope.addTopLevelField(label, field);
    }

    private void evaluateTopLevelField(FieldContext field, RecordValue.Struct result) {
        String label = labelOf(field);
        if (SyntaxTrees.isDefinition(label)) {
            evaluator.resolveName(label, positionOf(field));
        } else {
            evaluator.addField(result, field, Openness.OPEN);
        }
    }

    private void resolveImport(ImportsContext importClause) {
        String folder = SyntaxTrees.unquote(importClause.STRING().getText());
        if (importPath.contains(folder) || importPath.size() >= MAX_IMPORT_DEPTH) {
            faults.add(
                    positionOf(importClause),
                    "import \""
                            + folder
                            + "\": import cycle, or imports nested more than "
                            + MAX_IMPORT_DEPTH
                            + " levels deep: "
                            + importPath);
            return;
        }
        try {
            String name = folder.substring(folder.lastIndexOf('/') + 1);
            scope.addImportedPackage(name, readImport(folder));
        } catch (IOException e) {
            faults.add(positionOf(importClause), "import \"" + folder + "\": " + e.getMessage());
        }
    }

    /** Reads an imported package. Returns its fields and definitions as one struct. */
    private RecordValue.Struct readImport(String folder) throws IOException {
        List<String> nestedPath = new ArrayList<>(importPath);
        nestedPath.add(folder);
        Map<String, RecordValue> importedDefinitions = new HashMap<>();
        RecordReader reader =
                new RecordReader(importedDefinitions, packageSource, nestedPath, faults);
        RecordValue.Struct imported = reader.read(packageSource.load(folder));
        importedDefinitions.forEach(imported::put);
        return imported;
    }
}
