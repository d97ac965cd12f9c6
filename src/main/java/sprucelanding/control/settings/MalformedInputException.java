package sprucelanding.control.settings;

/**
 * Input does not follow its format. The message names the field, if there is one, and the fault.
 */
public final class MalformedInputException extends RuntimeException {
    private static final long serialVersionUID = 1;

    /** Creates it for a fault that was found here. */
    public MalformedInputException(String message) {
        super(message);
    }

    /** Creates it for a fault that a parser found. */
    public MalformedInputException(String message, Throwable cause) {
        super(message, cause);
    }
}
