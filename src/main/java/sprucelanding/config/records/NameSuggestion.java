package sprucelanding.config.records;

import java.util.Collection;
import java.util.Comparator;
import java.util.Optional;

/** Spelling suggestions for unknown names. */
final class NameSuggestion {
    private NameSuggestion() {}

    /**
     * Returns the known name with the smallest edit distance to an unknown name. Returns empty if
     * the two differ in more than about a third of the letters.
     */
    static Optional<String> nearest(String unknown, Collection<String> known) {
        return known.stream()
                .min(Comparator.comparingInt(name -> editDistance(name, unknown)))
                .filter(name -> !name.isEmpty())
                .filter(name -> editDistance(name, unknown) <= 1 + unknown.length() / 3);
    }

    /**
     * Returns the Levenshtein distance, the number of insertions, deletions and replacements of one
     * letter.
     */
    private static int editDistance(String left, String right) {
        int[] row = new int[right.length() + 1];
        for (int j = 0; j <= right.length(); j++) {
            row[j] = j;
        }
        for (int i = 1; i <= left.length(); i++) {
            int diagonal = row[0];
            row[0] = i;
            for (int j = 1; j <= right.length(); j++) {
                int replacement = left.charAt(i - 1) == right.charAt(j - 1) ? 0 : 1;
                int insertOrDelete = Math.min(row[j], row[j - 1]) + 1;
                int next = Math.min(insertOrDelete, diagonal + replacement);
                diagonal = row[j];
                row[j] = next;
            }
        }
        return row[right.length()];
    }
}
