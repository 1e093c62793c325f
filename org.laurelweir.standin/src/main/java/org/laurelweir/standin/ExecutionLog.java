package org.laurelweir.standin;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.time.Instant;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.laurelweir.standin.Execution.Outcome;
import org.laurelweir.standin.Execution.Work;
import org.laurelweir.standin.http.HttpExchange;

/**
 * The record of what really ran, in order of start. Used on one thread. Memory holds the newest
 * runs only. With a file, each start and each end is appended as one JSON line, so that the whole
 * record outlives the process.
 */
public final class ExecutionLog {
    private static final String REQUEST_ID = "X-Request-Id";
    private static final String IDEMPOTENCY_KEY = "Idempotency-Key";

    private final Optional<Path> mFile;
    private final int mKeep;

    /** The newest runs by their number, in order of start. */
    private final Map<Long, Execution> mExecutions = new LinkedHashMap<>();

    private final Map<String, Running> mRunning = new HashMap<>();
    private long mStarted;

    /** A run that is on; its end is recorded even if it is no longer among the newest. */
    private record Running(long number, Execution execution) {}

    /**
     * Creates an empty record.
     *
     * @param settings how many runs it holds, and the file to append to
     */
    public ExecutionLog(ExecutionSettings settings) {
        mFile = settings.file();
        mKeep = settings.keep();
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
        mStarted++;
        mRunning.put(id, new Running(mStarted, e));
        mExecutions.put(mStarted, e);
        if (mExecutions.size() > mKeep) {
            mExecutions.remove(mStarted - mKeep);
        }
        append(e);
    }

    /** Records that a run ended; does nothing if no run of this id is on. */
    public void end(Instant now, String id, Outcome how, Work used) {
        Running running = mRunning.remove(id);
        if (running == null) {
            return;
        }
        Execution e = running.execution().end(now.toString(), how, used);
        mExecutions.replace(running.number(), e);
        append(e);
    }

    /** Returns the newest runs, in order of start. */
    public List<Execution> list() {
        return List.copyOf(mExecutions.values());
    }

    /** Returns how many older runs are no longer held. */
    public long dropped() {
        return mStarted - mExecutions.size();
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
