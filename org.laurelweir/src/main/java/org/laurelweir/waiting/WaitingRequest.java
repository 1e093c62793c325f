package org.laurelweir.waiting;

import java.time.Instant;

/**
 * A waiting request with what its place in the queue depends on.
 *
 * @param item the request itself
 * @param service the service that the request waits for
 * @param priority requests with a higher priority go first
 * @param account the client account
 * @param weight weight of the client account's share
 * @param tokens the tokens that the request will hold at a backend server
 * @param bytes number of bytes of its body
 * @param resumes whether it goes on with a stream that broke off
 * @param place its first arrival, or {@link Place#NONE} if it has not been refused before
 * @param since when it began to wait
 * @param target until when the first data of the answer should arrive
 * @param waitEnd until when the request may wait
 */
public record WaitingRequest<T>(
        T item,
        String service,
        int priority,
        String account,
        double weight,
        long tokens,
        long bytes,
        boolean resumes,
        Place place,
        Instant since,
        Instant target,
        Instant waitEnd) {}
