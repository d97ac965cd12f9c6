package sprucelanding.control.edits;

import java.util.Map;
import sprucelanding.control.delivery.ResourceName;
import sprucelanding.control.delivery.ResourceType;
import sprucelanding.control.delivery.ResourceUpdate;
import sprucelanding.control.delivery.RoutingResource;

/** Comparison of an edit with the state that was read from a device. */
final class EditVerification {
    private EditVerification() {}

    /**
     * Returns whether the device holds everything that the edit requires, regardless of the
     * governor that wrote it.
     */
    static boolean isInForce(Map<ResourceName, String> versions, ResourceUpdate edit) {
        return edit.resources.stream().allMatch(resource -> isHeld(versions, resource))
                && edit.removedNames.stream().noneMatch(versions::containsKey);
    }

    /**
     * Returns whether the device holds a resource. The endpoints resource of a table has no content
     * of its own on a device and always counts as held.
     */
    private static boolean isHeld(Map<ResourceName, String> versions, RoutingResource resource) {
        return resource.name().type() == ResourceType.ENDPOINTS
                || resource.version().equals(versions.get(resource.name()));
    }
}
