package org.laurelweir.placement;

/**
 * A request at the server where it may run.
 *
 * @param work its estimate with what is cached here
 * @param redirects how often it was sent on already
 * @param hasNextServer whether there is a next server in rank that it has not been to
 * @param hasWaited whether it has waited here already
 * @param deadlineReachable whether its first token can come in time after the prompts that are
 *     ahead of it here
 */
public record BoundQuery(
        WorkEstimate work,
        int redirects,
        boolean hasNextServer,
        boolean hasWaited,
        boolean deadlineReachable) {}
