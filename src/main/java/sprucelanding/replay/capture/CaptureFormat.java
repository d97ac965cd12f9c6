package sprucelanding.replay.capture;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.zip.CRC32C;
import net.jpountz.lz4.LZ4Exception;
import net.jpountz.lz4.LZ4Factory;

/**
 * The file: eight letters, a version, then blocks. A block is its kind, its number, the size of its
 * content plain and packed (LZ4), a CRC32C of all that, and the content. Big-endian.
 */
final class CaptureFormat {
    static final int VERSION = 1;
    static final byte HEADER_BLOCK = 0;
    static final byte EVENTS_BLOCK = 1;
    static final byte GAP_BLOCK = 2;
    static final int MAX_BLOCK_BYTES = 16 << 20;
    private static final byte[] MAGIC = "SPRUCECP".getBytes(StandardCharsets.US_ASCII);
    private static final int FILE_HEADER_BYTES = MAGIC.length + 2;
    private static final int BLOCK_HEADER_BYTES = 1 + 4 + 4 + 4 + 4;

    /** A block's kind and plain content. */
    record Block(byte kind, long offset, byte[] content) {}

    private CaptureFormat() {}

    static void writeFileHeader(OutputStream out) throws IOException {
        out.write(
                ByteBuffer.allocate(FILE_HEADER_BYTES)
                        .put(MAGIC)
                        .putShort((short) VERSION)
                        .array());
    }

    /** Bytes written. */
    static int writeBlock(OutputStream out, byte kind, int number, byte[] content)
            throws IOException {
        byte[] compressed = LZ4Factory.fastestJavaInstance().fastCompressor().compress(content);
        ByteBuffer header =
                ByteBuffer.allocate(BLOCK_HEADER_BYTES)
                        .put(kind)
                        .putInt(number)
                        .putInt(content.length)
                        .putInt(compressed.length);
        header.putInt(checksum(header.array(), compressed, 0, compressed.length));
        out.write(header.array());
        out.write(compressed);
        return BLOCK_HEADER_BYTES + compressed.length;
    }

    private static int checksum(byte[] header, byte[] bytes, int offset, int length) {
        CRC32C crc = new CRC32C();
        crc.update(header, 0, BLOCK_HEADER_BYTES - 4);
        crc.update(bytes, offset, length);
        return (int) crc.getValue();
    }

    /**
     * All blocks up to the first that is not whole; why it ended there goes to the list, with the
     * offset. Throws IOException if the file is none of ours or newer.
     */
    static List<Block> readBlocks(byte[] file, List<String> truncations) throws IOException {
        if (file.length < FILE_HEADER_BYTES
                || !java.util.Arrays.equals(file, 0, MAGIC.length, MAGIC, 0, MAGIC.length)) {
            throw new IOException("offset 0: this is no capture");
        }
        ByteBuffer buffer = ByteBuffer.wrap(file);
        int version = buffer.getShort(MAGIC.length);
        if (version != VERSION) {
            throw new IOException(
                    "offset "
                            + MAGIC.length
                            + ": a capture of version "
                            + version
                            + ", this program reads "
                            + VERSION);
        }
        List<Block> blocks = new ArrayList<>();
        int offset = FILE_HEADER_BYTES;
        while (offset < file.length) {
            String fault = blockFault(buffer, file, offset, blocks.size());
            if (fault != null) {
                truncations.add("offset " + offset + ": " + fault);
                break;
            }
            int uncompressedLength = buffer.getInt(offset + 5);
            int compressedLength = buffer.getInt(offset + 9);
            byte[] content = new byte[uncompressedLength];
            try {
                LZ4Factory.fastestJavaInstance()
                        .safeDecompressor()
                        .decompress(
                                file,
                                offset + BLOCK_HEADER_BYTES,
                                compressedLength,
                                content,
                                0,
                                uncompressedLength);
            } catch (LZ4Exception e) {
                truncations.add("offset " + offset + ": a block that cannot be unpacked");
                break;
            }
            blocks.add(new Block(buffer.get(offset), offset, content));
            offset += BLOCK_HEADER_BYTES + compressedLength;
        }
        if (blocks.isEmpty() || blocks.get(0).kind != HEADER_BLOCK) {
            throw new IOException(
                    "offset "
                            + FILE_HEADER_BYTES
                            + ": no block that says whose capture this is"
                            + (truncations.isEmpty() ? "" : " (" + truncations.get(0) + ")"));
        }
        return blocks;
    }

    private static String blockFault(
            ByteBuffer buffer, byte[] file, int offset, int expectedNumber) {
        if (file.length - offset < BLOCK_HEADER_BYTES) {
            return "cut off in a block's head";
        }
        int number = buffer.getInt(offset + 1);
        int uncompressedLength = buffer.getInt(offset + 5);
        int compressedLength = buffer.getInt(offset + 9);
        if (uncompressedLength < 0
                || uncompressedLength > MAX_BLOCK_BYTES
                || compressedLength < 0
                || compressedLength > MAX_BLOCK_BYTES) {
            return "a block of " + uncompressedLength + " bytes";
        }
        if (file.length - offset - BLOCK_HEADER_BYTES < compressedLength) {
            return "cut off, "
                    + (compressedLength - (file.length - offset - BLOCK_HEADER_BYTES))
                    + " bytes before the end of block "
                    + number;
        }
        byte[] header = new byte[BLOCK_HEADER_BYTES];
        System.arraycopy(file, offset, header, 0, BLOCK_HEADER_BYTES);
        if (checksum(header, file, offset + BLOCK_HEADER_BYTES, compressedLength)
                != buffer.getInt(offset + BLOCK_HEADER_BYTES - 4)) {
            return "the checksum of block " + number + " is wrong";
        }
        return number == expectedNumber
                ? null
                : "block " + number + " where " + expectedNumber + " was expected";
    }
}
