package org.laurelweir.standin;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.laurelweir.standin.Execution.Outcome;
import org.laurelweir.standin.Execution.Work;
import org.laurelweir.standin.http.HttpExchange;

/**
 * The record of what really ran, in order of start. Used on one thread. With a file, each start and
 * each end is appended as one JSON line, so that the record outlives the process.
 */
public final class ExecutionLog {
    private static final String REQUEST_ID = "X-Request-Id";
    private static final String IDEMPOTENCY_KEY = "Idempotency-Key";

    private final Optional<Path> mFile;
    private final List<Execution> mExecutions = new ArrayList<>();
    private final Map<String, Integer> mRunning = new HashMap<>();

    /**
     * Creates an empty record.
     *
     * @param file the path to append to
     */
    public ExecutionLog(Optional<Path> file) {
        mFile = file;
    }

    /** Records that a run began. */
    public void start(Instant now, String id, HttpExchange call, String digest) {
        Execution e =
                new Execution(
                        id,
                        call.header(REQUEST_ID).orElse(null),
                        call.header(IDEMPOTENCY_KEY).orElse(null),
                        call.method(),
                        call.path(),
                        digest,
                        now.toString(),
                        null,
                        Outcome.RUNNING,
                        null);
        mRunning.put(id, mExecutions.size());
        mExecutions.add(e);
        append(e);
    }

    /** Records that a run ended; does nothing if no run of this id is on. */
    public void end(Instant now, String id, Outcome how, Work used) {
        Integer at = mRunning.remove(id);
        if (at == null) {
            return;
        }
        Execution e = mExecutions.get(at).end(now.toString(), how, used);
        mExecutions.set(at, e);
        append(e);
    }

    /** Returns all runs so far, in order of start. */
    public List<Execution> list() {
        return List.copyOf(mExecutions);
    }

    private void append(Execution e) {
        mFile.ifPresent(f -> append(f, Json.write(e) + "\n"));
    }

    private static void append(Path file, String line) {
        try {
            Files.writeString(file, line, StandardOpenOption.CREATE, StandardOpenOption.APPEND);
        } catch (IOException x) {
            throw new UncheckedIOException(x);
        }
    }
}
