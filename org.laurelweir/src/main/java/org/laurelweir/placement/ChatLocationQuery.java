package org.laurelweir.placement;

/**
 * What a sidecar knows of a request when it looks for the chat's history.
 *
 * @param chat the chat
 * @param cachedLocally whether the engine here has the history
 * @param fromRouter whether the request came straight from a router, not from a redirect; a
 *     redirect is never answered with a way back
 * @param recentlyJoined whether this server joined so lately that chats of its rank may still sit
 *     with their previous homes; true for a server that came back from a flap
 */
public record ChatLocationQuery(
        ChatKey chat, boolean cachedLocally, boolean fromRouter, boolean recentlyJoined) {}
