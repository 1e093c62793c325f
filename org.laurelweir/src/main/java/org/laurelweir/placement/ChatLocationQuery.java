package org.laurelweir.placement;

/**
 * A request whose chat's history a sidecar has to locate.
 *
 * @param chat the chat
 * @param cachedLocally whether this server's engine has the history
 * @param fromRouter whether the request came from a router and not from a redirect; a redirected
 *     request is never sent back
 * @param recentlyJoined whether this server joined so recently that previous homes may still hold
 *     the history of chats that rank it first; also true for a server that returned after it left
 *     and joined again within a short time
 */
public record ChatLocationQuery(
        ChatKey chat, boolean cachedLocally, boolean fromRouter, boolean recentlyJoined) {}
