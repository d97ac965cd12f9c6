package sprucelanding.control.edits;

import java.util.Map;
import sprucelanding.control.delivery.ResourceName;
import sprucelanding.control.delivery.ResourceType;
import sprucelanding.control.delivery.ResourceUpdate;
import sprucelanding.control.delivery.RoutingResource;

/** Compares an edit with what was read from a device. */
final class EditVerification {
    private EditVerification() {}

    /** Whether the device holds all that the edit asks for, whoever brought it in force. */
    static boolean isInForce(Map<ResourceName, String> versions, ResourceUpdate edit) {
        return edit.resources.stream().allMatch(resource -> isHeld(versions, resource))
                && edit.removedNames.stream().noneMatch(versions::containsKey);
    }

    /** A table's endpoints have no content of their own on a device. */
    private static boolean isHeld(Map<ResourceName, String> versions, RoutingResource resource) {
        return resource.name().type() == ResourceType.ENDPOINTS
                || resource.version().equals(versions.get(resource.name()));
    }
}
