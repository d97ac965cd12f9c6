package sprucelanding.platform;

import java.net.InetSocketAddress;
import sprucelanding.Choice;
import sprucelanding.loop.Get;
import sprucelanding.loop.Http;
import sprucelanding.loop.Loop;

/** Asks replicas how they are, each time on a connection of its own and for a bounded time. */
final class Probes {
    /** Told the answer once; load: NaN if none was told. */
    interface Told {
        void probed(long replica, Choice.Answer answer, double load);
    }

    private static final double ANSWERS = 400; // ms beyond what a connection may take

    private final Loop loop;
    private final String target;
    private final double timeout;
    private final Report report;
    private final Told told;
    private int open;

    /** Connects: ms that a connection may take to come up; loads: whether the deployment has reports. */
    Probes(Loop loop, boolean loads, double connects, Report report, Told told) {
        this.loop = loop;
        this.target = loads ? "/status/load" : "/health";
        this.timeout = connects + ANSWERS;
        this.report = report;
        this.told = told;
    }

    int open() {
        return open;
    }

    void ask(Named replica) {
        open++;
        InetSocketAddress at = replica.at;
        double startedAt = replica.startedAt;
        new Get(loop, replica.at, null, target, timeout, new Get.Told() {
            @Override
            public void answered(Http.Message m) {
                open--;
                boolean same = replica.startedAt == startedAt && replica.at.equals(at); // else another process answered
                told.probed(replica.id, !same ? Choice.Answer.NONE : m.status() == 200 ? Choice.Answer.OK
                        : m.status() == 503 ? Choice.Answer.BUSY : Choice.Answer.ERROR, same ? report.load(m.body()) : Double.NaN);
            }

            @Override
            public void failed(boolean reached, boolean late) {
                open--;
                boolean same = replica.startedAt == startedAt && replica.at.equals(at);
                told.probed(replica.id, !same ? Choice.Answer.NONE
                        : late ? Choice.Answer.SILENT : Choice.Answer.UNREACHABLE, Double.NaN);
            }
        });
    }
}
