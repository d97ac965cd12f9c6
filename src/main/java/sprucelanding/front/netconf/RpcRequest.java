package sprucelanding.front.netconf;

import sprucelanding.control.delivery.ResourceUpdate;
import sprucelanding.control.edits.DeviceEditSession.DeviceCapabilities;
import sprucelanding.control.edits.DeviceEditSession.Operation;

/**
 * An operation to be sent to a device.
 *
 * @param messageId the rpc's message-id, which the reply repeats
 * @param operation the kind of operation
 * @param edit the changes of an EDIT; null for other operations
 * @param capabilities what the device can do; determines the target datastore
 * @param confirmTimeoutMillis ms after which the device reverts an unconfirmed commit
 * @param persistId identifier of a confirmed commit, with which a later session can confirm it
 * @param writer identifier and epoch of the governor that writes, sent as an attribute of the rpc
 *     (RFC 6241, section 4.1); empty for none
 */
record RpcRequest(
        long messageId,
        Operation operation,
        ResourceUpdate edit,
        DeviceCapabilities capabilities,
        double confirmTimeoutMillis,
        String persistId,
        String writer) {
    /** Returns the datastore that is locked and edited. */
    String targetDatastore() {
        return capabilities.candidate() ? "candidate" : "running";
    }

    /** Returns the confirm timeout in whole seconds, the protocol's unit; rounded up. */
    long confirmTimeoutSeconds() {
        return (long) Math.ceil(confirmTimeoutMillis / 1000);
    }
}
