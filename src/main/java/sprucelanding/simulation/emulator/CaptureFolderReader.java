package sprucelanding.simulation.emulator;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import sprucelanding.replay.capture.Capture;
import sprucelanding.replay.capture.CaptureEvent;
import sprucelanding.replay.capture.EventType;
import sprucelanding.replay.estimate.EstimatedFleet;
import sprucelanding.replay.estimate.FleetEstimator;
import sprucelanding.simulation.rules.TraceEvent;
import sprucelanding.simulation.scenario.Scenario;
import sprucelanding.simulation.scenario.ScenarioMetrics;

/**
 * Reader of a folder of captures. The folder has one file for each incarnation of a governor, and
 * optionally the ground truth: what the simulated parties measured themselves.
 */
final class CaptureFolderReader {
    private static final Pattern FILE_NAME = Pattern.compile("governor-(\\d+)\\.cap(?:\\.(\\d+))?");
    private static final String GROUND_TRUTH_FILE = "truth.cap";

    private final Path folder;
    private final Scenario scenario;
    private final FleetEstimator estimator;
    private final Map<Integer, String> configsByGovernor = new TreeMap<>();
    private final List<String> problems = new ArrayList<>();

    /** Earned and requested revenue, by window. */
    private final TreeMap<Integer, double[]> revenueByWindow = new TreeMap<>();

    private ScenarioMetrics originalMetrics;
    private double firstEventAt = Double.NaN;

    /** Capture file. The file name of a governor's latest incarnation has no incarnation number. */
    private record CaptureFile(int governor, int incarnation, Path file) {}

    /**
     * Content of a capture folder.
     *
     * @param fleet fleet estimated from all captures
     * @param governorConfigs configuration texts, by governor
     * @param problems defects of captures that could still be read
     * @param originalMetrics what the simulated parties measured; null if there is no ground truth
     * @param serviceByWindow service measured in each window of 5 s; empty if there is no ground
     *     truth
     */
    record CapturedRun(
            EstimatedFleet fleet,
            List<String> governorConfigs,
            List<String> problems,
            ScenarioMetrics originalMetrics,
            double[] serviceByWindow) {}

    CaptureFolderReader(Path folder, Scenario scenario) {
        this.folder = folder;
        this.scenario = scenario;
        this.estimator =
                new FleetEstimator(
                        scenario.products().stream()
                                .mapToDouble(Scenario.RequestClassSettings::work)
                                .toArray(),
                        scenario.zones().size());
    }

    /**
     * Reads all captures, ordered by governor and then by incarnation.
     *
     * @throws IOException if there is no capture, or a capture cannot be read. The message gives
     *     the offset and the reason.
     */
    CapturedRun read() throws IOException {
        for (CaptureFile file : captureFiles()) {
            readGovernor(file);
        }
        Path groundTruth = folder.resolve(GROUND_TRUTH_FILE);
        if (Files.exists(groundTruth)) {
            readGroundTruth(groundTruth);
        }
        return new CapturedRun(
                estimator.estimate(),
                List.copyOf(configsByGovernor.values()),
                problems,
                originalMetrics,
                revenueByWindow.values().stream()
                        .mapToDouble(window -> window[0] / window[1])
                        .toArray());
    }

    private List<CaptureFile> captureFiles() throws IOException {
        List<CaptureFile> captureFiles = new ArrayList<>();
        try (var files = Files.list(folder)) {
            for (Path file : files.toList()) {
                Matcher fileName = FILE_NAME.matcher(folder.relativize(file).toString());
                if (fileName.matches()) {
                    captureFiles.add(
                            new CaptureFile(
                                    Integer.parseInt(fileName.group(1)),
                                    fileName.group(2) == null
                                            ? Integer.MAX_VALUE
                                            : Integer.parseInt(fileName.group(2)),
                                    file));
                }
            }
        }
        if (captureFiles.isEmpty()) {
            throw new IOException(
                    folder + ": expected capture files such as governor-0.cap, found none");
        }
        captureFiles.sort(
                Comparator.comparingInt(CaptureFile::governor)
                        .thenComparingInt(CaptureFile::incarnation));
        return captureFiles;
    }

    private void readGovernor(CaptureFile captureFile) throws IOException {
        Capture capture = readCapture(captureFile.file);
        estimator.startGeneration(captureFile.governor);
        capture.forEachEvent(event -> estimator.onEvent(captureFile.governor, event));
        capture.gaps()
                .forEach(
                        gap ->
                                problems.add(
                                        captureFile.file.getFileName()
                                                + ": "
                                                + gap.events()
                                                + " events were dropped"));
        configsByGovernor.put(captureFile.governor, capture.configText());
    }

    private Capture readCapture(Path file) throws IOException {
        try {
            Capture capture = Capture.read(file);
            if (capture.truncation() != null) {
                problems.add(
                        file.getFileName() + " can only be read in part: " + capture.truncation());
            }
            return capture;
        } catch (IOException e) {
            throw new IOException(file + ": " + e.getMessage(), e);
        }
    }

    private void readGroundTruth(Path file) throws IOException {
        originalMetrics = new ScenarioMetrics(scenario);
        readCapture(file)
                .forEachEvent(
                        event -> {
                            if (event != null) {
                                firstEventAt =
                                        Double.isNaN(firstEventAt) ? event.at() : firstEventAt;
                                estimator.addGroundTruth(event);
                                recordMetrics(event);
                            }
                        });
    }

    private void recordMetrics(CaptureEvent event) {
        if (event.type() == EventType.ENDED) {
            TraceEvent.RequestEnded ended =
                    new TraceEvent.RequestEnded(
                            event.doubleAt(0),
                            event.intAt(1),
                            event.longAt(2),
                            TraceEvent.RequestOutcome.values()[event.intAt(3)],
                            event.doubleAt(4));
            originalMetrics.record(ended);
            Emulation.addToWindow(revenueByWindow, ended, firstEventAt, scenario);
        } else if (event.type() == EventType.RAN) {
            originalMetrics.record(
                    new TraceEvent.AttemptSent(
                            event.doubleAt(0),
                            event.intAt(3),
                            event.longAt(1),
                            event.intAt(2),
                            0,
                            event.intAt(4),
                            0));
        }
    }
}
