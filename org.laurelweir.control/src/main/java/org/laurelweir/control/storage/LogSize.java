package org.laurelweir.control.storage;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

/**
 * What a data folder takes on the disk.
 *
 * @param segments how many segments there are
 * @param segmentBytes their bytes together
 * @param snapshotBytes the bytes of the snapshot's file, 0 without one
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
