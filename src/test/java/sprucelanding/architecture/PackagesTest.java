package sprucelanding.architecture;

import static com.tngtech.archunit.library.Architectures.layeredArchitecture;

import com.tngtech.archunit.core.domain.JavaClass;
import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import com.tngtech.archunit.lang.syntax.ArchRuleDefinition;
import org.junit.jupiter.api.Test;
import sprucelanding.control.decision.BootClock;

/**
 * Dependencies run one way, and what decides does no I/O; docs/architecture.md shows the layers.
 */
class PackagesTest {
    private static final String CONTROL = "sprucelanding.control..";
    private static final String RUNTIME = "sprucelanding.runtime..";
    private static final String FRONT = "sprucelanding.front..";
    private static final String CONFIG = "sprucelanding.config..";
    private static final String REPLAY = "sprucelanding.replay..";
    private static final String SIMULATION = "sprucelanding.simulation..";
    private static final String CLI = "sprucelanding.cli..";

    private final JavaClasses all =
            new ClassFileImporter()
                    .withImportOption(new ImportOption.DoNotIncludeTests())
                    .importPackages("sprucelanding");

    @Test
    void controlKnowsNothingOfTheOtherLayers() {
        noClassOf(CONTROL, RUNTIME, FRONT, CONFIG, REPLAY, SIMULATION, CLI);
    }

    @Test
    void nothingInServiceKnowsTheSimulation() {
        noClassOf(RUNTIME, FRONT, CONFIG, REPLAY, SIMULATION, CLI);
        noClassOf(FRONT, CONFIG, REPLAY, SIMULATION, CLI);
        noClassOf(CONFIG, RUNTIME, FRONT, REPLAY, SIMULATION, CLI);
        noClassOf(REPLAY, RUNTIME, FRONT, CONFIG, SIMULATION, CLI);
        noClassOf(SIMULATION, CLI);
    }

    private void noClassOf(String layer, String... others) {
        ArchRuleDefinition.noClasses()
                .that()
                .resideInAPackage(layer)
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage(others)
                .check(all);
    }

    @Test
    void nothingStandsInTheRootPackage() {
        ArchRuleDefinition.noClasses()
                .that()
                .doNotHaveSimpleName("package-info")
                .should()
                .resideInAPackage("sprucelanding")
                .check(all);
    }

    @Test
    void packagesAreAccessedByTheirLayersOnly() {
        layeredArchitecture()
                .consideringOnlyDependenciesInLayers()
                .layer("decision")
                .definedBy("sprucelanding.control.decision")
                .layer("event loop")
                .definedBy("sprucelanding.runtime.eventloop")
                .layer("delivery")
                .definedBy(
                        "sprucelanding.control.delivery",
                        "sprucelanding.control.loadreport",
                        "sprucelanding.control.discovery")
                .layer("membership")
                .definedBy("sprucelanding.control.membership")
                .layer("edits")
                .definedBy("sprucelanding.control.edits")
                .layer("xml")
                .definedBy("sprucelanding.front.xml")
                .layer("core")
                .definedBy("sprucelanding.control.core")
                .layer("replay")
                .definedBy(REPLAY)
                .layer("governor")
                .definedBy("sprucelanding.runtime.governor")
                .layer("fronts")
                .definedBy("sprucelanding.front.xds", "sprucelanding.front.netconf")
                .layer("governor configuration")
                .definedBy("sprucelanding.config.governor")
                .layer("model")
                .definedBy("sprucelanding.simulation.model")
                .layer("rules")
                .definedBy("sprucelanding.simulation.rules")
                .layer("loopback")
                .definedBy("sprucelanding.simulation.loopback")
                .layer("scenario")
                .definedBy("sprucelanding.simulation.scenario")
                .layer("emulator")
                .definedBy("sprucelanding.simulation.emulator")
                .layer("expectation")
                .definedBy("sprucelanding.simulation.expectation")
                .layer("experiment")
                .definedBy("sprucelanding.simulation.experiment")
                .layer("distribution")
                .definedBy("sprucelanding.control.distribution")
                .layer("settings")
                .definedBy("sprucelanding.control.settings")
                .layer("operators' protocols")
                .definedBy("sprucelanding.simulation.simulator", "sprucelanding.runtime.server")
                .layer("soak")
                .definedBy("sprucelanding.simulation.soak")
                .layer("cli")
                .definedBy(CLI)
                .whereLayer("cli")
                .mayNotBeAccessedByAnyLayer()
                .whereLayer("operators' protocols")
                .mayOnlyBeAccessedByLayers("cli")
                .whereLayer("soak")
                .mayOnlyBeAccessedByLayers("cli")
                .whereLayer("distribution")
                .mayOnlyBeAccessedByLayers("operators' protocols")
                .whereLayer("settings")
                .mayOnlyBeAccessedByLayers("operators' protocols")
                .whereLayer("expectation")
                .mayOnlyBeAccessedByLayers("cli")
                .whereLayer("scenario")
                .mayOnlyBeAccessedByLayers("expectation", "emulator", "experiment", "cli")
                .whereLayer("emulator")
                .mayOnlyBeAccessedByLayers("experiment", "cli")
                .whereLayer("experiment")
                .mayOnlyBeAccessedByLayers("cli")
                .whereLayer("loopback")
                .mayOnlyBeAccessedByLayers("scenario")
                .whereLayer("rules")
                .mayOnlyBeAccessedByLayers("loopback", "scenario", "emulator", "experiment")
                .whereLayer("fronts")
                .mayOnlyBeAccessedByLayers("cli", "scenario")
                .whereLayer("governor")
                .mayOnlyBeAccessedByLayers("fronts", "cli", "scenario")
                .whereLayer("delivery")
                .mayOnlyBeAccessedByLayers(
                        "edits",
                        "core",
                        "replay",
                        "governor configuration",
                        "governor",
                        "fronts",
                        "cli",
                        "loopback",
                        "scenario",
                        "emulator",
                        "expectation")
                .whereLayer("core")
                .mayOnlyBeAccessedByLayers(
                        "replay",
                        "governor configuration",
                        "governor",
                        "emulator",
                        "expectation",
                        "cli")
                .whereLayer("governor configuration")
                .mayOnlyBeAccessedByLayers("emulator", "expectation", "cli")
                .whereLayer("model")
                .mayOnlyBeAccessedByLayers("loopback", "scenario", "emulator", "experiment")
                .whereLayer("replay")
                .mayOnlyBeAccessedByLayers("scenario", "emulator", "cli")
                .whereLayer("membership")
                .mayOnlyBeAccessedByLayers(
                        "core", "governor", "governor configuration", "emulator", "cli")
                .whereLayer("edits")
                .mayOnlyBeAccessedByLayers("fronts")
                .whereLayer("xml")
                .mayOnlyBeAccessedByLayers("fronts", "loopback")
                .whereLayer("decision")
                .mayOnlyBeAccessedByLayers(
                        "core",
                        "replay",
                        "governor configuration",
                        "governor",
                        "fronts",
                        "emulator",
                        "expectation",
                        "cli",
                        "distribution",
                        "settings",
                        "operators' protocols")
                .check(all);
    }

    /** Hosts call the controller; of its modules, only start times are for them as well. */
    @Test
    void hostsCallTheControllerAndNotItsTrackers() {
        ArchRuleDefinition.noClasses()
                .that()
                .resideOutsideOfPackages(
                        "sprucelanding.control.decision",
                        "sprucelanding.runtime.server",
                        "sprucelanding.simulation.simulator")
                .should()
                .dependOnClassesThat()
                .belongToAnyOf(BootClock.class)
                .orShould()
                .dependOnClassesThat(
                        JavaClass.Predicates.simpleName("DrainTracker")
                                .or(JavaClass.Predicates.simpleName("BindBudget")))
                .check(all);
    }

    @Test
    void whatDecidesDoesNoInputOrOutputAndHasNoClock() {
        ArchRuleDefinition.noClasses()
                .that()
                .resideInAnyPackage(
                        "sprucelanding.control.decision",
                        "sprucelanding.control.delivery",
                        "sprucelanding.control.loadreport",
                        "sprucelanding.control.discovery",
                        "sprucelanding.control.edits",
                        "sprucelanding.control.core",
                        "sprucelanding.simulation.model",
                        "sprucelanding.replay.estimate",
                        "sprucelanding.control.membership",
                        "sprucelanding.config.configstream",
                        "sprucelanding.control.distribution",
                        "sprucelanding.control.settings")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage(
                        "java.net..",
                        "java.nio.channels..",
                        "java.nio.file..",
                        "java.util.concurrent..",
                        "io.grpc..",
                        "org.slf4j..")
                .orShould()
                .callMethod(System.class, "nanoTime")
                .orShould()
                .callMethod(System.class, "currentTimeMillis")
                .check(all);
    }

    @Test
    void whatStartsStraightFromMainUsesNoLibraryButJson() {
        ArchRuleDefinition.noClasses()
                .that()
                .resideInAnyPackage(
                        "sprucelanding.control.decision",
                        "sprucelanding.simulation.simulator",
                        "sprucelanding.control.distribution",
                        "sprucelanding.control.settings",
                        "sprucelanding.runtime.server")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage("io..", "picocli..", "org..", "ch..", "com.fasterxml..")
                .check(all);
    }
}
