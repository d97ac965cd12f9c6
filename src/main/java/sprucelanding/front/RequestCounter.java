package sprucelanding.front;

import java.util.ArrayList;
import java.util.List;

/** Adds up the requests of one load report by request class. */
public final class RequestCounter {
    private final List<String> classNames;
    private final long[] counts;

    /**
     * Starts at 0 for each class.
     *
     * @param classNames the request classes in the order of the result
     */
    public RequestCounter(List<String> classNames) {
        this.classNames = classNames;
        this.counts = new long[classNames.size()];
    }

    /** Whether requests of that class are counted. */
    public boolean isKnown(String className) {
        return classNames.contains(className);
    }

    /** Adds requests of a class; those of an unknown class are ignored. */
    public void add(String className, long requests) {
        int index = classNames.indexOf(className);
        if (index >= 0) {
            counts[index] += requests;
        }
    }

    /** The counts in the order of the class names. */
    public List<Long> counts() {
        List<Long> result = new ArrayList<>();
        for (long count : counts) {
            result.add(count);
        }
        return result;
    }
}
