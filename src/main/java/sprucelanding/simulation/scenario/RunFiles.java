package sprucelanding.simulation.scenario;

import java.nio.file.Path;
import java.util.Optional;

/**
 * The files of one run of a scenario.
 *
 * @param folder folder for configurations, logs, keys and captures
 * @param overlay records that replace some of each governor's configuration
 * @param capturing whether governors' inputs and the requests are captured
 */
record RunFiles(Path folder, Optional<Path> overlay, boolean capturing) {
    /** Returns where a governor keeps the endpoint list. */
    Path endpointList(int governor) {
        return folder.resolve("list-" + governor + ".json");
    }

    /** Returns where a governor keeps its epoch. */
    Path epoch(int governor) {
        return folder.resolve("epoch-" + governor);
    }

    /** Returns the key that governors sign their packets with. */
    Path governorsSecret() {
        return folder.resolve("governors-secret");
    }

    /** Returns the capture of a governor's inputs, if there is to be one. */
    Optional<Path> capture(int governor) {
        return capturing
                ? Optional.of(folder.resolve("governor-" + governor + ".cap"))
                : Optional.empty();
    }

    /** Returns the capture of the requests, if there is to be one. */
    Optional<Path> groundTruth() {
        return capturing ? Optional.of(folder.resolve("truth.cap")) : Optional.empty();
    }
}
