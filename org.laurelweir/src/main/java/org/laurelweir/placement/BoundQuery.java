package org.laurelweir.placement;

/**
 * A request at the server where it may run.
 *
 * @param work its estimated work, with the tokens cached here
 * @param redirects how often it has been redirected
 * @param hasNextServer whether there is another server to which it has not been sent yet
 * @param hasWaited whether it has already waited here
 * @param deadlineReachable whether its first token can arrive in time after the prompts queued
 *     before it here
 */
public record BoundQuery(
        WorkEstimate work,
        int redirects,
        boolean hasNextServer,
        boolean hasWaited,
        boolean deadlineReachable) {}
