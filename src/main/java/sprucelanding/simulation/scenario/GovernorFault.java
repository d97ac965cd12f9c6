package sprucelanding.simulation.scenario;

/** What befell a governor, by the words of {@link FaultTarget#faultInjected} and of reports. */
enum GovernorFault {
    KILL("kill"),
    PAUSE("pause"),
    /** A planned stop. */
    STOP("stop"),
    /** Cut off from its proxies. */
    CUT("cut"),
    /** Cut off from the other governors. */
    PEERS_CUT("alone");

    private final String word;

    GovernorFault(String word) {
        this.word = word;
    }

    String word() {
        return word;
    }
}
