package org.laurelweir.placement;

import java.util.List;
import java.util.Set;

/**
 * Chooses where a sidecar sends a request on to. With each heartbeat it hears of a few servers of
 * its service that lay under the mean, drawn anew for each sidecar so that not all send to the same
 * ones. The first of them takes what has no history to lose; without any, the next in rank does.
 * The order is the draw's: sent to the least loaded of them, long prompts met at the same servers.
 */
public final class RedirectPolicy {
    private RedirectPolicy() {}

    /**
     * Chooses.
     *
     * @param chat the chat
     * @param view the sidecar's view of its service
     * @param open names of servers with room, as last heard; may be empty
     * @param visited names of the servers that the request has been to
     * @return the server to send it to, or null if there is none left
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
