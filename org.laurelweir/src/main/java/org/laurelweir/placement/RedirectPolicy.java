package org.laurelweir.placement;

import java.util.List;
import java.util.Set;

/**
 * Chooses the target of a sidecar's redirect. With each heartbeat a sidecar receives the names of a
 * few servers of its service whose load is below the mean, drawn separately for each sidecar so
 * that not all redirect to the same ones. The first of them receives requests without cached
 * history; without any, the next in rank does. The order of the draw is kept: if each sidecar
 * redirected to the least loaded of them, long prompts would meet on the same servers.
 */
public final class RedirectPolicy {
    private RedirectPolicy() {}

    /**
     * Chooses the target of a redirect.
     *
     * @param chat the chat
     * @param view the sidecar's view of its service
     * @param open names of servers with spare capacity, as last received; may be empty
     * @param visited names of the servers that the request has already been sent to
     * @return the server to redirect to, or null if none is left
     */
    public static Candidate choose(
            ChatKey chat, ServiceView view, List<String> open, Set<String> visited) {
        return open.stream()
                .filter(id -> !visited.contains(id))
                .map(view::candidate)
                .filter(c -> c != null && !c.draining())
                .findFirst()
                .orElseGet(() -> nextInRank(chat, view, visited));
    }

    private static Candidate nextInRank(ChatKey chat, ServiceView view, Set<String> visited) {
        return view.ranking().top(chat, visited.size() + 1).stream()
                .filter(c -> !visited.contains(c.id()))
                .findFirst()
                .orElse(null);
    }
}
