package sprucelanding.simulation.experiment;

import java.util.List;
import org.apache.commons.math3.distribution.TDistribution;
import org.apache.commons.math3.stat.correlation.SpearmansCorrelation;

/**
 * Differences of pairs: their mean, and the half width of its 95% interval by Student's t; infinite
 * for fewer than two.
 */
public record PairedDifference(int pairs, double mean, double confidenceHalfWidth) {
    public static PairedDifference of(List<Double> differences) {
        int count = differences.size();
        double mean =
                differences.stream().mapToDouble(difference -> difference).average().orElse(0);
        if (count < 2) {
            return new PairedDifference(count, mean, Double.POSITIVE_INFINITY);
        }
        double variance =
                differences.stream()
                                .mapToDouble(
                                        difference -> (difference - mean) * (difference - mean))
                                .sum()
                        / (count - 1);
        return new PairedDifference(
                count,
                mean,
                new TDistribution(count - 1).inverseCumulativeProbability(0.975)
                        * Math.sqrt(variance / count));
    }

    /** Whether it is more than chance may have made it. */
    public boolean isSignificant() {
        return Math.abs(mean) > confidenceHalfWidth;
    }

    /** Spearman's rank correlation of two lists of the same length, three at least. */
    public static double rankCorrelation(double[] first, double[] second) {
        return new SpearmansCorrelation().correlation(first, second);
    }
}
