package org.laurelweir.placement;

/**
 * The properties of a request that a placement policy uses.
 *
 * @param chat the chat that it belongs to
 * @param account its client account
 * @param work its estimated work
 */
public record PlacementRequest(ChatKey chat, String account, WorkEstimate work) {}
