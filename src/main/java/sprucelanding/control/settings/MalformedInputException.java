package sprucelanding.control.settings;

/** Input that does not follow its format. */
public final class MalformedInputException extends RuntimeException {
    private static final long serialVersionUID = 1;

    public MalformedInputException(String message) {
        super(message);
    }
}
