package org.laurelweir.direct;

import java.util.List;
import org.laurelweir.quarantine.SuspectKey;

/**
 * What is kept of a request after its end, without its bodies.
 *
 * @param id the request id of the caller
 * @param sharedPartId the id of the prompt's shared part, or 0 if the request has no prompt
 * @param sharedPartIds the ids of all parts that other prompts may share
 * @param service the service that was chosen
 * @param key identifies the request when a caller sends it again
 */
record RequestSummary(
        String id, long sharedPartId, List<Long> sharedPartIds, String service, SuspectKey key) {}
