package sprucelanding.runtime.eventloop;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import java.util.function.Consumer;

/**
 * HTTP/1.1 messages (RFC 9112) with a stated length or in chunks, read as their bytes come. A
 * message past the bounds, or one that does not follow the grammar, is an IOException, and the
 * connection is of no more use.
 */
public final class HttpParser {
    private static final int MAX_HEAD_BYTES = 8192;
    private static final int MAX_BODY_BYTES = 1 << 20;
    private static final int MAX_CHUNK_LINE_CHARS = 256;

    /**
     * One message; of a request first is its method and second its target, of a response second is
     * its status.
     */
    public record Message(
            String methodOrVersion,
            String targetOrStatus,
            Map<String, String> headers,
            byte[] body) {
        public int status() {
            try {
                return Integer.parseInt(targetOrStatus);
            } catch (NumberFormatException e) {
                return 0;
            }
        }

        public String header(String name) {
            return headers.getOrDefault(name, "");
        }

        /**
         * A header's number; the given one if there is none, or none that is a number and finite.
         */
        public double numberHeader(String name, double defaultValue) {
            String text = headers.get(name);
            if (text == null) {
                return defaultValue;
            }
            try {
                double value = Double.parseDouble(text);
                return Double.isFinite(value) ? value : defaultValue;
            } catch (NumberFormatException e) {
                return defaultValue;
            }
        }
    }

    private final Consumer<Message> messageHandler;
    private final ByteBuffer head = ByteBuffer.allocate(MAX_HEAD_BYTES);
    private Message currentMessage;
    private ByteBuffer bodyBuffer;
    private boolean streamingUntilClose;
    private Consumer<byte[]> bodyConsumer;

    /**
     * In chunks: what is left of this one, -1 before its size line, -2 before the empty line that
     * ends it.
     */
    private boolean inChunkedBody;

    private int chunkRemaining;
    private final StringBuilder chunkLine = new StringBuilder();
    private ByteArrayOutputStream chunkedBody;

    public HttpParser(Consumer<Message> messageHandler) {
        this.messageHandler = messageHandler;
    }

    /**
     * Bodies without a stated length, of event streams and watches, go there piece by piece after
     * their head.
     */
    public HttpParser streamBodiesTo(Consumer<byte[]> consumer) {
        bodyConsumer = consumer;
        return this;
    }

    public void parse(ByteBuffer buffer) throws IOException {
        while (buffer.hasRemaining()) {
            if (inChunkedBody) {
                parseChunk(buffer);
            } else if (streamingUntilClose) {
                byte[] piece = new byte[buffer.remaining()];
                buffer.get(piece);
                bodyConsumer.accept(piece);
            } else if (currentMessage == null) {
                byte next = buffer.get();
                if (!head.hasRemaining()) {
                    throw new IOException("a head of more than " + MAX_HEAD_BYTES + " bytes");
                }
                head.put(next);
                int length = head.position();
                if (next == '\n'
                        && length >= 4
                        && head.get(length - 2) == '\r'
                        && head.get(length - 3) == '\n') {
                    parseHead();
                }
            } else {
                int length = Math.min(buffer.remaining(), bodyBuffer.remaining());
                bodyBuffer.put(bodyBuffer.position(), buffer, buffer.position(), length);
                bodyBuffer.position(bodyBuffer.position() + length);
                buffer.position(buffer.position() + length);
                completeIfBodyRead();
            }
        }
    }

    private void parseHead() throws IOException {
        String[] lines =
                new String(head.array(), 0, head.position(), StandardCharsets.ISO_8859_1)
                        .split("\r\n");
        head.clear();
        String[] startLine = lines[0].split(" ", 3);
        if (startLine.length < 2) {
            throw new IOException("no HTTP start line");
        }
        Map<String, String> headers = new LinkedHashMap<>();
        for (int i = 1; i < lines.length; i++) {
            int colon = lines[i].indexOf(':');
            if (colon < 1) {
                throw new IOException("a header without a colon");
            }
            headers.put(
                    lines[i].substring(0, colon).toLowerCase(Locale.ROOT),
                    lines[i].substring(colon + 1).trim());
        }
        if (headers.getOrDefault("transfer-encoding", "")
                .toLowerCase(Locale.ROOT)
                .endsWith("chunked")) {
            currentMessage = new Message(startLine[0], startLine[1], headers, new byte[0]);
            inChunkedBody = true;
            chunkRemaining = -1;
            chunkedBody = new ByteArrayOutputStream();
            if (bodyConsumer != null) {
                messageHandler.accept(currentMessage);
            }
            return;
        }
        String contentLength = headers.getOrDefault("content-length", "0");
        int bodyLength;
        try {
            bodyLength = Integer.parseInt(contentLength);
        } catch (NumberFormatException e) {
            throw new IOException("content-length is no number");
        }
        if (bodyLength < 0 || bodyLength > MAX_BODY_BYTES) {
            throw new IOException("a body of " + bodyLength + " bytes");
        }
        currentMessage = new Message(startLine[0], startLine[1], headers, new byte[bodyLength]);
        if (bodyConsumer != null && !headers.containsKey("content-length")) {
            streamingUntilClose = true;
            messageHandler.accept(currentMessage);
            return;
        }
        bodyBuffer = ByteBuffer.wrap(currentMessage.body());
        completeIfBodyRead();
    }

    private void parseChunk(ByteBuffer buffer) throws IOException {
        if (chunkRemaining > 0) {
            byte[] piece = new byte[Math.min(chunkRemaining, buffer.remaining())];
            buffer.get(piece);
            chunkRemaining -= piece.length;
            chunkRemaining = chunkRemaining == 0 ? -2 : chunkRemaining;
            if (bodyConsumer != null) {
                bodyConsumer.accept(piece);
            } else if (chunkedBody.size() + piece.length > MAX_BODY_BYTES) {
                throw new IOException("a body of more than " + MAX_BODY_BYTES + " bytes");
            } else {
                chunkedBody.write(piece);
            }
            return;
        }
        char next = (char) buffer.get();
        if (next != '\n') {
            if (chunkLine.append(next).length() > MAX_CHUNK_LINE_CHARS) {
                throw new IOException("a chunk without a size");
            }
            return;
        }
        String line = chunkLine.toString().trim();
        chunkLine.setLength(0);
        if (chunkRemaining == -2 && line.isEmpty()) {
            chunkRemaining = -1;
        } else if (chunkRemaining == 0) { // trailers, up to an empty line
            if (line.isEmpty()) {
                inChunkedBody = false;
                Message complete =
                        new Message(
                                currentMessage.methodOrVersion,
                                currentMessage.targetOrStatus,
                                currentMessage.headers,
                                chunkedBody.toByteArray());
                currentMessage = null;
                if (bodyConsumer == null) {
                    messageHandler.accept(complete);
                }
            }
        } else {
            try {
                chunkRemaining = Integer.parseInt(line.split(";", 2)[0].trim(), 16);
            } catch (NumberFormatException e) {
                throw new IOException("a chunk without a size");
            }
            if (chunkRemaining < 0) {
                throw new IOException("a chunk without a size");
            }
        }
    }

    private void completeIfBodyRead() {
        if (!bodyBuffer.hasRemaining()) {
            Message complete = currentMessage;
            currentMessage = null;
            messageHandler.accept(complete);
        }
    }

    /** A request without a body; headers are name and value in turn. */
    public static byte[] request(String method, String target, String... headers) {
        return encodeMessage(method + " " + target + " HTTP/1.1", new byte[0], headers);
    }

    public static byte[] response(int status, String... headers) {
        return encodeMessage(
                "HTTP/1.1 " + status + " " + (status < 300 ? "OK" : "No"), new byte[0], headers);
    }

    public static byte[] response(int status, byte[] body, String... headers) {
        return encodeMessage(
                "HTTP/1.1 " + status + " " + (status < 300 ? "OK" : "No"), body, headers);
    }

    private static byte[] encodeMessage(String startLine, byte[] body, String... headers) {
        StringBuilder text = new StringBuilder(160).append(startLine).append("\r\nhost: l\r\n");
        for (int i = 0; i < headers.length; i += 2) {
            text.append(headers[i]).append(": ").append(headers[i + 1]).append("\r\n");
        }
        byte[] head =
                text.append("content-length: ")
                        .append(body.length)
                        .append("\r\n\r\n")
                        .toString()
                        .getBytes(StandardCharsets.ISO_8859_1);
        byte[] encoded = java.util.Arrays.copyOf(head, head.length + body.length);
        System.arraycopy(body, 0, encoded, head.length, body.length);
        return encoded;
    }
}
