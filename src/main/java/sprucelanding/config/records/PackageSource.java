package sprucelanding.config.records;

import java.io.IOException;
import java.util.List;

/** Loads the packages that a package imports. */
interface PackageSource {
    /** For texts that stand alone: every import is a fault. */
    PackageSource NONE =
            folder -> {
                throw new IOException("nothing can be imported here");
            };

    /**
     * Loads the files of one package.
     *
     * @param folder the package's folder, below the configuration folder
     * @throws IOException if it may not or cannot be read
     */
    List<Source> load(String folder) throws IOException;
}
