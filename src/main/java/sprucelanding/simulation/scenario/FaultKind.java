package sprucelanding.simulation.scenario;

import java.util.Arrays;
import java.util.Map;
import java.util.function.Function;
import java.util.stream.Collectors;

/**
 * The kind of a fault in a scenario. Each constant has the word by which {@code day.cue} names the
 * kind. {@code part}, {@code size}, {@code lasts} and {@code zone} are fields of {@link
 * Scenario.Fault}.
 */
public enum FaultKind {
    /** Endpoints crash and start again. */
    ENDPOINT_CRASH("crash"),
    /** Endpoints accept requests and do not answer them. */
    ENDPOINT_HANG("hang"),
    /** Endpoints are slower by the factor {@code size}. */
    ENDPOINT_SLOWDOWN("slow"),
    /** Endpoints answer the share {@code size} of the requests with an error. */
    ENDPOINT_ERRORS("errors"),
    /** Endpoints are paused for 0.2 s of every second. */
    ENDPOINT_PAUSES("pauses"),
    /**
     * Another program takes the share {@code size} of the machines' processor time for 2 s, then
     * pauses for 2 s, and so on.
     */
    ENDPOINT_CONTENTION("neighbour"),
    /** Endpoints become slower, up to the factor {@code size}, and crash after {@code lasts}. */
    ENDPOINT_AGEING("ageing"),
    /** Endpoints accept at most {@code size} connections. */
    ENDPOINT_CONNECTION_LIMIT("connections"),
    /** Endpoints receive no packets from a zone. */
    ENDPOINT_UNREACHABLE_FROM_ZONE("oneSided"),
    /** Endpoints crash and start again three times. */
    ENDPOINT_FLAPPING("flapping"),
    /** All endpoints of a zone crash and start again. */
    ZONE_CRASH("zoneLoss"),
    /** Endpoints drain, and their processes end after {@code lasts}. */
    ENDPOINT_REMOVAL("shrink"),
    /** Discovery reports running endpoints as removed. */
    DISCOVERY_WRONG_LIST("wrongList"),
    /** Discovery reports changes {@code size} seconds late. */
    DISCOVERY_DELAY("lateList"),
    /** Discovery restarts. */
    DISCOVERY_RESTART("listGone"),
    /** A zone is cut off from the others. */
    ZONE_CUT("zoneCut"),
    /** Clients send {@code size} times as many requests. */
    REQUEST_BURST("burst"),
    /** Proxies crash and start again. */
    PROXY_CRASH("proxyCrash"),
    /** Proxies cannot reach any governor. */
    PROXY_ISOLATION("alone"),
    /** Proxies acknowledge messages {@code size} seconds late. */
    PROXY_LATE_ACKNOWLEDGEMENT("lateAck"),
    /** Proxies reject the next {@code size} messages. */
    PROXY_REJECTION("reject"),
    /** Proxies read nothing from their governors. */
    PROXY_READ_STOP("readsNothing"),
    /** Governors are killed and start again. */
    GOVERNOR_CRASH("governorCrash"),
    /** Governors are paused and continued by signals. */
    GOVERNOR_PAUSE("governorPause"),
    /** Governors stop as planned and start again. */
    GOVERNOR_STOP("governorStop"),
    /** Governors are cut off from their proxies. */
    GOVERNOR_CUT("governorCut"),
    /** Governors are paused repeatedly, for {@code size} seconds each time. */
    GOVERNOR_STALL("governorStall"),
    /** Governors are cut off from each other. */
    PEERS_CUT("peersCut"),
    /** The network loses the share {@code size} of the packets between governors. */
    PEER_LOSS("peersLose"),
    /** A stream from a governor to a proxy breaks after {@code size} more bytes. */
    CONNECTION_BREAK("midUpdate"),
    /** Another management client holds the configuration lock of devices. */
    DEVICE_LOCK("lockHeld"),
    /** Devices do not send their next {@code size} responses. */
    DEVICE_MUTE("mute"),
    /** The configuration of devices is changed by another management client. */
    DEVICE_DRIFT("drift");

    private static final Map<String, FaultKind> KINDS_BY_WORD =
            Arrays.stream(values())
                    .collect(Collectors.toUnmodifiableMap(FaultKind::word, Function.identity()));

    private final String word;

    FaultKind(String word) {
        this.word = word;
    }

    /** Returns the word that scenarios use for this kind. */
    public String word() {
        return word;
    }

    /**
     * Returns the kind that scenarios name by a word.
     *
     * @throws IllegalStateException if no kind has that word
     */
    public static FaultKind of(String word) {
        FaultKind kind = KINDS_BY_WORD.get(word);
        if (kind == null) {
            throw new IllegalStateException(
                    "unknown kind of fault \"" + word + "\", expected a word of day.cue");
        }
        return kind;
    }
}
