package org.laurelweir.direct;

import java.util.Optional;

/**
 * What the head of an answer says beyond its status.
 *
 * @param notRun whether the backend server says that it did not run the request
 * @param misdirected whether the one that answered is not the one that was meant
 * @param genuine whether the answer bears the marks of an answer to this very request
 * @param load what the backend server tells of its load
 */
public record AnswerMetadata(
        boolean notRun, boolean misdirected, boolean genuine, Optional<ReportedLoad> load) {
    /**
     * A backend server's load as it answered.
     *
     * @param running requests that it runs, this one perhaps included
     * @param waiting requests in its queue
     * @param slots requests that it runs at once
     */
    public record ReportedLoad(int running, int waiting, int slots) {}
}
