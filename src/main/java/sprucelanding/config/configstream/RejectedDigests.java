package sprucelanding.config.configstream;

import java.util.LinkedHashSet;

/**
 * Digests of content that was rejected or rolled back and is not tried again. The oldest digest is
 * removed if there are too many.
 */
final class RejectedDigests {
    private static final int MAX_DIGESTS = 1000;

    private final LinkedHashSet<String> digests = new LinkedHashSet<>();

    boolean contains(String digest) {
        return digests.contains(digest);
    }

    /** Adds content that the checks rejected. */
    void addRejected(String digest) {
        digests.add(digest);
        if (digests.size() > MAX_DIGESTS) {
            digests.remove(digests.iterator().next());
        }
    }

    /** Adds content that was rolled back. Removes no digest, even above the limit. */
    void addRolledBack(String digest) {
        digests.add(digest);
    }
}
