package sprucelanding.config.records;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;

/**
 * The files of a package, and the packages that may be imported: from the config folder and below
 * it, and from nowhere else.
 */
final class PackageFolder implements RecordReader.PackageSource {
    private static final int MAX_FILES = 256;
    private final Path root;

    /**
     * @param file the file or folder that is read; imports are looked for in its folder
     */
    PackageFolder(Path file) throws IOException {
        Path folder = Files.isDirectory(file) ? file : file.toAbsolutePath().getParent();
        this.root = folder.toRealPath();
    }

    @Override
    public List<RecordReader.Source> load(String folder) throws IOException {
        Path requested = root.resolve(folder).normalize();
        if (folder.isEmpty() || !requested.startsWith(root) || requested.equals(root)) {
            throw new IOException("it lies outside the config folder, or is the folder itself");
        }
        if (!Files.isDirectory(requested)) {
            throw new IOException("there is no such folder below the config folder");
        }
        if (!requested.toRealPath().startsWith(root)) {
            throw new IOException("a link leads outside the config folder");
        }
        return sources(requested);
    }

    /** A file alone, or all files of a folder that end in .cue, by their names in order. */
    static List<RecordReader.Source> sources(Path file) throws IOException {
        if (!Files.isDirectory(file)) {
            return List.of(
                    new RecordReader.Source(file.getFileName().toString(), Files.readString(file)));
        }
        List<RecordReader.Source> sources = new ArrayList<>();
        try (Stream<Path> files = Files.list(file)) {
            for (Path source :
                    files.filter(candidate -> candidate.toString().endsWith(".cue"))
                            .sorted()
                            .toList()) {
                if (sources.size() >= MAX_FILES) {
                    throw new IOException(file + ": more than " + MAX_FILES + " files");
                }
                sources.add(
                        new RecordReader.Source(
                                file.getFileName() + "/" + source.getFileName(),
                                Files.readString(source)));
            }
        }
        if (sources.isEmpty()) {
            throw new IOException(file + ": no file that ends in .cue");
        }
        return sources;
    }
}
