package sprucelanding.standin;

import java.net.InetSocketAddress;

/** One line of a proxy's table. */
final class Line {
    final String version;
    final InetSocketAddress at;
    final double weight;
    final boolean healthy;
    /** For picks in turn. */
    double credit;

    Line(String version, InetSocketAddress at, double weight, boolean healthy) {
        this.version = version;
        this.at = at;
        this.weight = weight;
        this.healthy = healthy;
    }
}
