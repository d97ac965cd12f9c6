package sprucelanding.control.membership;

import java.util.Optional;

/**
 * Whether a governor takes a proxy that connects to it.
 *
 * @param rejectionReason why it does not; empty if it does
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
