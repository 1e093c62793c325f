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
 * Records every run in order of start. Confined to one thread. Memory holds the newest runs only.
 * If a file is set, each start and each end is appended to it as one JSON line, so the complete
 * record survives the process.
 */
public final class ExecutionLog {
    private static final String REQUEST_ID = "X-Request-Id";
    private static final String IDEMPOTENCY_KEY = "Idempotency-Key";

    private final Optional<Path> mFile;
    private final int mMaxKept;

    /** The newest runs by their sequence number, in order of start. */
    private final Map<Long, Execution> mExecutions = new LinkedHashMap<>();

    private final Map<String, Running> mRunning = new HashMap<>();
    private long mStartedCount;

    /**
     * A run that has not ended. Its end is recorded even if the run was evicted from the newest
     * ones.
     */
    private record Running(long number, Execution execution) {}

    /**
     * Creates an empty log.
     *
     * @param settings how many runs memory holds, and the file to append to
     */
    public ExecutionLog(ExecutionSettings settings) {
        mFile = settings.file();
        mMaxKept = settings.keep();
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
        mStartedCount++;
        mRunning.put(id, new Running(mStartedCount, e));
        mExecutions.put(mStartedCount, e);
        if (mExecutions.size() > mMaxKept) {
            mExecutions.remove(mStartedCount - mMaxKept);
        }
        append(e);
    }

    /** Records that a run ended; does nothing if no run with this id is running. */
    public void end(Instant now, String id, Outcome outcome, Work work) {
        Running running = mRunning.remove(id);
        if (running == null) {
            return;
        }
        Execution e = running.execution().end(now.toString(), outcome, work);
        mExecutions.replace(running.number(), e);
        append(e);
    }

    /** Returns the newest runs, in order of start. */
    public List<Execution> list() {
        return List.copyOf(mExecutions.values());
    }

    /** Returns the number of older runs that were evicted from memory. */
    public long dropped() {
        return mStartedCount - mExecutions.size();
    }

    private void append(Execution e) {
        mFile.ifPresent(f -> append(f, Json.write(e) + "\n"));
    }

    private static void append(Path file, String line) {
        try {
            Files.writeString(file, line, StandardOpenOption.CREATE, StandardOpenOption.APPEND);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
