package sprucelanding.simulation.experiment;

import java.util.List;
import org.apache.commons.math3.distribution.TDistribution;
import org.apache.commons.math3.stat.correlation.SpearmansCorrelation;

/**
 * Statistics of paired differences.
 *
 * @param pairs number of pairs
 * @param mean mean difference
 * @param confidenceHalfWidth half width of the 95% confidence interval of the mean by Student's t
 *     distribution; infinite for fewer than two pairs
 */
public record PairedDifference(int pairs, double mean, double confidenceHalfWidth) {
    private static final double UPPER_QUANTILE = 0.975;

    /** Returns the mean of differences and its confidence interval. */
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
                new TDistribution(count - 1).inverseCumulativeProbability(UPPER_QUANTILE)
                        * Math.sqrt(variance / count));
    }

    /** Returns whether the confidence interval excludes 0. */
    public boolean isSignificant() {
        return Math.abs(mean) > confidenceHalfWidth;
    }

    /** Returns Spearman's rank correlation of two arrays of equal length with at least 3 values. */
    public static double rankCorrelation(double[] first, double[] second) {
        return new SpearmansCorrelation().correlation(first, second);
    }
}
