package sprucelanding.control.settings;

/**
 * Thrown for input that violates its format. The message names the field, if any, and the error.
 */
public final class MalformedInputException extends RuntimeException {
    private static final long serialVersionUID = 1;

    /** Creates an exception for an error that the caller found. */
    public MalformedInputException(String message) {
        super(message);
    }

    /** Creates an exception for an error that a parser reported. */
    public MalformedInputException(String message, Throwable cause) {
        super(message, cause);
    }
}
