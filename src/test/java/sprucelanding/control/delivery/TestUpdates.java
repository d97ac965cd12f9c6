package sprucelanding.control.delivery;

import java.util.List;
import java.util.Map;

/** Edits for stories outside this package. */
public final class TestUpdates {
    private TestUpdates() {}

    /** Lines of table 0 by version, such as w50, and those that go. */
    public static ResourceUpdate transaction(long id, Map<Long, String> lines, List<Long> gone) {
        List<RoutingResource> items =
                lines.entrySet().stream()
                        .map(
                                entry ->
                                        RoutingResource.entry(
                                                ResourceName.entry(0, entry.getKey()),
                                                Integer.parseInt(entry.getValue().substring(1)),
                                                entry.getValue().startsWith("d")))
                        .toList();
        return new ResourceUpdate(
                id,
                null,
                null,
                ResourceUpdate.Scope.CHANGES,
                items,
                gone.stream().map(endpointId -> ResourceName.entry(0, endpointId)).toList(),
                0,
                Map.of());
    }

    /** A message that makes table 0 at a proxy. */
    public static ResourceUpdate clusterUpdate(long id, ProxyStream stream) {
        return new ResourceUpdate(
                id,
                stream,
                ResourceType.CLUSTER,
                ResourceUpdate.Scope.CHANGES,
                List.of(new RoutingResource(ResourceName.cluster(0), "1", List.of(), List.of())),
                List.of(),
                0,
                Map.of());
    }
}
