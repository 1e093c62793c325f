package org.laurelweir.placement;

/**
 * What a policy is told of a request.
 *
 * @param chat the chat it belongs to
 * @param account its client account
 * @param work what it is expected to cost
 */
public record PlacementRequest(ChatKey chat, String account, WorkEstimate work) {}
