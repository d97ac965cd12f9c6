/**
 * The xDS v3 front: serves the aggregated discovery service, state of the world and incremental,
 * and the load reporting service, following the xDS protocol (versions, nonces, acknowledgements,
 * initial_resource_versions, wildcard subscriptions). Messages are those of the published API.
 *
 * <p>Threads: requests are read on gRPC's transport threads, which wait until the core has accepted
 * each notification. Responses are encoded and written on the writer threads of {@link
 * sprucelanding.front.xds.XdsFront}; all writes to one proxy are done by the same writer.
 */
package sprucelanding.front.xds;
