package sprucelanding.control.membership;

import java.util.Optional;

/**
 * The decision whether a governor accepts a proxy that connects to it.
 *
 * @param rejectionReason why the governor rejects the proxy; empty if it accepts the proxy
 */
public record AdmissionDecision(Optional<String> rejectionReason) {
    private static final AdmissionDecision ACCEPTED = new AdmissionDecision(Optional.empty());

    static AdmissionDecision accepted() {
        return ACCEPTED;
    }

    static AdmissionDecision rejected(String reason) {
        return new AdmissionDecision(Optional.of(reason));
    }
}
