package sprucelanding.wire;

/** Input that does not follow the wire's format. */
final class Malformed extends RuntimeException {
    private static final long serialVersionUID = 1;

    Malformed(String what) {
        super(what);
    }
}
