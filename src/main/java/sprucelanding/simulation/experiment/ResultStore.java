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

/** Results in a file, by the key of their trial; each is safe on the disk once put returns. */
public final class ResultStore implements AutoCloseable {
    private final ObjectMapper json = new ObjectMapper();
    private final MVStore store;
    private final MVMap<String, String> resultsByKey;

    /** Throws IOException if the file is not to be had, or in use. */
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
        resultsByKey = store.openMap("trials");
    }

    boolean has(String key) {
        return resultsByKey.containsKey(key);
    }

    synchronized void put(String key, ObjectNode result) {
        resultsByKey.put(key, result.toString());
        store.commit();
        store.sync();
    }

    JsonNode get(String key) throws IOException {
        try {
            return json.readTree(resultsByKey.get(key));
        } catch (JsonProcessingException e) {
            throw new IOException(
                    "result " + key + " cannot be read: " + e.getOriginalMessage(), e);
        }
    }

    /** All that there are. */
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
