package sprucelanding.simulation.simulator;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import sprucelanding.control.decision.EndpointState;
import sprucelanding.control.decision.HealthCheckResult;
import sprucelanding.control.decision.RoutingController;
import sprucelanding.control.settings.MalformedInputException;
import sprucelanding.control.settings.SettingsReader;

/**
 * Hosts instances of the decision module on the simulator's wire: batches in, one reply to each
 * out.
 */
public final class SimulatorAdapter {
    /**
     * One hosted instance: the module, its pen, and where its reports keep the figures it is told.
     */
    private static final class Instance {
        final RoutingController controller;
        final CommandEncoder encoder;
        final int loadColumn;

        Instance(RoutingController controller, CommandEncoder encoder, int loadColumn) {
            this.controller = controller;
            this.encoder = encoder;
            this.loadColumn = loadColumn;
        }
    }

    private final BufferedReader input;
    private final OutputStream output;
    private final PrintStream err;
    private final StringBuilder reply = new StringBuilder(1 << 16);
    private final Map<Integer, Instance> instances = new HashMap<>();
    private final Map<Integer, SimulatorMessage[]> catalogs = new HashMap<>();

    /** Instances with an event in this batch, in the order of their first one. */
    private final Map<Integer, Instance> touchedInstances = new LinkedHashMap<>();

    private long lineNumber;
    private double batchMillis;

    public SimulatorAdapter(InputStream input, OutputStream output, PrintStream err) {
        this.input =
                new BufferedReader(new InputStreamReader(input, StandardCharsets.UTF_8), 1 << 16);
        this.output = output;
        this.err = err;
    }

    /** Runs until the input ends; the exit code. */
    public int run() {
        try {
            while (processBatch()) {
                output.write(reply.toString().getBytes(StandardCharsets.UTF_8));
                output.flush();
            }
            return 0;
        } catch (MalformedInputException e) {
            err.println("sprucelanding: line " + lineNumber + ": " + e.getMessage());
            return 1;
        } catch (IOException e) {
            err.println("sprucelanding: the wire broke: " + e.getMessage());
            return 1;
        }
    }

    private String readLine() throws IOException {
        lineNumber++;
        return input.readLine();
    }

    private boolean processBatch() throws IOException {
        String first = readLine();
        while (first != null && first.isEmpty()) {
            first = readLine();
        }
        if (first == null) {
            return false;
        }
        SimulatorMessage header = new SimulatorMessage(first);
        if (!header.name().equals("BATCH")) {
            throw new MalformedInputException("expected BATCH, found " + header.name());
        }
        batchMillis = header.requireFields(1).longValue(1) / 1000.0;
        reply.setLength(0);
        touchedInstances.clear();
        while (true) {
            String text = readLine();
            if (text == null) {
                throw new MalformedInputException("the input ends inside a batch");
            }
            if (text.equals("END")) {
                break;
            }
            SimulatorMessage message = new SimulatorMessage(text);
            if (message.name().equals("CATALOG")) {
                readCatalog(message);
            } else {
                handleEvent(message);
            }
        }
        for (Instance instance : touchedInstances.values()) {
            try {
                while (instance.controller.decide(instance.encoder)) {
                    continue;
                }
            } catch (RuntimeException e) {
                instance.encoder.reportBug(e);
            }
        }
        reply.append("FINISHED\n");
        return true;
    }

    private void readCatalog(SimulatorMessage message) throws IOException {
        int catalogId = message.requireFields(2).intValue(1);
        int size = message.intValue(2);
        if (size < 0) {
            throw new MalformedInputException("CATALOG of " + size + " entries");
        }
        SimulatorMessage[] items = new SimulatorMessage[size];
        for (int i = 0; i < size; i++) {
            String text = readLine();
            if (text == null) {
                throw new MalformedInputException("the input ends inside a list");
            }
            items[i] = new SimulatorMessage(text);
            if (!items[i].name().equals("ITEM")) {
                throw new MalformedInputException("expected ITEM, found " + items[i].name());
            }
            items[i].requireFields(7);
        }
        catalogs.put(catalogId, items);
    }

    private void handleEvent(SimulatorMessage message) {
        int instanceId = message.requireFields(1).intValue(1);
        if (message.name().equals("BORN")) {
            message.requireFields(3);
            SettingsReader settings = new SettingsReader(message.rest(3));
            Instance created =
                    new Instance(
                            settings.newController(message.longValue(2)),
                            new CommandEncoder(instanceId, reply),
                            settings.loadColumn());
            created.controller.setTime(batchMillis);
            instances.put(instanceId, created);
            touchedInstances.put(instanceId, created);
            return;
        }
        Instance instance = instances.get(instanceId);
        if (instance == null) {
            throw new MalformedInputException(
                    message.name() + " for instance " + instanceId + ", which was not born");
        }
        if (message.name().equals("CRASH_NOW")) {
            instances.remove(instanceId);
            touchedInstances.remove(instanceId);
            return;
        }
        if (touchedInstances.put(instanceId, instance) == null) {
            instance.controller.setTime(batchMillis);
        }
        try {
            dispatch(instance, message);
        } catch (MalformedInputException e) {
            throw e;
        } catch (RuntimeException e) {
            instance.encoder.reportBug(e);
        }
    }

    private void dispatch(Instance instance, SimulatorMessage message) {
        RoutingController controller = instance.controller;
        switch (message.name()) {
            case "BELL" -> controller.timerFired(message.requireFields(2).intValue(2));
            case "TOPOLOGY" -> applyTopology(controller, message.requireFields(4));
            case "CHECK_RESULT" ->
                    controller.healthCheckCompleted(
                            message.requireFields(5).longValue(2),
                            healthCheckResult(message.intValue(3)),
                            message.rowValue(5, instance.loadColumn));
            case "DIGEST" ->
                    controller.endpointStatsReported(
                            message.requireFields(8).longValue(3),
                            message.intValue(6),
                            message.intValue(4),
                            message.millis(5),
                            message.rowValue(8, instance.loadColumn));
            case "PROXY_STATS" ->
                    controller.demandReported(
                            message.requireFields(6).intValue(5),
                            message.intValue(2),
                            message.intValue(4),
                            message.millis(3));
            case "CHECKED_IN" ->
                    controller.proxyJoined(
                            message.requireFields(5).intValue(3),
                            message.intValue(4),
                            message.doubleValue(2, 0),
                            message.booleanValue(5));
            case "STREAM_DOWN" -> controller.proxyLeft(message.requireFields(2).intValue(2));
            case "IN_FORCE" -> controller.acknowledged(message.requireFields(4).intValue(3));
            case "HEARD", "WEIGHT_SEEN", "CHARGE", "RECORDED" -> {
                // peers' notes, which nothing asks for, and the slices of other sites
            }
            default -> throw new MalformedInputException("unknown event " + message.name());
        }
    }

    private void applyTopology(RoutingController controller, SimulatorMessage message) {
        String form = message.text(2);
        if (form.equals("failed")) {
            controller.endpointListFailed();
            return;
        }
        if (!form.equals("delta") && !form.equals("full") && !form.equals("cached")) {
            throw new MalformedInputException("TOPOLOGY of unknown form " + form);
        }
        SimulatorMessage[] items = catalogs.get(message.intValue(4));
        if (items == null) {
            throw new MalformedInputException(
                    "TOPOLOGY names list " + message.text(4) + ", which was not sent");
        }
        controller.endpointListStarted(!form.equals("delta"), form.equals("cached"));
        for (SimulatorMessage item : items) {
            EndpointState state =
                    switch (item.text(6)) {
                        case "U" -> EndpointState.AVAILABLE;
                        case "L" -> EndpointState.DRAINING;
                        case "D" -> EndpointState.GONE;
                        default ->
                                throw new MalformedInputException(
                                        "ITEM of unknown state " + item.text(6));
                    };
            controller.endpointListed(
                    item.longValue(3),
                    item.isAbsent(7) ? 0 : item.intValue(7),
                    item.isAbsent(2) ? 0 : item.intValue(2),
                    item.doubleValue(1, 1),
                    item.millis(4),
                    state);
        }
        controller.endpointListCompleted();
    }

    private static HealthCheckResult healthCheckResult(int statusCode) {
        return switch (statusCode) {
            case 200 -> HealthCheckResult.OK;
            case 429 -> HealthCheckResult.BUSY;
            case 502 -> HealthCheckResult.ERROR;
            case 408 -> HealthCheckResult.TIMED_OUT;
            case 521, 520 -> HealthCheckResult.UNREACHABLE;
            default -> HealthCheckResult.NOT_PERFORMED;
        };
    }
}
