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
 * An incremental parser of HTTP/1.1 messages (RFC 9112) whose body has a content-length header or
 * is chunked.
 *
 * <p>A message that exceeds a size limit or violates the grammar causes an {@link IOException}. The
 * connection cannot be used any further then.
 */
public final class HttpParser {
    private static final int MAX_HEAD_BYTES = 8192;
    private static final int MAX_BODY_BYTES = 1 << 20;
    private static final String CONTENT_LENGTH = "content-length";
    private static final String TRANSFER_ENCODING = "transfer-encoding";
    private static final String CHUNKED = "chunked";

    /**
     * An HTTP message.
     *
     * @param methodOrVersion method of a request, or protocol version of a response
     * @param targetOrStatus target of a request, or status code of a response
     * @param headers values by header name in lower case, in the order of the message
     * @param body the body; empty if there is none, or if the body is streamed
     */
    public record Message(
            String methodOrVersion,
            String targetOrStatus,
            Map<String, String> headers,
            byte[] body) {
        /** Returns the status code of a response; 0 if the status code is not a number. */
        public int status() {
            try {
                return Integer.parseInt(targetOrStatus);
            } catch (NumberFormatException e) {
                return 0;
            }
        }

        /** Returns the value of a header; empty if the header is missing. */
        public String header(String name) {
            return headers.getOrDefault(name, "");
        }

        /** Returns the number in a header; the default if the header has no finite number. */
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

        private Message withBody(byte[] content) {
            return new Message(methodOrVersion, targetOrStatus, headers, content);
        }
    }

    /**
     * The part of a message that the next bytes belong to.
     *
     * <pre>
     * HEAD -- transfer coding is chunked         --> CHUNKED_BODY
     * HEAD -- no length, and bodies are streamed --> STREAMED_BODY
     * HEAD -- a length above 0                   --> SIZED_BODY
     * HEAD -- length 0                           --> HEAD
     * CHUNKED_BODY, SIZED_BODY -- body complete  --> HEAD
     * STREAMED_BODY lasts until the connection ends.
     * </pre>
     */
    private enum State {
        HEAD,
        SIZED_BODY,
        CHUNKED_BODY,
        STREAMED_BODY
    }

    private final Consumer<Message> messageHandler;
    private final ByteBuffer head = ByteBuffer.allocate(MAX_HEAD_BYTES);
    private State state = State.HEAD;

    /** The message whose body is being read. The body is complete only at the end. */
    private Message currentMessage;

    /** The part read of a body with a content-length; wraps the body of the current message. */
    private ByteBuffer bodyBuffer;

    private ChunkedBodyDecoder chunkedBody;

    /** The content read so far of a chunked body that is not streamed. */
    private ByteArrayOutputStream chunkedContent;

    /** Receives streamed bodies; null if bodies are not streamed. */
    private Consumer<byte[]> bodyConsumer;

    /** Creates a parser that passes each complete message to the handler. */
    public HttpParser(Consumer<Message> messageHandler) {
        this.messageHandler = messageHandler;
    }

    /**
     * Enables streaming of bodies without a content-length header. The message handler receives the
     * head at once, and the consumer then receives the body piece by piece.
     */
    public HttpParser streamBodiesTo(Consumer<byte[]> consumer) {
        bodyConsumer = consumer;
        return this;
    }

    /**
     * Parses all bytes of the buffer.
     *
     * @throws IOException if the bytes exceed a size limit or violate the grammar
     */
    public void parse(ByteBuffer buffer) throws IOException {
        while (buffer.hasRemaining()) {
            switch (state) {
                case HEAD -> readHead(buffer);
                case SIZED_BODY -> readSizedBody(buffer);
                case CHUNKED_BODY -> readChunkedBody(buffer);
                case STREAMED_BODY -> streamBody(buffer);
                default -> throw new IllegalStateException(state.name());
            }
        }
    }

    private void readHead(ByteBuffer buffer) throws IOException {
        byte next = buffer.get();
        if (!head.hasRemaining()) {
            throw new IOException("HTTP message head exceeds " + MAX_HEAD_BYTES + " bytes");
        }
        head.put(next);
        int length = head.position();
        if (next == '\n'
                && length >= 4
                && head.get(length - 2) == '\r'
                && head.get(length - 3) == '\n') {
            parseHead();
        }
    }

    private void parseHead() throws IOException {
        String[] lines =
                new String(head.array(), 0, head.position(), StandardCharsets.ISO_8859_1)
                        .split("\r\n");
        head.clear();
        String[] startLine = lines[0].split(" ", 3);
        if (startLine.length < 2) {
            throw new IOException("malformed HTTP start line: expected at least two words");
        }
        Map<String, String> headers = parseHeaders(lines);
        Message message = new Message(startLine[0], startLine[1], headers, new byte[0]);
        boolean isChunked =
                message.header(TRANSFER_ENCODING).toLowerCase(Locale.ROOT).endsWith(CHUNKED);
        if (isChunked) {
            startChunkedBody(message);
        } else {
            startSizedBody(message);
        }
    }

    private static Map<String, String> parseHeaders(String[] lines) throws IOException {
        Map<String, String> headers = new LinkedHashMap<>();
        for (int i = 1; i < lines.length; i++) {
            int colon = lines[i].indexOf(':');
            if (colon < 1) {
                throw new IOException(
                        "malformed HTTP header: no colon in line " + (i + 1) + " of the message");
            }
            String name = lines[i].substring(0, colon).toLowerCase(Locale.ROOT);
            headers.put(name, lines[i].substring(colon + 1).trim());
        }
        return headers;
    }

    private void startChunkedBody(Message message) {
        currentMessage = message;
        state = State.CHUNKED_BODY;
        chunkedContent = new ByteArrayOutputStream();
        chunkedBody = new ChunkedBodyDecoder(this::onChunkContent);
        if (bodyConsumer != null) {
            messageHandler.accept(message);
        }
    }

    private void startSizedBody(Message message) throws IOException {
        int bodyLength = bodyLength(message);
        if (bodyConsumer != null && !message.headers().containsKey(CONTENT_LENGTH)) {
            state = State.STREAMED_BODY;
            messageHandler.accept(message);
            return;
        }
        currentMessage = message.withBody(new byte[bodyLength]);
        bodyBuffer = ByteBuffer.wrap(currentMessage.body());
        state = State.SIZED_BODY;
        completeIfBodyRead();
    }

    private static int bodyLength(Message message) throws IOException {
        int length;
        try {
            length = Integer.parseInt(message.headers().getOrDefault(CONTENT_LENGTH, "0"));
        } catch (NumberFormatException e) {
            throw new IOException("content-length: expected an integer", e);
        }
        if (length < 0 || length > MAX_BODY_BYTES) {
            throw new IOException(
                    "content-length: expected 0 to " + MAX_BODY_BYTES + ", found " + length);
        }
        return length;
    }

    private void readSizedBody(ByteBuffer buffer) {
        int length = Math.min(buffer.remaining(), bodyBuffer.remaining());
        bodyBuffer.put(bodyBuffer.position(), buffer, buffer.position(), length);
        bodyBuffer.position(bodyBuffer.position() + length);
        buffer.position(buffer.position() + length);
        completeIfBodyRead();
    }

    private void completeIfBodyRead() {
        if (!bodyBuffer.hasRemaining()) {
            Message complete = currentMessage;
            currentMessage = null;
            state = State.HEAD;
            messageHandler.accept(complete);
        }
    }

    private void readChunkedBody(ByteBuffer buffer) throws IOException {
        chunkedBody.decode(buffer);
        if (chunkedBody.isComplete()) {
            Message complete = currentMessage.withBody(chunkedContent.toByteArray());
            currentMessage = null;
            state = State.HEAD;
            if (bodyConsumer == null) {
                messageHandler.accept(complete);
            }
        }
    }

    private void onChunkContent(byte[] piece) throws IOException {
        if (bodyConsumer != null) {
            bodyConsumer.accept(piece);
        } else if (chunkedContent.size() + piece.length > MAX_BODY_BYTES) {
            throw new IOException("chunked HTTP body exceeds " + MAX_BODY_BYTES + " bytes");
        } else {
            chunkedContent.write(piece);
        }
    }

    private void streamBody(ByteBuffer buffer) {
        byte[] piece = new byte[buffer.remaining()];
        buffer.get(piece);
        bodyConsumer.accept(piece);
    }

    /** Encodes a request without a body. The headers are alternating names and values. */
    public static byte[] request(String method, String target, String... headers) {
        return HttpEncoder.request(method, target, headers);
    }

    /** Encodes a response without a body. The headers are alternating names and values. */
    public static byte[] response(int status, String... headers) {
        return HttpEncoder.response(status, headers);
    }

    /** Encodes a response. The headers are alternating names and values. */
    public static byte[] response(int status, byte[] body, String... headers) {
        return HttpEncoder.response(status, body, headers);
    }
}
