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
 * The file format of captures. All integers are big-endian. A file begins with a header of eight
 * ASCII letters and a version of two bytes; blocks follow. A block consists of:
 *
 * <ul>
 *   <li>its {@link BlockKind} (1 byte),
 *   <li>its number, counted from 0 (4 bytes),
 *   <li>the length of its content uncompressed (4 bytes) and compressed (4 bytes),
 *   <li>a CRC32C of the fields above and of the compressed content (4 bytes),
 *   <li>its content, compressed with LZ4.
 * </ul>
 *
 * <p>A capture that is truncated or damaged is read up to its last intact block.
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
     * A block read from a file.
     *
     * @param kind kind of its content
     * @param offset position of its first byte in the file
     * @param content its content, uncompressed
     */
    record Block(BlockKind kind, long offset, byte[] content) {}

    /**
     * The intact blocks of a file.
     *
     * @param blocks the blocks in order; the first is the header
     * @param truncation offset of the first unreadable block and the reason; empty if the entire
     *     file was read
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

    /** Writes a block and returns its length in the file, in bytes. */
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
     * Reads all blocks before the first one that is truncated or damaged.
     *
     * @throws CaptureFormatException if the file is not a capture, has another format version, or
     *     does not begin with an intact header block
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
                    fault =
                            Optional.of(
                                    "block " + blocks.size() + " cannot be decompressed by LZ4");
                }
            }
        }
        int endOffset = offset;
        Optional<String> truncation = fault.map(reason -> "offset " + endOffset + ": " + reason);
        if (blocks.isEmpty() || blocks.get(0).kind != BlockKind.HEADER) {
            throw new CaptureFormatException(
                    FILE_HEADER_BYTES,
                    "no header block with the configuration of the governor"
                            + truncation.map(reason -> " (" + reason + ")").orElse(""));
        }
        return new Contents(blocks, truncation);
    }

    private static void requireFileHeader(byte[] file) throws CaptureFormatException {
        if (file.length < FILE_HEADER_BYTES
                || !Arrays.equals(file, 0, MAGIC.length, MAGIC, 0, MAGIC.length)) {
            throw new CaptureFormatException(
                    0,
                    "not a capture: the file ("
                            + file.length
                            + " bytes) does not begin with SPRUCECP and a version");
        }
        int version = ByteBuffer.wrap(file).getShort(MAGIC.length);
        if (version != VERSION) {
            throw new CaptureFormatException(
                    MAGIC.length,
                    "capture has format version "
                            + version
                            + ", this program reads version "
                            + VERSION);
        }
    }

    /**
     * The header of the block at an offset of a file. {@link #fault} must be checked before any
     * other value is used, because the file may be truncated or damaged.
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

        /** Returns the offset of the next block, in bytes from the start of the file. */
        int end() {
            return contentOffset() + compressedLength();
        }

        /** Returns why the block is truncated or damaged; empty if the block is intact. */
        Optional<String> fault(int expectedNumber) {
            int available = file.length - contentOffset();
            if (available < 0) {
                return Optional.of("file ends within the header of block " + expectedNumber);
            }
            if (!isPlausible(uncompressedLength()) || !isPlausible(compressedLength())) {
                return Optional.of(
                        "block lengths are "
                                + uncompressedLength()
                                + " bytes uncompressed and "
                                + compressedLength()
                                + " compressed, expected 0 to "
                                + MAX_BLOCK_BYTES);
            }
            if (available < compressedLength()) {
                return Optional.of(
                        "file ends "
                                + (compressedLength() - available)
                                + " bytes before the end of block "
                                + number());
            }
            int checksum = checksum(file, offset, file, contentOffset(), compressedLength());
            if (checksum != buffer.getInt(offset + CHECKSUM_OFFSET)) {
                return Optional.of(
                        "the checksum of block " + number() + " does not match its content");
            }
            return number() == expectedNumber
                    ? Optional.empty()
                    : Optional.of("found block " + number() + ", expected block " + expectedNumber);
        }

        private static boolean isPlausible(int length) {
            return length >= 0 && length <= MAX_BLOCK_BYTES;
        }

        /** Returns the uncompressed content; empty if the content is not valid LZ4. */
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
