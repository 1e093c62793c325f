package org.laurelweir.router.http;

import java.time.InstantSource;
import org.laurelweir.runtime.http.PartialRequests;
import org.laurelweir.runtime.http.RequestMemory;

/**
 * What the server for callers needs to decide on new connections, on those whose callers do not
 * read, and on large requests.
 *
 * @param lag measures how far the router lags behind its work
 * @param clock the current time
 * @param onClosedUnread called for each connection that is closed before anything is read
 * @param unreadAnswers bounds the whole answers that callers have not taken yet
 * @param requestMemory bounds the requests that the router holds
 * @param partialRequests bounds the bytes of requests that the router has not begun to read
 */
public record Acceptance(
        RequestLag lag,
        InstantSource clock,
        Runnable onClosedUnread,
        UnreadAnswers unreadAnswers,
        RequestMemory requestMemory,
        PartialRequests partialRequests) {}
