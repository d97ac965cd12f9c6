package sprucelanding.config.records;

import java.io.IOException;
import java.util.List;

/** Source of the packages that a package imports. */
interface PackageSource {
    /** Source for texts that cannot import packages. Rejects every import. */
    PackageSource NONE =
            folder -> {
                throw new IOException("this text cannot import packages");
            };

    /**
     * Loads the files of one package.
     *
     * @param folder the package's folder, below the configuration folder
     * @throws IOException if the package cannot be read or must not be imported
     */
    List<Source> load(String folder) throws IOException;
}
