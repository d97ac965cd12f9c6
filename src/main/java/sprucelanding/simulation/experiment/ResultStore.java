package sprucelanding.simulation.experiment;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.h2.mvstore.MVMap;
import org.h2.mvstore.MVStore;
import org.h2.mvstore.MVStoreException;

/**
 * A store of trial results by the key of the trial, in a file of H2's MVStore. A result is durable
 * on disk once {@link #put} returns. The store is thread-safe.
 */
public final class ResultStore implements AutoCloseable {
    private static final String MAP_NAME = "trials";

    private final ObjectMapper json = new ObjectMapper();
    private final MVStore store;
    private final MVMap<String, String> resultsByKey;

    /**
     * Opens a store, or creates the file if it does not exist.
     *
     * @throws IOException if the file cannot be opened or is in use
     */
    public ResultStore(Path file) throws IOException {
        try {
            store =
                    new MVStore.Builder()
                            .fileName(file.toString())
                            .autoCommitDisabled()
                            .compress()
                            .open();
        } catch (MVStoreException e) {
            throw new IOException(file + ": " + e.getMessage(), e);
        }
        resultsByKey = store.openMap(MAP_NAME);
    }

    boolean has(String key) {
        return resultsByKey.containsKey(key);
    }

    /** Stores a result and writes the result to disk. */
    synchronized void put(String key, ObjectNode result) {
        resultsByKey.put(key, result.toString());
        store.commit();
        store.sync();
    }

    /** Returns the result of a trial that has a result. */
    JsonNode get(String key) throws IOException {
        try {
            return json.readTree(resultsByKey.get(key));
        } catch (JsonProcessingException e) {
            throw new IOException(
                    "result " + key + " cannot be read: " + e.getOriginalMessage(), e);
        }
    }

    /** Returns all results in the order of their keys. */
    public List<JsonNode> allResults() throws IOException {
        List<JsonNode> collected = new ArrayList<>();
        for (String key : resultsByKey.keySet()) {
            collected.add(get(key));
        }
        return collected;
    }

    @Override
    public void close() {
        store.close();
    }
}
