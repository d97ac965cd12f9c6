package sprucelanding.runtime.eventloop;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/** An encoder of HTTP/1.1 messages (RFC 9112) with a content-length header. */
final class HttpEncoder {
    private static final byte[] NO_BODY = new byte[0];
    private static final int FIRST_STATUS_AFTER_SUCCESS = 300;
    private static final int TYPICAL_HEAD_CHARS = 160;

    private HttpEncoder() {}

    /** Encodes a request without a body. The headers are alternating names and values. */
    static byte[] request(String method, String target, String... headers) {
        return encode(method + " " + target + " HTTP/1.1", NO_BODY, headers);
    }

    /** Encodes a response without a body. The headers are alternating names and values. */
    static byte[] response(int status, String... headers) {
        return response(status, NO_BODY, headers);
    }

    /** Encodes a response. The headers are alternating names and values. */
    static byte[] response(int status, byte[] body, String... headers) {
        String reason = status < FIRST_STATUS_AFTER_SUCCESS ? "OK" : "No";
        return encode("HTTP/1.1 " + status + " " + reason, body, headers);
    }

    private static byte[] encode(String startLine, byte[] body, String... headers) {
        StringBuilder text = new StringBuilder(TYPICAL_HEAD_CHARS);
        text.append(startLine).append("\r\nhost: l\r\n");
        for (int i = 0; i < headers.length; i += 2) {
            text.append(headers[i]).append(": ").append(headers[i + 1]).append("\r\n");
        }
        text.append("content-length: ").append(body.length).append("\r\n\r\n");
        byte[] head = text.toString().getBytes(StandardCharsets.ISO_8859_1);
        byte[] encoded = Arrays.copyOf(head, head.length + body.length);
        System.arraycopy(body, 0, encoded, head.length, body.length);
        return encoded;
    }
}
