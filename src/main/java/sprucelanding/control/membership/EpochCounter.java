package sprucelanding.control.membership;

/**
 * Chooses the epochs of new claims: above every epoch of the proxy and every generation of a
 * governor that was heard of, so that they grow even if all governors restart.
 */
final class EpochCounter {
    /** The latest generation heard of. */
    private long floor;

    private long highest;

    EpochCounter(long generation) {
        this.floor = generation;
        this.highest = generation;
    }

    void onGeneration(long generation) {
        floor = Math.max(floor, generation);
        highest = Math.max(highest, floor);
    }

    void onEpoch(long epoch) {
        highest = Math.max(highest, epoch);
    }

    /** An epoch for a claim of a proxy, of which the highest known epoch is given. */
    long next(long knownEpoch) {
        long epoch = Math.max(floor, knownEpoch) + 1;
        onEpoch(epoch);
        return epoch;
    }

    /** The highest epoch or generation heard of. */
    long highest() {
        return highest;
    }
}
