package sprucelanding.simulation.rules;

/**
 * One rule's verdict: how often it was broken, and the first case, or what came nearest to a break.
 */
public record Verdict(String rule, int broken, String evidence) {
    public boolean kept() {
        return broken == 0;
    }
}
