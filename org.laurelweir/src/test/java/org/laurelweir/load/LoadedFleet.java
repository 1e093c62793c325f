package org.laurelweir.load;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.laurelweir.attempt.AttemptRequest;
import org.laurelweir.direct.Prompt;
import org.laurelweir.direct.Route;
import org.laurelweir.direct.RoutedRequest;
import org.laurelweir.fleet.FleetControls;
import org.laurelweir.fleet.FleetRouter;
import org.laurelweir.fleet.VirtualTime;
import org.laurelweir.lib.ResultCode;
import org.laurelweir.settings.RouteShare;

/**
 * A fleet in virtual time with many routers, many engines, and callers whose prompts share parts. A
 * router calls a single engine only every few seconds.
 */
final class LoadedFleet {
    private static final int START_MILLIS = 2000;
    private static final int CONTROL_COUNT = 5;
    private static final int MAX_BURST = 5;
    private static final Duration TIMEOUT = Duration.ofSeconds(12);

    /** The popularity of the parts of a kind falls with this power of their rank. */
    private static final double POPULARITY_EXPONENT = 0.3;

    private static final List<Kind> KINDS =
            List.of(
                    new Kind(1, 396, 8620, 580, 49, 0.42),
                    new Kind(2, 130, 2041, 360, 21, 0.24),
                    new Kind(3, 285, 603, 110, 280, 0.34));

    private static final Route ROUTE =
            new Route(
                    "r",
                    "h",
                    "/",
                    List.of(new RouteShare(FleetEngines.SERVICE, 1)),
                    false,
                    true,
                    false,
                    false,
                    1,
                    TIMEOUT,
                    Duration.ofMillis(600),
                    Duration.ofMillis(400),
                    5);

    /** Requests a second that an engine takes in slow start. */
    static final int SLOW_START_RATE = 11;

    private static final Map<String, Map<String, String>> SETTINGS =
            Map.of(
                    "/service=" + FleetEngines.SERVICE,
                    Map.of(
                            "service.kind",
                            "routed",
                            "service.slow-start-rate",
                            String.valueOf(SLOW_START_RATE)));

    final VirtualTime mTime;
    final FleetControls mControls;
    final FleetEngines mEngines;
    final List<FleetRouter> mRouters = new ArrayList<>();

    /** Number of requests by the code that their callers got. */
    final Map<ResultCode, Integer> mAnswers = new EnumMap<>(ResultCode.class);

    private double mHotShare;
    private int mRequests;

    /**
     * A kind of request.
     *
     * @param number distinguishes its shared parts from those of other kinds
     * @param parts number of shared parts
     * @param sharedTokens tokens of a shared part
     * @param ownTokens tokens of a prompt without its shared part
     * @param outputTokens tokens to generate
     * @param weight share of the kind in all requests
     */
    private record Kind(
            int number,
            int parts,
            int sharedTokens,
            int ownTokens,
            int outputTokens,
            double weight) {}

    LoadedFleet(long seed, int routers, int engines) {
        mTime = new VirtualTime(seed);
        mControls = new FleetControls(mTime, CONTROL_COUNT, SETTINGS);
        mEngines = new FleetEngines(mTime, mControls, engines);
        for (int i = 0; i < routers; i++) {
            mRouters.add(new FleetRouter(mTime, mControls, mEngines, i));
        }
        mTime.advance(START_MILLIS);
    }

    /** Starts to submit requests in bursts of random size, at the given mean rate. */
    void startLoad(double requestsPerSecond) {
        int burst = random().nextInt(MAX_BURST) + 1;
        for (int i = 0; i < burst; i++) {
            submit(randomKind());
        }
        double pause = -Math.log(1 - random().nextDouble()) * 1000 * burst / requestsPerSecond;
        mTime.after(Math.round(pause), () -> startLoad(requestsPerSecond));
    }

    /** Gives this share of the following requests of the first kind the same shared part. */
    void makeHot(double share) {
        mHotShare = share;
    }

    private Random random() {
        return mTime.random();
    }

    private Kind randomKind() {
        double remaining = random().nextDouble();
        for (Kind k : KINDS) {
            remaining -= k.weight();
            if (remaining < 0) {
                return k;
            }
        }
        return KINDS.get(0);
    }

    private void submit(Kind k) {
        int part = randomPart(k);
        Prompt prompt =
                new Prompt(
                        List.of(
                                new Prompt.Part(k.number() * 1000L + part, k.sharedTokens()),
                                new Prompt.Part(1_000_000L + ++mRequests, k.ownTokens())),
                        k.sharedTokens() + k.ownTokens(),
                        k.outputTokens());
        byte[] body = ("body " + mRequests).getBytes(StandardCharsets.UTF_8);
        AttemptRequest.Call call = new AttemptRequest.Call("POST", "/x/1", List.of(), body, true);
        RoutedRequest request =
                new RoutedRequest("q" + mRequests, ROUTE, "acme", 5, TIMEOUT, call, prompt);
        mRouters.get(random().nextInt(mRouters.size()))
                .submit(request, code -> mAnswers.merge(code, 1, Integer::sum));
    }

    private int randomPart(Kind k) {
        if (k.number() == 1 && random().nextDouble() < mHotShare) {
            return 0;
        }
        // Approximates the inverse of the distribution function of a power law.
        double rank = Math.pow(random().nextDouble(), 1 / (1 - POPULARITY_EXPONENT));
        return (int) (rank * k.parts());
    }
}
