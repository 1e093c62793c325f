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
 * What is measured: a deployment and its workload, from a YAML file.
 *
 * @param name shown in tables and file names
 * @param routers instances that callers reach, each with its own view
 * @param requestsPerSecond over all routers, without surges
 * @param minutes virtual length of the run
 * @param warmUpMinutes part of it that is not counted
 * @param services what callers ask for
 * @param accounts client accounts
 * @param chats how chats grow and return
 * @param engine what one backend server can do
 * @param bound the limits that the policies keep
 * @param lags how late routers and sidecars learn of changes
 * @param churn engines that leave, join and flap
 * @param surges client accounts that send more for a while
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
     * Client accounts; the i-th has a share in proportion to i to the power of -skew.
     *
     * @param count how many
     * @param skew 0 for equal shares
     */
    public record Accounts(int count, double skew) {}

    /**
     * Chats.
     *
     * @param meanTurns turns of a chat, geometric
     * @param user tokens that a caller adds at a turn
     * @param output tokens of an answer
     * @param opening tokens that a chat without a dossier opens with
     * @param dossier tokens of a dossier
     * @param pauses between a chat's turns, a mixture
     * @param deadlineMillis to the first token
     * @param dossierDeadlineMillis to the first token of a turn that brings a dossier
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
     * @param sigma deviation of its logarithm
     */
    public record Tokens(double median, double sigma) {
        /** Returns the mean. */
        public double mean() {
            return median * Math.exp(sigma * sigma / 2);
        }
    }

    /**
     * A Pareto number of tokens, cut off.
     *
     * @param least the smallest
     * @param most the largest
     * @param alpha the tail's exponent
     */
    public record Dossier(double least, double most, double alpha) {}

    /**
     * One part of the mixture of pauses.
     *
     * @param share its part of the pauses
     * @param medianSeconds the median
     * @param sigma deviation of the logarithm
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
     * @param cacheTokens tokens that its prefix cache holds, least recently used out first
     * @param prefillTokensPerSecond prompt tokens computed a second
     * @param chunkTokens prompt tokens computed at once; shorter prompts pass between the chunks
     * @param millisPerToken between output tokens when it runs nothing else
     * @param millisPerTokenPerRunning added for each other running request
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
     * @param factor the set multiple of the mean
     * @param headroom share of the factor that admission leaves unused
     * @param openFactor the multiple for requests without cached history
     * @param capacityFloor the least bound in work units
     * @param prefillWeight cost of an uncached prompt token in output tokens
     * @param maxRedirects how often a request may be sent on
     * @param waitMillis how long a sidecar holds a request
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
     * Lags.
     *
     * @param routerMillis the longest until a router sees a membership change
     * @param sidecarMillis the longest until a sidecar sees it
     * @param detectMillis until a crash is noticed
     * @param loadMillis between reports of load; what is known is one to two reports old
     */
    public record Lags(int routerMillis, int sidecarMillis, int detectMillis, int loadMillis) {}

    /**
     * Churn.
     *
     * @param startMinute when it begins
     * @param minutes how long it goes on
     * @param replacedShare share of each service's engines that leave and are replaced, at least
     *     one each
     * @param crashShare share of those that crash; the others drain
     * @param flaps engines that vanish from the views for a while and come back, a service
     * @param flapSeconds the longest absence
     * @param replaceSeconds until the replacement joins, with an empty cache
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
     * @param minutes how long it goes on
     * @param factor the account's requests in multiples of its usual ones
     * @param dossierShare share that bring a dossier
     */
    public record Surge(
            int account, double startMinute, double minutes, double factor, double dossierShare) {}

    /**
     * Reads a deployment.
     *
     * @param name a file that ends in .yaml, or the name of one that comes with the program
     * @throws LaurelweirException if it is missing or has an unknown key
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
