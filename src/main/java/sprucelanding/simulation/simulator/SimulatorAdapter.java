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
import sprucelanding.control.settings.MalformedInputException;
import sprucelanding.control.settings.SettingsReader;

/**
 * An adapter that hosts controllers for a simulator. The adapter reads batches of events and writes
 * one reply to each batch.
 */
public final class SimulatorAdapter {
    private static final int EXIT_OK = 0;
    private static final int EXIT_FAILED = 1;
    private static final int BUFFER_CHARS = 1 << 16;
    private static final double MICROS_PER_MILLI = 1000.0;
    private static final int ITEM_FIELDS = 7;

    private final BufferedReader input;
    private final OutputStream output;
    private final PrintStream errorOutput;
    private final StringBuilder reply = new StringBuilder(BUFFER_CHARS);
    private final Map<Integer, ControllerInstance> instances = new HashMap<>();
    private final Map<Integer, SimulatorMessage[]> endpointLists = new HashMap<>();

    /** Instances with an event in the current batch, in the order of their first event. */
    private final Map<Integer, ControllerInstance> instancesWithEvents = new LinkedHashMap<>();

    /** The number of the line that was read last. The first line has the number 1. */
    private long lineNumber;

    /** The time of the current batch, in milliseconds. */
    private double batchMillis;

    /**
     * Creates an adapter without instances.
     *
     * @param input stream of the batches of the simulator
     * @param output stream that receives the replies and is flushed after each reply
     * @param errorOutput stream that receives a line with the error that ends the run
     */
    public SimulatorAdapter(InputStream input, OutputStream output, PrintStream errorOutput) {
        this.input =
                new BufferedReader(
                        new InputStreamReader(input, StandardCharsets.UTF_8), BUFFER_CHARS);
        this.output = output;
        this.errorOutput = errorOutput;
    }

    /**
     * Answers batches until the input ends or an error occurs.
     *
     * @return the program's exit code
     */
    public int run() {
        try {
            while (processBatch()) {
                output.write(reply.toString().getBytes(StandardCharsets.UTF_8));
                output.flush();
            }
            return EXIT_OK;
        } catch (MalformedInputException e) {
            errorOutput.println("sprucelanding: line " + lineNumber + ": " + e.getMessage());
            return EXIT_FAILED;
        } catch (IOException e) {
            errorOutput.println("sprucelanding: input or output failed: " + e.getMessage());
            return EXIT_FAILED;
        }
    }

    /** Reads a batch and creates its reply. Returns false if the input ended before the batch. */
    private boolean processBatch() throws IOException {
        String header = readNonEmptyLine();
        if (header == null) {
            return false;
        }
        startBatch(new SimulatorMessage(header));
        String line = requireLine("batch");
        while (!line.equals(SimulatorProtocol.BATCH_END)) {
            handleMessage(new SimulatorMessage(line));
            line = requireLine("batch");
        }
        instancesWithEvents.values().forEach(ControllerInstance::decide);
        reply.append(SimulatorProtocol.REPLY_END).append('\n');
        return true;
    }

    private void startBatch(SimulatorMessage header) {
        if (!header.name().equals(SimulatorProtocol.BATCH_START)) {
            throw new MalformedInputException(
                    "expected " + SimulatorProtocol.BATCH_START + ", found " + header.name());
        }
        header.requireFields(1);
        batchMillis = header.longValue(1) / MICROS_PER_MILLI;
        reply.setLength(0);
        instancesWithEvents.clear();
    }

    private void handleMessage(SimulatorMessage message) throws IOException {
        if (message.name().equals(SimulatorProtocol.ENDPOINT_LIST)) {
            readEndpointList(message);
        } else {
            handleEvent(message);
        }
    }

    private void readEndpointList(SimulatorMessage header) throws IOException {
        header.requireFields(2);
        int listId = header.intValue(1);
        int size = header.intValue(2);
        if (size < 0) {
            throw new MalformedInputException(header.name() + " of " + size + " entries");
        }
        SimulatorMessage[] items = new SimulatorMessage[size];
        for (int i = 0; i < size; i++) {
            items[i] = new SimulatorMessage(requireLine("list"));
            if (!items[i].name().equals(SimulatorProtocol.ENDPOINT_LIST_ITEM)) {
                throw new MalformedInputException(
                        "expected "
                                + SimulatorProtocol.ENDPOINT_LIST_ITEM
                                + ", found "
                                + items[i].name());
            }
            items[i].requireFields(ITEM_FIELDS);
        }
        endpointLists.put(listId, items);
    }

    private void handleEvent(SimulatorMessage event) {
        event.requireFields(1);
        int instanceId = event.intValue(1);
        if (event.name().equals(SimulatorProtocol.INSTANCE_STARTED)) {
            startInstance(instanceId, event);
            return;
        }
        ControllerInstance instance = instances.get(instanceId);
        if (instance == null) {
            throw new MalformedInputException(
                    event.name() + " for instance " + instanceId + ", which was not born");
        }
        if (event.name().equals(SimulatorProtocol.INSTANCE_CRASHED)) {
            instances.remove(instanceId);
            instancesWithEvents.remove(instanceId);
            return;
        }
        if (instancesWithEvents.put(instanceId, instance) == null) {
            instance.setTime(batchMillis);
        }
        instance.handle(event, endpointLists);
    }

    private void startInstance(int instanceId, SimulatorMessage event) {
        event.requireFields(3);
        SettingsReader settings = new SettingsReader(event.rest(3));
        long seed = event.longValue(2);
        ControllerInstance instance =
                new ControllerInstance(settings, seed, new CommandEncoder(instanceId, reply));
        instance.setTime(batchMillis);
        instances.put(instanceId, instance);
        instancesWithEvents.put(instanceId, instance);
    }

    private String readNonEmptyLine() throws IOException {
        String line = readLine();
        while (line != null && line.isEmpty()) {
            line = readLine();
        }
        return line;
    }

    /**
     * Reads a line inside a part of the input.
     *
     * @throws MalformedInputException if the input ends before the line
     */
    private String requireLine(String part) throws IOException {
        String line = readLine();
        if (line == null) {
            throw new MalformedInputException("the input ends inside a " + part);
        }
        return line;
    }

    private String readLine() throws IOException {
        lineNumber++;
        return input.readLine();
    }
}
