package sprucelanding.opening;

/** Input that does not follow its format. */
public final class Malformed extends RuntimeException {
    private static final long serialVersionUID = 1;

    public Malformed(String what) {
        super(what);
    }
}
