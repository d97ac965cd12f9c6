package sprucelanding.cli;

import java.nio.file.Path;
import java.util.Locale;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Parameters;
import sprucelanding.config.records.Records;
import sprucelanding.simulation.emulator.Emulation;
import sprucelanding.simulation.expectation.ExpectationChecker;
import sprucelanding.simulation.expectation.Expectations;
import sprucelanding.simulation.scenario.Scenario;

/** Routing expectations, checked without traffic. */
@Command(
        name = "expect",
        mixinStandardHelpOptions = true,
        description =
                "Checks what staff expect of the routing against the governor's own decisions, without traffic; exit 1 if one fails.")
final class ExpectCommand implements Callable<Integer> {
    @Parameters(paramLabel = "FILE", description = "expectations, a file or folder of records")
    private Path expectationsFile;

    @Mixin private ConfigOverlay overlay;

    @Override
    public Integer call() throws Exception {
        Expectations expectations =
                Records.read(
                        expectationsFile,
                        Expectations.SCHEMA,
                        Expectations.DEFINITION,
                        Expectations.class);
        Scenario scenario =
                Scenario.read(expectationsFile.toAbsolutePath().resolveSibling(expectations.day()));
        scenario.check();
        long startNanos = System.nanoTime();
        ExpectationChecker.CheckReport outcome =
                new ExpectationChecker(
                                scenario,
                                Emulation.governorConfigs(scenario, overlay.name(), overlay.text())
                                        .get(0))
                        .check(expectations);
        double elapsedSeconds = (System.nanoTime() - startNanos) / 1e9;
        for (Expectations.Expectation expectation : expectations.expectations()) {
            String failure = outcome.failed().get(expectation.name());
            System.out.printf(
                    "%-7s %s%s%n",
                    failure != null
                            ? "FAILED"
                            : outcome.neverApplied().contains(expectation.name())
                                    ? "NEVER"
                                    : "holds",
                    expectation.name(),
                    failure != null
                            ? ": " + failure
                            : outcome.neverApplied().contains(expectation.name())
                                    ? ": it never applied"
                                    : "");
        }
        outcome.contradictions()
                .forEach(contradiction -> System.out.println("CONTRADICT " + contradiction));
        System.out.printf(
                Locale.ROOT,
                "%d stories of %d replicas in %.1f s, %.0f a second; %d bugs (no traffic; decisions in virtual time)%n",
                outcome.stories(),
                scenario.replicas().count(),
                elapsedSeconds,
                outcome.stories() / elapsedSeconds,
                outcome.bugs());
        return outcome.passed() ? 0 : 1;
    }
}
