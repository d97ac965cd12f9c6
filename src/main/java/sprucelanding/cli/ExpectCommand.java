package sprucelanding.cli;

import java.nio.file.Path;
import java.util.Locale;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Parameters;
import sprucelanding.config.governor.GovernorConfig;
import sprucelanding.config.records.Records;
import sprucelanding.simulation.emulator.Emulation;
import sprucelanding.simulation.expectation.ExpectationChecker;
import sprucelanding.simulation.expectation.Expectations;
import sprucelanding.simulation.scenario.Scenario;

/** Checks expectations of the routing against the decisions of a governor, without traffic. */
@Command(
        name = "expect",
        mixinStandardHelpOptions = true,
        description = "Checks routing expectations without traffic; exits 1 if one fails.")
final class ExpectCommand implements Callable<Integer> {
    private static final double NANOS_PER_SECOND = 1e9;

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
        GovernorConfig config =
                Emulation.governorConfigs(scenario, overlay.name(), overlay.text()).get(0);
        ExpectationChecker.CheckReport report =
                new ExpectationChecker(scenario, config).check(expectations);
        double elapsedSeconds = (System.nanoTime() - startNanos) / NANOS_PER_SECOND;
        expectations.expectations().forEach(expectation -> print(expectation.name(), report));
        report.contradictions()
                .forEach(contradiction -> System.out.println("CONTRADICT " + contradiction));
        System.out.printf(
                Locale.ROOT,
                "%d stories of %d replicas in %.1f s, %.0f a second; %d bugs (no traffic; decisions in virtual time)%n",
                report.sequences(),
                scenario.replicas().count(),
                elapsedSeconds,
                report.sequences() / elapsedSeconds,
                report.internalErrors());
        return ExitCode.of(report.passed());
    }

    private static void print(String expectation, ExpectationChecker.CheckReport report) {
        String failure = report.failed().get(expectation);
        if (failure != null) {
            printLine("FAILED", expectation + ": " + failure);
        } else if (report.neverApplied().contains(expectation)) {
            printLine("NEVER", expectation + ": it never applied");
        } else {
            printLine("holds", expectation);
        }
    }

    private static void printLine(String result, String text) {
        System.out.printf("%-7s %s%n", result, text);
    }
}
