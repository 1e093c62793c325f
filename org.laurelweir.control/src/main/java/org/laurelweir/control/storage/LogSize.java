package org.laurelweir.control.storage;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

/**
 * The disk space that the log in a data folder uses.
 *
 * @param segments the number of segments
 * @param segmentBytes the total size of the segments
 * @param snapshotBytes the size of the snapshot file, 0 if there is none
 */
record LogSize(int segments, long segmentBytes, long snapshotBytes) {
    static LogSize of(LogFiles files) throws IOException {
        int segments = 0;
        long bytes = 0;
        for (long number : Segment.numbersIn(files.folder())) {
            segments++;
            bytes += Files.size(Segment.path(files.folder(), number));
        }
        Path snapshot = files.snapshot().path();
        return new LogSize(segments, bytes, Files.exists(snapshot) ? Files.size(snapshot) : 0);
    }

    @Override
    public String toString() {
        return segments + " segments, " + segmentBytes + " B; snapshot " + snapshotBytes + " B";
    }
}
