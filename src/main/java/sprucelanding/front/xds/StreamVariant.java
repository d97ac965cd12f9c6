package sprucelanding.front.xds;

import sprucelanding.control.delivery.ProxyStream;

/** The two variants of the aggregated discovery service. */
enum StreamVariant {
    /** Responses contain changes only; each endpoint is a resource of a collection (LEDS). */
    INCREMENTAL(0, ProxyStream.UpdateMode.INCREMENTAL),
    /** Each response contains all resources of a type; endpoints are inline. */
    STATE_OF_THE_WORLD(1, ProxyStream.UpdateMode.STATE_OF_THE_WORLD);

    private final int encodingIndex;
    private final ProxyStream.UpdateMode updateMode;

    StreamVariant(int encodingIndex, ProxyStream.UpdateMode updateMode) {
        this.encodingIndex = encodingIndex;
        this.updateMode = updateMode;
    }

    /** Returns the index at which a resource caches its encoding for this variant. */
    int encodingIndex() {
        return encodingIndex;
    }

    ProxyStream.UpdateMode updateMode() {
        return updateMode;
    }
}
