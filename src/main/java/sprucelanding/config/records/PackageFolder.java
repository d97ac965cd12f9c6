package sprucelanding.config.records;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.stream.Stream;

/**
 * Source of packages that are stored in files. Loads imports only from folders below the
 * configuration folder. Rejects paths and symbolic links that lead outside that folder.
 */
final class PackageFolder implements PackageSource {
    private static final int MAX_FILES = 256;
    private static final String FILE_SUFFIX = ".cue";

    private final Path root;

    /**
     * Creates a source for a file or folder. If a folder is read, imports are loaded from below
     * that folder. If a file is read, imports are loaded from below the folder of the file.
     *
     * @param file the file or folder that is read
     * @throws IOException if the folder does not exist
     */
    PackageFolder(Path file) throws IOException {
        Path folder = Files.isDirectory(file) ? file : file.toAbsolutePath().getParent();
        this.root = Objects.requireNonNull(folder, "a file has a folder").toRealPath();
    }

    @Override
    public List<Source> load(String folder) throws IOException {
        Path requested = root.resolve(folder).normalize();
        if (folder.isEmpty() || !requested.startsWith(root) || requested.equals(root)) {
            throw new IOException("the folder is not below the config folder");
        }
        if (!Files.isDirectory(requested)) {
            throw new IOException("the folder does not exist below the config folder");
        }
        if (!requested.toRealPath().startsWith(root)) {
            throw new IOException("a link leads outside the config folder");
        }
        return sources(requested);
    }

    /**
     * Reads a single file, or all files of a folder whose names end in .cue, ordered by name.
     *
     * @throws IOException if a file cannot be read, or a folder has none or too many such files
     */
    static List<Source> sources(Path file) throws IOException {
        if (!Files.isDirectory(file)) {
            Path name = Objects.requireNonNull(file.getFileName(), "a file has a name");
            return List.of(new Source(name.toString(), Files.readString(file)));
        }
        List<Source> sources = new ArrayList<>();
        for (Path path : recordFiles(file)) {
            if (sources.size() >= MAX_FILES) {
                throw new IOException(file + ": more than " + MAX_FILES + " files");
            }
            String name = file.getFileName() + "/" + path.getFileName();
            sources.add(new Source(name, Files.readString(path)));
        }
        if (sources.isEmpty()) {
            throw new IOException(file + ": found no file whose name ends in " + FILE_SUFFIX);
        }
        return sources;
    }

    private static List<Path> recordFiles(Path folder) throws IOException {
        try (Stream<Path> files = Files.list(folder)) {
            return files.filter(path -> path.toString().endsWith(FILE_SUFFIX)).sorted().toList();
        }
    }
}
