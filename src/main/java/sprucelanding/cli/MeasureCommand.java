package sprucelanding.cli;

import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import sprucelanding.simulation.scenario.GovernorBenchmark;

/** Measures how fast a governor updates a fleet of a given size. */
@Command(
        name = "measure",
        mixinStandardHelpOptions = true,
        description = "Measures the time from decision to write and acknowledgement.")
final class MeasureCommand implements Callable<Integer> {
    @Option(names = "--proxies", defaultValue = "209")
    private int proxies;

    @Option(names = "--replicas", defaultValue = "97")
    private int replicas;

    @Option(names = "--seconds", defaultValue = "20")
    private double seconds;

    @Option(
            names = "--devices",
            description = "share of the proxies that take NETCONF edits",
            defaultValue = "0")
    private double devices;

    @Option(
            names = "--slow",
            description = "number of proxies that read nothing",
            defaultValue = "0")
    private int slow;

    @Override
    public Integer call() throws Exception {
        System.out.print(
                new GovernorBenchmark(proxies, replicas, seconds * 1000, slow, devices).run());
        return ExitCode.OK;
    }
}
