package sprucelanding.config.records;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.stream.Stream;

/**
 * Loads packages from files. Imports are loaded from below the configuration folder and from
 * nowhere else, whether by a path or by a symbolic link.
 */
final class PackageFolder implements PackageSource {
    private static final int MAX_FILES = 256;
    private static final String FILE_SUFFIX = ".cue";

    private final Path root;

    /**
     * Imports are looked for in the folder that is read, or beside the file.
     *
     * @param file the file or folder that is read
     * @throws IOException if its folder doesn't exist
     */
    PackageFolder(Path file) throws IOException {
        Path folder = Files.isDirectory(file) ? file : file.toAbsolutePath().getParent();
        this.root = Objects.requireNonNull(folder, "a file has a folder").toRealPath();
    }

    @Override
    public List<Source> load(String folder) throws IOException {
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

    /** Reads a file alone, or all files of a folder that end in .cue, ordered by their names. */
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
            throw new IOException(file + ": no file that ends in " + FILE_SUFFIX);
        }
        return sources;
    }

    private static List<Path> recordFiles(Path folder) throws IOException {
        try (Stream<Path> files = Files.list(folder)) {
            return files.filter(path -> path.toString().endsWith(FILE_SUFFIX)).sorted().toList();
        }
    }
}
