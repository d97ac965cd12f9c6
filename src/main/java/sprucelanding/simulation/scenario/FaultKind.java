package sprucelanding.simulation.scenario;

import java.util.Arrays;
import java.util.Map;
import java.util.function.Function;
import java.util.stream.Collectors;

/**
 * What a fault of a scenario does. The words are those of {@code day.cue}; {@code part}, {@code
 * size}, {@code lasts} and {@code zone} are fields of {@link Scenario.Fault}.
 */
public enum FaultKind {
    /** Endpoints crash and start again. */
    ENDPOINT_CRASH("crash"),
    /** Endpoints accept requests and don't answer. */
    ENDPOINT_HANG("hang"),
    /** Endpoints are slower by the factor {@code size}. */
    ENDPOINT_SLOWDOWN("slow"),
    /** Endpoints answer the share {@code size} of requests with an error. */
    ENDPOINT_ERRORS("errors"),
    /** Endpoints stand still for 0.2 s of every second. */
    ENDPOINT_PAUSES("pauses"),
    /** Another program takes the share {@code size} of the machine, every other 2 s. */
    ENDPOINT_CONTENTION("neighbour"),
    /** Endpoints become slower up to the factor {@code size}, and crash in the end. */
    ENDPOINT_AGEING("ageing"),
    /** Endpoints accept {@code size} connections at most. */
    ENDPOINT_CONNECTION_LIMIT("connections"),
    /** Endpoints hear nothing from a zone. */
    ENDPOINT_UNREACHABLE_FROM_ZONE("oneSided"),
    /** Endpoints crash and start again three times. */
    ENDPOINT_FLAPPING("flapping"),
    /** All endpoints of a zone crash and start again. */
    ZONE_CRASH("zoneLoss"),
    /** Endpoints drain, and end after {@code lasts}. */
    ENDPOINT_REMOVAL("shrink"),
    /** Discovery reports running endpoints as gone. */
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
    /** Proxies don't reach any governor. */
    PROXY_ISOLATION("alone"),
    /** Proxies acknowledge {@code size} seconds late. */
    PROXY_LATE_ACKNOWLEDGEMENT("lateAck"),
    /** Proxies reject the next {@code size} messages. */
    PROXY_REJECTION("reject"),
    /** Proxies read nothing from their governors. */
    PROXY_READ_STOP("readsNothing"),
    /** Governors are killed and start again. */
    GOVERNOR_CRASH("governorCrash"),
    /** Governors are stopped and continued by signals. */
    GOVERNOR_PAUSE("governorPause"),
    /** Governors stop as planned and start again. */
    GOVERNOR_STOP("governorStop"),
    /** Governors are cut off from their proxies. */
    GOVERNOR_CUT("governorCut"),
    /** Governors are paused for {@code size} seconds again and again. */
    GOVERNOR_STALL("governorStall"),
    /** Governors are cut off from each other. */
    PEERS_CUT("peersCut"),
    /** Governors lose the share {@code size} of the packets between them. */
    PEER_LOSS("peersLose"),
    /** A stream to proxies breaks after {@code size} more bytes. */
    CONNECTION_BREAK("midUpdate"),
    /** Another manager holds the lock of devices. */
    DEVICE_LOCK("lockHeld"),
    /** Devices don't send their next {@code size} responses. */
    DEVICE_MUTE("mute"),
    /** The configuration of devices is changed by someone else. */
    DEVICE_DRIFT("drift");

    private static final Map<String, FaultKind> KINDS_BY_WORD =
            Arrays.stream(values())
                    .collect(Collectors.toUnmodifiableMap(FaultKind::word, Function.identity()));

    private final String word;

    FaultKind(String word) {
        this.word = word;
    }

    /** Returns the word for it in scenarios. */
    public String word() {
        return word;
    }

    /**
     * Returns the kind that a scenario names by a word.
     *
     * @throws IllegalStateException if there is none; its message is the word
     */
    public static FaultKind of(String word) {
        FaultKind kind = KINDS_BY_WORD.get(word);
        if (kind == null) {
            throw new IllegalStateException(word);
        }
        return kind;
    }
}
