package sprucelanding.simulation.scenario;

/**
 * The fault that was injected into a governor. Each constant has the word that {@link
 * FaultTarget#recordInjectedFault} and reports use.
 */
enum GovernorFault {
    /** The process is killed. */
    KILL("kill"),
    /** The process is paused by a signal. */
    PAUSE("pause"),
    /** The governor is stopped as planned. */
    STOP("stop"),
    /** The governor is cut off from its proxies. */
    CUT("cut"),
    /** The governor is cut off from the other governors. */
    PEERS_CUT("alone");

    private final String word;

    GovernorFault(String word) {
        this.word = word;
    }

    /** Returns the word that events and reports use. */
    String word() {
        return word;
    }
}
