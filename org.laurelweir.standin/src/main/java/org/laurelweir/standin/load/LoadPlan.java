package org.laurelweir.standin.load;

import java.net.URI;
import java.time.Duration;
import java.util.List;

/**
 * What a run of the load generator plays. All content follows from the seed.
 *
 * @param routers the base addresses of the routers, which take turns
 * @param accounts the client accounts and their shares of the chats
 * @param chats the shape of the chats
 * @param plain the calls to plain services
 * @param concurrency the most requests that are on at a time
 * @param seed the seed of all content
 * @param retries how often a request that was refused is sent again
 * @param timeout how long an attempt may take as a whole
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
     * @param count how many chats there are
     * @param turns how many calls each chat makes, with its history growing
     * @param pause from an answer to the chat's return
     * @param streamShare the share of calls that ask for a stream, from 0 to 1
     * @param dossierShare the share of chats that begin with a dossier, from 0 to 1
     * @param dossierBytes the size of a dossier
     * @param maxTokens the most tokens of an answer
     * @param header a header that names the chat, sent by every other chat; null for none
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
     * The calls to plain services, of which every other is a POST.
     *
     * @param paths the paths under which the services are reached, which take turns
     * @param count how many calls there are
     */
    public record Plain(List<String> paths, int count) {}

    /** Returns how many requests the run makes if none fails. */
    public int requests() {
        return chats.count() * chats.turns() + plain.count();
    }
}
