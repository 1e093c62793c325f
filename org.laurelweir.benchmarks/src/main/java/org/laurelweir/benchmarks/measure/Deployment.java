package org.laurelweir.benchmarks.measure;

import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.dataformat.yaml.YAMLMapper;
import java.io.IOException;
import java.io.InputStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.laurelweir.errors.LaurelweirException;
import org.laurelweir.lib.ResultCode;

/**
 * A deployment and its workload, read from a YAML file.
 *
 * @param name shown in tables and file names
 * @param routers router instances, each with its own view of the fleet
 * @param requestsPerSecond requests per second over all routers, without surges
 * @param minutes length of the run in virtual time
 * @param warmUpMinutes start of the run whose requests are not counted
 * @param services the services that callers request
 * @param accounts client accounts
 * @param chats how chats grow and return
 * @param engine the capacity of one backend server
 * @param bound the load bound and its limits
 * @param lags delays until routers and sidecars see changes
 * @param churn engines that leave, join and flap
 * @param surges temporary load increases of client accounts
 */
public record Deployment(
        String name,
        int routers,
        double requestsPerSecond,
        double minutes,
        double warmUpMinutes,
        List<ServiceSpec> services,
        Accounts accounts,
        Chats chats,
        EngineSpec engine,
        Bound bound,
        Lags lags,
        Churn churn,
        List<Surge> surges) {

    /**
     * One service.
     *
     * @param name its name
     * @param workers its backend servers
     * @param share its share of the requests
     * @param dossierShare share of its chats that open with a dossier
     */
    public record ServiceSpec(String name, int workers, double share, double dossierShare) {}

    /**
     * Client accounts. The i-th account's share of the requests is proportional to i^-skew.
     *
     * @param count number of accounts
     * @param skew 0 for equal shares
     */
    public record Accounts(int count, double skew) {}

    /**
     * Chats.
     *
     * @param meanTurns mean number of turns of a chat, geometrically distributed
     * @param user tokens that a caller adds in a turn
     * @param output tokens of an answer
     * @param opening tokens that a chat without a dossier opens with
     * @param dossier tokens of a dossier
     * @param pauses pauses between a chat's turns, a mixture of distributions
     * @param deadlineMillis time from arrival to the first token
     * @param dossierDeadlineMillis the same for a turn with a dossier
     */
    public record Chats(
            double meanTurns,
            Tokens user,
            Tokens output,
            Tokens opening,
            Dossier dossier,
            List<Pause> pauses,
            int deadlineMillis,
            int dossierDeadlineMillis) {}

    /**
     * A log-normal number of tokens.
     *
     * @param median its median
     * @param sigma standard deviation of its logarithm
     */
    public record Tokens(double median, double sigma) {
        /** Returns the mean. */
        public double mean() {
            return median * Math.exp(sigma * sigma / 2);
        }
    }

    /**
     * A number of tokens with a truncated Pareto distribution.
     *
     * @param least the smallest
     * @param most the largest
     * @param alpha exponent of the tail
     */
    public record Dossier(double least, double most, double alpha) {}

    /**
     * One part of the mixture of pauses.
     *
     * @param share its part of the pauses
     * @param medianSeconds the median
     * @param sigma standard deviation of the logarithm
     */
    public record Pause(double share, double medianSeconds, double sigma) {
        /** Returns the mean in seconds. */
        public double mean() {
            return medianSeconds * Math.exp(sigma * sigma / 2);
        }
    }

    /**
     * An engine.
     *
     * @param cacheTokens tokens that its prefix cache holds, with LRU eviction
     * @param prefillTokensPerSecond prompt tokens computed per second
     * @param chunkTokens prompt tokens of a chunk; shorter prompts run between the chunks
     * @param millisPerToken time per output token of a single running request
     * @param millisPerTokenPerRunning time added per output token for each other running request
     * @param maxRunning requests in its batch; more wait in the engine
     */
    public record EngineSpec(
            long cacheTokens,
            double prefillTokensPerSecond,
            int chunkTokens,
            double millisPerToken,
            double millisPerTokenPerRunning,
            int maxRunning) {}

    /**
     * Limits; see {@link org.laurelweir.placement.BoundConfig}.
     *
     * @param factor the multiple of the mean work that an engine may carry
     * @param headroom share of the factor that admission leaves unused
     * @param openFactor the multiple for requests without cached history
     * @param capacityFloor smallest bound, in work units
     * @param prefillWeight cost of an uncached prompt token in output tokens
     * @param maxRedirects how often a request may be redirected
     * @param waitMillis how long a sidecar holds a request back at most
     */
    public record Bound(
            double factor,
            double headroom,
            double openFactor,
            double capacityFloor,
            double prefillWeight,
            int maxRedirects,
            int waitMillis) {}

    /**
     * Delays until changes become visible.
     *
     * @param routerMillis maximum delay until a router sees a membership change
     * @param sidecarMillis maximum delay until a sidecar sees it
     * @param detectMillis delay until a crash is detected
     * @param loadMillis period of load reports; known loads are one to two periods old
     */
    public record Lags(int routerMillis, int sidecarMillis, int detectMillis, int loadMillis) {}

    /**
     * Engines that leave, join and flap.
     *
     * @param startMinute when it begins
     * @param minutes how long it lasts
     * @param replacedShare share of each service's engines that leave and are replaced, at least
     *     one each
     * @param crashShare share of those that crash; the others drain
     * @param flaps engines of each service that leave the views for a while and return
     * @param flapSeconds maximum absence from the views
     * @param replaceSeconds delay until the replacement joins, with an empty cache
     */
    public record Churn(
            double startMinute,
            double minutes,
            double replacedShare,
            double crashShare,
            int flaps,
            int flapSeconds,
            int replaceSeconds) {}

    /**
     * A surge of new single-turn chats.
     *
     * @param account index of the client account
     * @param startMinute when it begins
     * @param minutes how long it lasts
     * @param factor the account's request rate in multiples of its usual rate
     * @param dossierShare share of the chats that open with a dossier
     */
    public record Surge(
            int account, double startMinute, double minutes, double factor, double dossierShare) {}

    /**
     * Reads a deployment.
     *
     * @param name path of a file that ends in .yaml, or the name of a bundled deployment
     * @throws LaurelweirException if it is missing, unreadable or has an unknown key
     */
    public static Deployment read(String name) {
        YAMLMapper mapper =
                YAMLMapper.builder()
                        .enable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
                        .build();
        try (InputStream in = open(name)) {
            if (in == null) {
                throw new LaurelweirException(ResultCode.USAGE, "no deployment " + name);
            }
            return mapper.readValue(in, Deployment.class);
        } catch (IOException e) {
            throw new LaurelweirException(ResultCode.BAD_SETTINGS_FILE, name, e);
        }
    }

    private static InputStream open(String name) throws IOException {
        if (name.endsWith(".yaml")) {
            return Files.newInputStream(Path.of(name));
        }
        return Deployment.class.getResourceAsStream("/deployments/" + name + ".yaml");
    }

    /** Returns the number of backend servers of all services. */
    public int workers() {
        return services.stream().mapToInt(ServiceSpec::workers).sum();
    }
}
