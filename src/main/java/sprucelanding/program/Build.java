package sprucelanding.program;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.BitSet;
import java.util.List;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import sprucelanding.Choice;
import sprucelanding.Product;
import sprucelanding.capture.Log;
import sprucelanding.capture.Overheard;
import sprucelanding.core.Ear;
import sprucelanding.core.Round;
import sprucelanding.core.Straight;
import sprucelanding.delivery.Admission;
import sprucelanding.delivery.Delivery;
import sprucelanding.governor.Governor;
import sprucelanding.intake.Intake;
import sprucelanding.netconf.Keys;
import sprucelanding.netconf.NetconfFront;
import sprucelanding.xds.XdsFront;

/** Puts a governor together from what it is told. */
public final class Build {
    /** A governor and its fronts, not started; netconf is null where there is none. */
    public record Built(Governor governor, XdsFront xds, NetconfFront netconf, Log capture) {
        public void start(double every) throws IOException {
            governor.start(every);
            xds.start();
            if (netconf != null) {
                netconf.start();
            }
        }

        public void close() {
            governor.close();
            if (capture != null) {
                capture.close();
            }
        }
    }

    private static final Logger LOG = LoggerFactory.getLogger(Build.class);

    private Build() {
    }

    /**
     * Throws IllegalArgumentException, which names the field, for what the records' types cannot say.
     *
     * @param text the station as it was written, for a capture
     */
    public static Built build(Station s, String text) throws IOException {
        Choice choice = module(s);
        Station.Channel c = s.channel();
        Log log = captures(s, text);
        Overheard overheard = log == null ? null : new Overheard(new Straight(choice), log::put);
        Governor governor = new Governor(choice, log == null ? new Straight(choice) : overheard,
                log == null ? Ear.NONE : overheard,
                new Governor.Names(s.products().stream().map(Station.Ware::name).toList(), s.zones(), s.kinds()),
                new Governor.Listing(address(s.roster().at(), "roster.at"),
                        s.roster().from() == null ? null : new InetSocketAddress(s.roster().from(), 0),
                        s.roster().pushed(), s.roster().keep() == null ? null : Path.of(s.roster().keep())),
                new Governor.Probing(s.probes().allowed(), s.probes().timeout()), s.admits().equals("rate"),
                new Delivery(c.messages(), c.span(), c.leftBehind(), c.patience(), c.grace()),
                new Admission(s.streams().atOnce(), s.streams().most(), s.streams().turn()),
                new Intake(s.products().size(), s.reports().every(), s.reports().lines()));
        if (s.peers().at() != null) {
            governor.peers(address(s.peers().at(), "peers.at"),
                    s.peers().others().stream().map(p -> address(p, "peers.others")).toList());
        }
        XdsFront xds = new XdsFront(governor, governor, s.name(), address(s.xds().at(), "xds.at"), s.xds().largest(),
                s.reports().every());
        governor.front(xds);
        Station.Calls n = s.netconf();
        NetconfFront netconf = n == null ? null : new NetconfFront(governor, governor, s.name(),
                address(n.at(), "netconf.at"), new Keys(Path.of(n.key()), Path.of(n.devices())), n.user(), n.largest(),
                new NetconfFront.Patience(n.answers(), n.confirms(), n.locks(), n.atOnce()));
        if (netconf != null) {
            governor.front(netconf);
        }
        return new Built(governor, xds, netconf, log);
    }

    /** The module as a station sets it up. */
    public static Choice module(Station s) {
        Product[] products = new Product[s.products().size()];
        for (int k = 0; k < products.length; k++) {
            Station.Ware w = s.products().get(k);
            products[k] = new Product(k, w.retry().equals("safe"), w.revenue(), w.sla(),
                    positions(w.kinds(), s.kinds(), "products[" + k + "].kinds"),
                    positions(w.zones(), s.zones(), "products[" + k + "].zones"), w.homeOnly());
        }
        Choice choice = Round.choice(s.seed(), products, s.zones().size(),
                s.admits().equals("rate") ? Choice.Admission.RATE : Choice.Admission.SHARE);
        Station.Channel c = s.channel();
        choice.roll(s.roster().pushed(), s.roster().softRemoval(), s.roster().coldFrom(), s.roster().warmAfter());
        choice.channel(c.lines() / 1000, c.head(), c.most(), c.messages() == 0 ? 0 : Math.max(1, c.messages() / WIRE_MESSAGES),
                c.span());
        choice.reports(s.probes().allowed(), s.reports().every());
        return choice;
    }

    private static Log captures(Station s, String text) throws IOException {
        Station.Captured c = s.capture();
        return c == null ? null : new Log(Path.of(c.file()), text, c.waits(), (long) c.most() << 20,
                why -> LOG.atWarn().setMessage(why).addKeyValue("file", c.file()).log());
    }

    /** A moment's orders become two responses at most on an ordinary path: lines, and the route. */
    private static final int WIRE_MESSAGES = 2;

    /** All of a station but its sockets; throws IllegalArgumentException with the field. */
    static void check(Station s) {
        for (int k = 0; k < s.products().size(); k++) {
            positions(s.products().get(k).kinds(), s.kinds(), "products[" + k + "].kinds");
            positions(s.products().get(k).zones(), s.zones(), "products[" + k + "].zones");
        }
        address(s.xds().at(), "xds.at");
        address(s.roster().at(), "roster.at");
    }

    private static BitSet positions(List<String> names, List<String> known, String field) {
        BitSet set = new BitSet();
        for (String name : names) {
            if (!known.contains(name)) {
                throw new IllegalArgumentException(field + ": \"" + name + "\" is none of " + known);
            }
            set.set(known.indexOf(name));
        }
        return set;
    }

    /** host:port; throws IllegalArgumentException with the field's name. */
    static InetSocketAddress address(String text, String field) {
        int colon = text.lastIndexOf(':');
        try {
            int port = Integer.parseInt(text.substring(colon + 1));
            if (colon > 0 && port >= 0 && port <= 65_535) {
                return new InetSocketAddress(text.substring(0, colon), port);
            }
        } catch (NumberFormatException e) {
            // said below
        }
        throw new IllegalArgumentException(field + ": \"" + text + "\" is no host:port");
    }
}
