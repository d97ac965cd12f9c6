package sprucelanding.governor;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import sprucelanding.Choice;
import sprucelanding.loop.Conn;
import sprucelanding.loop.Http;
import sprucelanding.loop.Loop;

/** One probe: a GET of /probe at a replica, one answer, on a connection of its own. */
final class Probe implements Conn.Listener {
    /** Told the answer once; the load is a share of its cores, NaN if it told none. */
    interface Told {
        void probed(long replica, Choice.Answer answer, double load);
    }

    private static final int UNREAD = 4096;
    private final long replica;
    private final Told told;
    private final Http http = new Http(this::answer);
    private final Conn conn;
    private final Loop.Timer end;
    private boolean done;
    private boolean connected;

    Probe(Loop loop, long replica, InetSocketAddress at, InetSocketAddress from, double timeout, Told told) {
        this.replica = replica;
        this.told = told;
        end = loop.in(timeout, () -> done(Choice.Answer.SILENT, Double.NaN));
        conn = loop.dial(at, from, UNREAD, this);
    }

    @Override
    public void connected(Conn c) {
        connected = true;
        c.write(Http.request("GET", "/probe"));
    }

    @Override
    public void received(Conn c, ByteBuffer in) throws IOException {
        http.received(in);
    }

    private void answer(Http.Message m) {
        Choice.Answer answer = m.status() == 200 ? Choice.Answer.OK
                : m.status() == 429 || m.status() == 503 ? Choice.Answer.BUSY : Choice.Answer.ERROR;
        done(answer, util(m.header("endpoint-load-metrics")));
    }

    /** The share of busy cores in the text form of an ORCA load report; NaN if it tells none. */
    static double util(String report) {
        String body = report.startsWith("TEXT ") ? report.substring(5) : "";
        for (String each : body.split(",")) {
            String[] pair = each.trim().split("=", 2);
            if (pair.length == 2 && pair[0].equals("cpu_utilization")) {
                try {
                    double util = Double.parseDouble(pair[1]);
                    return util >= 0 && util <= 1 ? util : Double.NaN;
                } catch (NumberFormatException e) {
                    return Double.NaN;
                }
            }
        }
        return Double.NaN;
    }

    @Override
    public void closed(Conn c, String why) {
        done(connected ? Choice.Answer.ERROR : Choice.Answer.UNREACHABLE, Double.NaN);
    }

    private void done(Choice.Answer answer, double load) {
        if (!done) {
            done = true;
            end.cancel();
            if (conn != null) {
                conn.close();
            }
            told.probed(replica, answer, load);
        }
    }
}
