package org.laurelweir.standin.load;

import java.net.URI;
import java.time.Duration;
import java.util.List;

/**
 * The parameters of a run of the load generator. All content is derived from the seed.
 *
 * @param routers the base addresses of the routers, which are used in turn
 * @param accounts the client accounts and their shares of the chats
 * @param chats the shape of the chats
 * @param plain the calls to plain services
 * @param concurrency the maximum number of requests at a time
 * @param seed the seed of all content
 * @param retries how often a refused request is retried
 * @param timeout the time limit of an attempt, including its answer
 */
public record LoadPlan(
        List<URI> routers,
        Accounts accounts,
        Chats chats,
        Plain plain,
        int concurrency,
        long seed,
        int retries,
        Duration timeout) {

    /**
     * The shape of the chats.
     *
     * @param model the model that every call names
     * @param count the number of chats
     * @param turns the number of calls of each chat, with a growing history
     * @param pause the time from an answer to the chat's next call
     * @param streamShare the share of calls that ask for a stream, from 0 to 1
     * @param dossierShare the share of chats that begin with a dossier, a long first message, from
     *     0 to 1
     * @param dossierBytes the size of a dossier
     * @param maxTokens the maximum number of tokens of an answer
     * @param header a header that carries the chat's name, sent by every second chat; null for none
     */
    public record Chats(
            String model,
            int count,
            int turns,
            Duration pause,
            double streamShare,
            double dossierShare,
            int dossierBytes,
            int maxTokens,
            String header) {}

    /**
     * The calls to plain services; every second one for each path is a POST.
     *
     * @param paths the paths of the services, which are used in turn
     * @param count the number of calls
     */
    public record Plain(List<String> paths, int count) {}

    /** Returns the number of requests of the run if none fails. */
    public int requests() {
        return chats.count() * chats.turns() + plain.count();
    }
}
