package sprucelanding.control.membership;

/**
 * A generator of epochs for new claims. Each new epoch is above every known epoch of the proxy and
 * above every known generation of a governor, so epochs grow even if all governors restart.
 */
final class EpochCounter {
    /** The latest known generation of any governor, including this one. */
    private long latestGeneration;

    private long highest;

    EpochCounter(long generation) {
        this.latestGeneration = generation;
        this.highest = generation;
    }

    void onGeneration(long generation) {
        latestGeneration = Math.max(latestGeneration, generation);
        highest = Math.max(highest, latestGeneration);
    }

    void onEpoch(long epoch) {
        highest = Math.max(highest, epoch);
    }

    /** Returns an epoch for a claim of a proxy, given the highest known epoch of the proxy. */
    long next(long knownEpoch) {
        long epoch = Math.max(latestGeneration, knownEpoch) + 1;
        onEpoch(epoch);
        return epoch;
    }

    /** Returns the highest epoch or generation that is known. */
    long highest() {
        return highest;
    }
}
