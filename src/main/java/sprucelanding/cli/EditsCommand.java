package sprucelanding.cli;

import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import sprucelanding.simulation.scenario.EditRateBenchmark;

/** Measures the rate of NETCONF edits for several numbers of devices. */
@Command(
        name = "edits",
        mixinStandardHelpOptions = true,
        description = "Measures the rate of NETCONF edits by the number of devices.")
final class EditsCommand implements Callable<Integer> {
    @Option(names = "--devices", split = ",", defaultValue = "1,8,32,64")
    private int[] devices;

    @Option(names = "--seconds", defaultValue = "8")
    private double seconds;

    @Override
    public Integer call() throws Exception {
        for (int deviceCount : devices) {
            System.out.print(new EditRateBenchmark(deviceCount, false).run(seconds * 1000));
            System.out.print(new EditRateBenchmark(deviceCount, true).run(seconds * 1000));
        }
        return ExitCode.OK;
    }
}
