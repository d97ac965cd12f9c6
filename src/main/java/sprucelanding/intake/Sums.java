package sprucelanding.intake;

/** Where the sums of a period go. */
public interface Sums {
    /** Tries at a replica; answer time in ms, load a share of its cores or NaN if none was told. */
    void met(long replica, int tries, int voided, double answerTime, double load);

    /** Txns of a product that came to a proxy within a span of ms. */
    void came(int proxy, int product, int count, double span);

    void note(String text, Object... figures);
}
