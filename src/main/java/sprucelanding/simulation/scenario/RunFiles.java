package sprucelanding.simulation.scenario;

import java.nio.file.Path;
import java.util.Optional;

/**
 * The paths of the files of one run of a scenario.
 *
 * @param folder folder for configurations, logs, keys and captures
 * @param overlay file with records that replace some of each governor's configuration
 * @param capturing whether governors' inputs and the requests are captured
 */
record RunFiles(Path folder, Optional<Path> overlay, boolean capturing) {
    /** Returns the file in which a governor keeps the endpoint list. */
    Path endpointList(int governor) {
        return folder.resolve("list-" + governor + ".json");
    }

    /** Returns the file in which a governor keeps its epoch. */
    Path epoch(int governor) {
        return folder.resolve("epoch-" + governor);
    }

    /** Returns the file with the key with which governors sign their packets. */
    Path signingKey() {
        return folder.resolve("governors-secret");
    }

    /** Returns the file for the capture of a governor's inputs; empty without capturing. */
    Optional<Path> capture(int governor) {
        return capturing
                ? Optional.of(folder.resolve("governor-" + governor + ".cap"))
                : Optional.empty();
    }

    /** Returns the file for the capture of the requests; empty without capturing. */
    Optional<Path> groundTruth() {
        return capturing ? Optional.of(folder.resolve("truth.cap")) : Optional.empty();
    }
}
