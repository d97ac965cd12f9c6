package sprucelanding.cli;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import sprucelanding.config.governor.GovernorComponents;
import sprucelanding.config.governor.GovernorConfig;
import sprucelanding.config.records.InvalidRecordsException;
import sprucelanding.config.records.Records;
import sprucelanding.simulation.emulator.Emulation;
import sprucelanding.simulation.experiment.Experiment;
import sprucelanding.simulation.experiment.ExperimentRunner;
import sprucelanding.simulation.scenario.Scenario;

/** Kinds of records that a file or folder can hold. The constant names are option values. */
enum RecordKind {
    /** A governor's configuration. */
    station,
    /** A scenario. */
    day,
    /** An experiment. */
    lab;

    /**
     * Returns the kind of a file, judged by fields that only one kind has. Returns {@link #station}
     * for a folder.
     */
    static RecordKind guess(Path file) throws IOException {
        String text = Files.isDirectory(file) ? "" : Files.readString(file);
        if (text.contains("lasts:") && text.contains("troubles:")) {
            return day;
        }
        return text.contains("settings:") ? lab : station;
    }

    /** Returns all fields with their values and the position at which each value was given. */
    List<Records.ResolvedField> resolveFields(Path file)
            throws InvalidRecordsException, IOException {
        return switch (this) {
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

    /**
     * Checks that a file or folder can be used as this kind.
     *
     * @throws InvalidRecordsException if the records are invalid; the message names each field
     * @throws IllegalArgumentException if a value is invalid; the message names the field
     * @throws IOException if the file cannot be read
     */
    void check(Path file) throws InvalidRecordsException, IOException {
        switch (this) {
            case station -> checkGovernorConfig(file);
            case day -> checkScenario(Scenario.read(file));
            case lab -> ExperimentRunner.read(file);
            default -> throw new AssertionError(this);
        }
    }

    private static void checkGovernorConfig(Path file) throws InvalidRecordsException, IOException {
        GovernorFactory.validate(
                Records.read(
                        file,
                        GovernorConfig.SCHEMA,
                        GovernorConfig.DEFINITION,
                        GovernorConfig.class));
    }

    /** Checks a scenario and the configurations of its governors. */
    private static void checkScenario(Scenario scenario) throws InvalidRecordsException {
        scenario.check();
        for (GovernorConfig config : Emulation.governorConfigs(scenario, null, null)) {
            GovernorComponents.createController(config);
            GovernorComponents.createFleetMember(config, 0, 0);
        }
    }
}
