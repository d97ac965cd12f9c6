package sprucelanding.front.netconf;

import sprucelanding.control.delivery.ResourceUpdate;
import sprucelanding.control.edits.DeviceEditSession.DeviceCapabilities;
import sprucelanding.control.edits.DeviceEditSession.Operation;

/**
 * One operation to send to a device.
 *
 * @param messageId the rpc's message-id, to be repeated by the reply
 * @param operation what to do
 * @param edit the changes of an EDIT; null for other operations
 * @param capabilities what the device can do; decides on the target datastore
 * @param confirmTimeoutMillis ms after which the device reverts an unconfirmed commit
 * @param persistId names a confirmed commit, so that a later session can confirm it
 * @param writer who writes, with its epoch, as an attribute of the rpc (RFC 6241, section 4.1);
 *     empty for none
 */
record RpcRequest(
        long messageId,
        Operation operation,
        ResourceUpdate edit,
        DeviceCapabilities capabilities,
        double confirmTimeoutMillis,
        String persistId,
        String writer) {
    /** The datastore that is locked and edited. */
    String targetDatastore() {
        return capabilities.candidate() ? "candidate" : "running";
    }

    /** The timeout as the protocol has it, in whole seconds. */
    long confirmTimeoutSeconds() {
        return (long) Math.ceil(confirmTimeoutMillis / 1000);
    }
}
