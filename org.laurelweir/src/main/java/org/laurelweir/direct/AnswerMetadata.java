package org.laurelweir.direct;

import java.util.Optional;
import org.laurelweir.answer.BodyFraming;

/**
 * What the head of a backend server's answer says in addition to its status and headers.
 *
 * @param notRun whether the backend server states that it did not run the request and will not
 * @param misdirected whether another backend server than the intended one answered
 * @param genuine whether the answer belongs to this request; a successful answer also has to carry
 *     the seal of the backend server
 * @param framing what tells the end of the answer's body
 * @param load the load that the backend server reports, if it does
 */
public record AnswerMetadata(
        boolean notRun,
        boolean misdirected,
        boolean genuine,
        BodyFraming framing,
        Optional<ReportedLoad> load) {
    /**
     * The load of a backend server at the time of the answer.
     *
     * @param running requests that it runs, possibly including the answered one
     * @param waiting requests in its queue
     * @param slots maximum number of requests that it runs concurrently
     * @param workTimePercent how long work takes on its machine at this moment, in percent of the
     *     usual time, or {@link #UNKNOWN_WORK_TIME}
     */
    public record ReportedLoad(int running, int waiting, int slots, int workTimePercent) {
        /** The work time of a backend server that does not report any. */
        public static final int UNKNOWN_WORK_TIME = 0;

        /** Creates the load of a backend server that reports no work time. */
        public ReportedLoad(int running, int waiting, int slots) {
            this(running, waiting, slots, UNKNOWN_WORK_TIME);
        }
    }
}
