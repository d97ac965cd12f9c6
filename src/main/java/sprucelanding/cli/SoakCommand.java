package sprucelanding.cli;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import sprucelanding.simulation.soak.SoakPlan;
import sprucelanding.simulation.soak.SoakRunner;

/** Injects random, overlapping faults into governor processes on loopback and checks the rules. */
@Command(
        name = "soak",
        mixinStandardHelpOptions = true,
        description = "Injects random faults into governor processes and checks the rules.")
final class SoakCommand implements Callable<Integer> {
    @Option(
            names = "--seed",
            description = "seed of the first run (default: ${DEFAULT-VALUE})",
            defaultValue = "1")
    private long seed;

    @Option(
            names = "--runs",
            description = "number of runs, each with the next seed (default: ${DEFAULT-VALUE})",
            defaultValue = "1")
    private int runs;

    @Option(
            names = "--seconds",
            description = "seconds of each run (default: ${DEFAULT-VALUE})",
            defaultValue = "30")
    private double seconds;

    @Option(
            names = "--governors",
            description = "governor processes (default: ${DEFAULT-VALUE})",
            defaultValue = "5")
    private int governors;

    @Option(
            names = "--proxies",
            description = "proxies shared by all governors (default: ${DEFAULT-VALUE})",
            defaultValue = "400")
    private int proxies;

    @Option(
            names = "--interval",
            description = "mean ms between faults (default: ${DEFAULT-VALUE})",
            defaultValue = "500")
    private double interval;

    @Option(names = "--failover", description = "run the failover of incident 1, not random faults")
    private boolean failover;

    @Option(
            names = "--zones",
            description = "lose, drain and cut off zones during restarts, not random faults")
    private boolean zones;

    @Option(names = "--logs", description = "keep configurations and logs in this folder")
    private Path logs;

    @Override
    public Integer call() throws Exception {
        requirePositiveOptions();
        boolean allRulesKept = true;
        for (long runSeed = seed; runSeed < seed + runs; runSeed++) {
            SoakRunner.Report report = SoakRunner.run(plan(runSeed), folder(runSeed));
            System.out.println(report);
            allRulesKept &= report.kept();
        }
        return ExitCode.of(allRulesKept);
    }

    private void requirePositiveOptions() {
        if (runs < 1 || !(seconds > 0) || governors < 1 || proxies < 1 || !(interval > 0)) {
            throw new IllegalArgumentException(
                    "soak: runs, seconds, governors, proxies and interval must be above 0");
        }
    }

    private SoakPlan plan(long runSeed) {
        if (zones) {
            return SoakPlan.zoneFaults(runSeed, seconds * 1000, governors, proxies);
        }
        return failover
                ? SoakPlan.failover(runSeed, governors, proxies)
                : SoakPlan.random(runSeed, seconds * 1000, governors, proxies, interval);
    }

    private Path folder(long runSeed) throws IOException {
        return logs == null ? Files.createTempDirectory("soak") : logs.resolve("seed-" + runSeed);
    }
}
