package sprucelanding.cli;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import sprucelanding.config.governor.GovernorComponents;
import sprucelanding.config.governor.GovernorConfig;
import sprucelanding.config.records.InvalidRecordsException;
import sprucelanding.config.records.RecordFormatter;
import sprucelanding.config.records.Records;
import sprucelanding.simulation.emulator.Emulation;
import sprucelanding.simulation.experiment.Experiment;
import sprucelanding.simulation.experiment.ExperimentRunner;
import sprucelanding.simulation.scenario.Scenario;

/**
 * Files of records: what is wrong with them, what they come to, what differs, and one look for
 * them.
 */
@Command(
        name = "records",
        mixinStandardHelpOptions = true,
        description = "Files of typed records (docs/records.md).",
        subcommands = {
            RecordsCommand.Check.class,
            RecordsCommand.Show.class,
            RecordsCommand.Diff.class,
            RecordsCommand.Reformat.class
        })
final class RecordsCommand {
    /** What a file or folder is meant to be. */
    enum Kind {
        station,
        day,
        lab
    }

    private RecordsCommand() {}

    /** A day is well if its governors' stations are, too. */
    private static void validateScenario(Scenario scenario) throws InvalidRecordsException {
        scenario.check();
        for (GovernorConfig config : Emulation.governorConfigs(scenario, null, null)) {
            GovernorComponents.controller(config);
            GovernorComponents.fleetMember(config, 0, 0);
        }
    }

    private static Kind guessKind(Path file) throws IOException {
        String text = Files.isDirectory(file) ? "" : Files.readString(file);
        return text.contains("lasts:") && text.contains("troubles:")
                ? Kind.day
                : text.contains("settings:") ? Kind.lab : Kind.station;
    }

    private static List<Records.ResolvedField> resolveFields(Kind kind, Path file)
            throws InvalidRecordsException, IOException {
        return switch (kind) {
            case station ->
                    Records.show(
                            file,
                            GovernorConfig.SCHEMA,
                            GovernorConfig.DEFINITION,
                            GovernorConfig.class);
            case day -> Records.show(file, Scenario.SCHEMA, Scenario.DEFINITION, Scenario.class);
            case lab ->
                    Records.show(file, Experiment.SCHEMA, Experiment.DEFINITION, Experiment.class);
        };
    }

    @Command(
            name = "check",
            mixinStandardHelpOptions = true,
            description = "Says all that is wrong, with file, line, column and field.")
    static final class Check implements Callable<Integer> {
        @Option(
                names = "--as",
                description = "${COMPLETION-CANDIDATES} (default: by what a file holds)")
        private Kind kind;

        @Parameters(
                paramLabel = "FILE",
                arity = "1..*",
                description = "files, or folders as one package each")
        private Path[] files;

        @Override
        public Integer call() throws Exception {
            int faults = 0;
            for (Path file : files) {
                try {
                    switch (kind == null ? guessKind(file) : kind) {
                        case station ->
                                GovernorFactory.validate(
                                        Records.read(
                                                file,
                                                GovernorConfig.SCHEMA,
                                                GovernorConfig.DEFINITION,
                                                GovernorConfig.class));
                        case day -> validateScenario(Scenario.read(file));
                        case lab -> ExperimentRunner.read(file);
                    }
                    System.out.println(file + ": well");
                } catch (InvalidRecordsException | IllegalArgumentException e) {
                    faults++;
                    System.out.println(e.getMessage());
                }
            }
            return faults == 0 ? 0 : 2;
        }
    }

    @Command(
            name = "show",
            mixinStandardHelpOptions = true,
            description = "The values that come of it, and where each was given.")
    static final class Show implements Callable<Integer> {
        @Option(
                names = "--as",
                defaultValue = "station",
                description = "${COMPLETION-CANDIDATES} (default: ${DEFAULT-VALUE})")
        private Kind kind;

        @Parameters(paramLabel = "FILE")
        private Path file;

        @Override
        public Integer call() throws Exception {
            resolveFields(kind, file)
                    .forEach(
                            field ->
                                    System.out.printf(
                                            "%-44s %-28s %s%n",
                                            field.field(), field.value(), field.position()));
            return 0;
        }
    }

    @Command(
            name = "diff",
            mixinStandardHelpOptions = true,
            description = "Values that differ; exit 1 if any do.")
    static final class Diff implements Callable<Integer> {
        @Option(
                names = "--as",
                defaultValue = "station",
                description = "${COMPLETION-CANDIDATES} (default: ${DEFAULT-VALUE})")
        private Kind kind;

        @Parameters(index = "0", paramLabel = "BEFORE")
        private Path before;

        @Parameters(index = "1", paramLabel = "AFTER")
        private Path after;

        @Override
        public Integer call() throws Exception {
            Map<String, Records.ResolvedField> previousByField = new LinkedHashMap<>();
            resolveFields(kind, before).forEach(field -> previousByField.put(field.field(), field));
            int differences = 0;
            for (Records.ResolvedField field : resolveFields(kind, after)) {
                Records.ResolvedField previous = previousByField.remove(field.field());
                if (previous == null || !previous.value().equals(field.value())) {
                    differences++;
                    System.out.printf(
                            "%s: %s -> %s (%s)%n",
                            field.field(),
                            previous == null ? "none" : previous.value(),
                            field.value(),
                            field.position());
                }
            }
            for (Records.ResolvedField removed : previousByField.values()) {
                differences++;
                System.out.printf(
                        "%s: %s -> none (%s)%n",
                        removed.field(), removed.value(), removed.position());
            }
            return differences == 0 ? 0 : 1;
        }
    }

    @Command(
            name = "fmt",
            mixinStandardHelpOptions = true,
            description = "Writes files in one look; with --check only says which differ.")
    static final class Reformat implements Callable<Integer> {
        @Option(names = "--check", description = "changes nothing; exit 1 if a file would change")
        private boolean checkOnly;

        @Parameters(paramLabel = "FILE", arity = "1..*")
        private Path[] files;

        @Override
        public Integer call() throws Exception {
            int differences = 0;
            for (Path file : files) {
                String text = Files.readString(file);
                String formatted = RecordFormatter.format(file.toString(), text);
                if (!formatted.equals(text)) {
                    differences++;
                    System.out.println(file);
                    if (!checkOnly) {
                        Files.writeString(file, formatted);
                    }
                }
            }
            return checkOnly && differences > 0 ? 1 : 0;
        }
    }
}
