package sprucelanding.replay.capture;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.zip.CRC32C;
import net.jpountz.lz4.LZ4Exception;
import net.jpountz.lz4.LZ4Factory;

/**
 * The file format of captures, big-endian. The file's header is eight letters and a version of two
 * bytes; blocks follow. A block is its {@link BlockKind} (1 byte), its number from 0 (4), the size
 * of its content uncompressed (4) and compressed (4), a CRC32C of these fields and the compressed
 * content (4), and the content, compressed with LZ4.
 *
 * <p>A capture that was cut off or damaged is read up to its last block that is whole.
 */
final class CaptureFormat {
    static final int VERSION = 1;
    static final int MAX_BLOCK_BYTES = 16 << 20;
    private static final byte[] MAGIC = "SPRUCECP".getBytes(StandardCharsets.US_ASCII);
    private static final int FILE_HEADER_BYTES = MAGIC.length + Short.BYTES;

    private static final int NUMBER_OFFSET = 1;
    private static final int UNCOMPRESSED_LENGTH_OFFSET = NUMBER_OFFSET + Integer.BYTES;
    private static final int COMPRESSED_LENGTH_OFFSET = UNCOMPRESSED_LENGTH_OFFSET + Integer.BYTES;
    private static final int CHECKSUM_OFFSET = COMPRESSED_LENGTH_OFFSET + Integer.BYTES;
    private static final int BLOCK_HEADER_BYTES = CHECKSUM_OFFSET + Integer.BYTES;

    /**
     * A block as it was read.
     *
     * @param kind what it holds
     * @param offset where it begins in the file, in bytes
     * @param content its content, uncompressed
     */
    record Block(BlockKind kind, long offset, byte[] content) {}

    /**
     * All whole blocks of a file.
     *
     * @param blocks the blocks in order; the first is the header
     * @param truncation offset and reason if the blocks end before the file does
     */
    record Contents(List<Block> blocks, Optional<String> truncation) {}

    private CaptureFormat() {}

    static void writeFileHeader(OutputStream out) throws IOException {
        out.write(
                ByteBuffer.allocate(FILE_HEADER_BYTES)
                        .put(MAGIC)
                        .putShort((short) VERSION)
                        .array());
    }

    /** Writes a block and returns how many bytes that were. */
    static int writeBlock(OutputStream out, BlockKind kind, int number, byte[] content)
            throws IOException {
        byte[] compressed = LZ4Factory.fastestJavaInstance().fastCompressor().compress(content);
        ByteBuffer header =
                ByteBuffer.allocate(BLOCK_HEADER_BYTES)
                        .put(kind.code())
                        .putInt(number)
                        .putInt(content.length)
                        .putInt(compressed.length);
        header.putInt(checksum(header.array(), 0, compressed, 0, compressed.length));
        out.write(header.array());
        out.write(compressed);
        return BLOCK_HEADER_BYTES + compressed.length;
    }

    private static int checksum(
            byte[] header, int headerOffset, byte[] content, int contentOffset, int length) {
        CRC32C crc = new CRC32C();
        crc.update(header, headerOffset, CHECKSUM_OFFSET);
        crc.update(content, contentOffset, length);
        return (int) crc.getValue();
    }

    /**
     * Reads all blocks up to the first that is not whole. Throws CaptureFormatException if the file
     * is no capture, has another version, or has no whole header block.
     */
    static Contents read(byte[] file) throws CaptureFormatException {
        requireFileHeader(file);
        List<Block> blocks = new ArrayList<>();
        Optional<String> fault = Optional.empty();
        int offset = FILE_HEADER_BYTES;
        while (offset < file.length && fault.isEmpty()) {
            BlockHeader header = new BlockHeader(file, offset);
            fault = header.fault(blocks.size());
            if (fault.isEmpty()) {
                Optional<byte[]> content = header.decompress();
                if (content.isPresent()) {
                    blocks.add(new Block(header.kind(), offset, content.get()));
                    offset = header.end();
                } else {
                    fault = Optional.of("a block that cannot be unpacked");
                }
            }
        }
        int endOffset = offset;
        Optional<String> truncation = fault.map(reason -> "offset " + endOffset + ": " + reason);
        if (blocks.isEmpty() || blocks.get(0).kind != BlockKind.HEADER) {
            throw new CaptureFormatException(
                    FILE_HEADER_BYTES,
                    "no block that says whose capture this is"
                            + truncation.map(reason -> " (" + reason + ")").orElse(""));
        }
        return new Contents(blocks, truncation);
    }

    private static void requireFileHeader(byte[] file) throws CaptureFormatException {
        if (file.length < FILE_HEADER_BYTES
                || !Arrays.equals(file, 0, MAGIC.length, MAGIC, 0, MAGIC.length)) {
            throw new CaptureFormatException(0, "this is no capture");
        }
        int version = ByteBuffer.wrap(file).getShort(MAGIC.length);
        if (version != VERSION) {
            throw new CaptureFormatException(
                    MAGIC.length,
                    "a capture of version " + version + ", this program reads " + VERSION);
        }
    }

    /**
     * The header of a block at an offset of a file; nothing of it is trusted before it is checked.
     */
    private static final class BlockHeader {
        private final byte[] file;
        private final int offset;
        private final ByteBuffer buffer;

        BlockHeader(byte[] file, int offset) {
            this.file = file;
            this.offset = offset;
            this.buffer = ByteBuffer.wrap(file);
        }

        BlockKind kind() {
            return BlockKind.fromCode(buffer.get(offset));
        }

        private int number() {
            return buffer.getInt(offset + NUMBER_OFFSET);
        }

        private int uncompressedLength() {
            return buffer.getInt(offset + UNCOMPRESSED_LENGTH_OFFSET);
        }

        private int compressedLength() {
            return buffer.getInt(offset + COMPRESSED_LENGTH_OFFSET);
        }

        private int contentOffset() {
            return offset + BLOCK_HEADER_BYTES;
        }

        /** Where the next block begins. */
        int end() {
            return contentOffset() + compressedLength();
        }

        /** Why the block is not whole; empty if it is. */
        Optional<String> fault(int expectedNumber) {
            int available = file.length - contentOffset();
            if (available < 0) {
                return Optional.of("cut off in a block's head");
            }
            if (!isPlausible(uncompressedLength()) || !isPlausible(compressedLength())) {
                return Optional.of("a block of " + uncompressedLength() + " bytes");
            }
            if (available < compressedLength()) {
                return Optional.of(
                        "cut off, "
                                + (compressedLength() - available)
                                + " bytes before the end of block "
                                + number());
            }
            int checksum = checksum(file, offset, file, contentOffset(), compressedLength());
            if (checksum != buffer.getInt(offset + CHECKSUM_OFFSET)) {
                return Optional.of("the checksum of block " + number() + " is wrong");
            }
            return number() == expectedNumber
                    ? Optional.empty()
                    : Optional.of(
                            "block " + number() + " where " + expectedNumber + " was expected");
        }

        private static boolean isPlausible(int length) {
            return length >= 0 && length <= MAX_BLOCK_BYTES;
        }

        /** The content; empty if it is not what LZ4 writes. */
        Optional<byte[]> decompress() {
            byte[] content = new byte[uncompressedLength()];
            try {
                LZ4Factory.fastestJavaInstance()
                        .safeDecompressor()
                        .decompress(
                                file,
                                contentOffset(),
                                compressedLength(),
                                content,
                                0,
                                content.length);
                return Optional.of(content);
            } catch (LZ4Exception e) {
                return Optional.empty();
            }
        }
    }
}
