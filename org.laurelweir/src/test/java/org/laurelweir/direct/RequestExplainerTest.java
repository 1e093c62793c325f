package org.laurelweir.direct;

import static org.assertj.core.api.Assertions.assertThat;
import static org.laurelweir.direct.DirectRoutingDriver.GENUINE;
import static org.laurelweir.direct.DirectRoutingDriver.NOT_RUN;
import static org.laurelweir.direct.DirectRoutingDriver.route;

import java.time.Duration;
import java.util.List;
import java.util.SplittableRandom;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.laurelweir.attempt.AttemptRequest;
import org.laurelweir.direct.DirectEffect.BeginCall;
import org.laurelweir.direct.DirectEffect.Explain;
import org.laurelweir.direct.DirectEvent.Failure;
import org.laurelweir.lib.ResultCode;

/** Tests the explanations of requests that are not sent. */
class RequestExplainerTest {
    private static final int STEPS = 200;
    private static final Duration SECOND = Duration.ofSeconds(1);
    private static final Route ROUTE = route(true, false, false);
    private static final Prompt PROMPT =
            new Prompt(List.of(new Prompt.Part(7, 600), new Prompt.Part(8, 100)), 700, 50);

    private final DirectRoutingDriver mDriver = new DirectRoutingDriver(5);

    private static RoutedRequest request(Prompt prompt, Duration timeLeft) {
        AttemptRequest.Call call =
                new AttemptRequest.Call(
                        "POST", "/x", List.of(), "same".getBytes(), ROUTE.streamed());
        return new RoutedRequest("", ROUTE, "acc", 5, timeLeft, call, prompt);
    }

    private static RequestExplanation.Service explain(DirectRoutingDriver driver, Prompt prompt) {
        RoutedRequest request = request(prompt, SECOND);
        driver.step(new DirectEvent.ExplanationRequested(1, request));
        RequestExplanation e = driver.last(Explain.class).explanation();
        assertThat(e.services()).hasSize(1);
        return e.services().get(0);
    }

    /** A random step of a fleet whose servers fail, refuse, and start again under their names. */
    private static void step(DirectRoutingDriver driver, SplittableRandom random, int number) {
        int action = random.nextInt(9);
        Prompt prompt = random.nextBoolean() ? PROMPT : Prompt.NONE;
        if (action < 4 || driver.callCount() == 0) {
            driver.arrive(number, ROUTE, prompt, "same");
            return;
        }
        long call = 1 + random.nextInt(driver.callCount());
        switch (action) {
            case 4 -> driver.answer(call, 503, NOT_RUN);
            case 5 -> driver.answer(call, 500, GENUINE);
            case 6 -> driver.step(new DirectEvent.Failed(call, Failure.CONNECTION_LOST, "lost"));
            case 7 -> driver.restart("s" + random.nextInt(5));
            default -> driver.advance(Duration.ofMillis(random.nextInt(400)));
        }
    }

    /** Returns all effects but explanations as texts, without the identities of byte arrays. */
    private static List<String> effects(DirectRoutingDriver driver) {
        return driver.mEffects.stream()
                .filter(e -> !(e instanceof Explain))
                .map(e -> e.toString().replaceAll("\\[B@[0-9a-f]+", "bytes"))
                .toList();
    }

    // Guards against questions of operators that change where later requests go.
    @Property(tries = 200, seed = "5")
    void explanationsChangeNoDecision(@ForAll long seed) {
        DirectRoutingDriver asked = new DirectRoutingDriver(5);
        DirectRoutingDriver other = new DirectRoutingDriver(5);
        SplittableRandom askedRandom = new SplittableRandom(seed);
        SplittableRandom otherRandom = new SplittableRandom(seed);
        for (int i = 1; i <= STEPS; i++) {
            explain(asked, i % 2 == 0 ? PROMPT : Prompt.NONE);
            step(asked, askedRandom, i);
            step(other, otherRandom, i);
        }
        assertThat(effects(asked)).isEqualTo(effects(other));
    }

    // Guards against an explanation that names another server than the next request gets.
    @Property(tries = 200, seed = "5")
    void explanationNamesTheServerOfTheNextRequest(@ForAll long seed) {
        DirectRoutingDriver driver = new DirectRoutingDriver(5);
        SplittableRandom random = new SplittableRandom(seed);
        for (int i = 1; i <= 30; i++) {
            step(driver, random, i);
        }
        for (Prompt prompt : List.of(PROMPT, Prompt.NONE)) {
            RequestExplanation.Service explained = explain(driver, prompt);
            int calls = driver.callCount();
            driver.arrive(1000 + prompt.parts().size(), ROUTE, prompt, "same");
            assertThat(driver.callCount() > calls).isEqualTo(explained.choice().isPresent());
            explained
                    .choice()
                    .ifPresent(
                            c ->
                                    assertThat(driver.last(BeginCall.class).backend().id())
                                            .isEqualTo(c.server()));
            explained
                    .refusal()
                    .ifPresent(
                            r ->
                                    assertThat(driver.last(DirectEffect.AnswerError.class).code())
                                            .isEqualTo(r.code()));
        }
    }

    @Example
    void explanationShowsWhatTheChoiceIsBasedOn() {
        mDriver.arrive(1, ROUTE, PROMPT, "x");
        BeginCall call = mDriver.lastCall();
        RequestExplanation.Service explained = explain(mDriver, PROMPT);
        assertThat(explained.serving()).isEqualTo(5);
        assertThat(explained.choice().orElseThrow().server()).isEqualTo(call.backend().id());
        RequestExplanation.Server home = explained.servers().get(0);
        assertThat(home.ref()).isEqualTo(call.backend());
        assertThat(home.address()).isEqualTo(call.backend().id() + ":80");
        assertThat(home.ownRequests()).isEqualTo(1);
        assertThat(home.slots()).isEqualTo(6);
        assertThat(home.loadAgeMillis()).isNaN();
        assertThat(explained.refusal()).isEmpty();
    }

    @Example
    void refusalsAreExplainedWithTheirDelay() {
        RequestExplanation.Refusal none =
                explain(new DirectRoutingDriver(0), PROMPT).refusal().orElseThrow();
        assertThat(none.code()).isEqualTo(ResultCode.NO_BACKEND_SERVER);
        assertThat(none.maxRetryAfter()).isEqualTo(Duration.ofMillis(250));
        mDriver.step(
                new DirectEvent.ExplanationRequested(2, request(PROMPT, Duration.ofMillis(20))));
        RequestExplanation.Service late =
                mDriver.last(Explain.class).explanation().services().get(0);
        assertThat(late.choice()).isEmpty();
        assertThat(late.refusal().orElseThrow().code()).isEqualTo(ResultCode.OVERLOADED);
    }

    // Guards against an explanation of a contended request by the delays of other deployments,
    // which are never longer than 499 ms.
    @Example
    void contendedRefusalIsExplainedWithTheLongestReturnTime() {
        RoutedRequest plain = request(PROMPT, Duration.ofSeconds(10));
        RoutedRequest contended =
                new RoutedRequest(
                        plain.id(),
                        plain.route(),
                        plain.account(),
                        plain.priority(),
                        plain.timeLeft(),
                        plain.call(),
                        plain.prompt(),
                        plain.allowedRegions(),
                        plain.resumption(),
                        ContendedFixture.TERMS);
        DirectRoutingDriver driver = new DirectRoutingDriver(0);
        driver.step(new DirectEvent.ExplanationRequested(1, contended));
        RequestExplanation.Service explained =
                driver.last(Explain.class).explanation().services().get(0);
        assertThat(explained.refusal().orElseThrow().maxRetryAfter())
                .isEqualTo(Duration.ofMillis(2_500));
    }

    // Guards against an explanation that names a server for a request which is sent to none.
    @Example
    void quarantineIsExplained() {
        for (int i = 1; i <= 12; i++) {
            mDriver.arrive(i, ROUTE, Prompt.NONE, "same");
            while (!mDriver.isIdle()) {
                long call = mDriver.lastCall().call();
                mDriver.step(new DirectEvent.Failed(call, Failure.CONNECTION_LOST, "lost"));
            }
        }
        RequestExplanation.Refusal refusal = explain(mDriver, Prompt.NONE).refusal().orElseThrow();
        assertThat(refusal.code()).isEqualTo(ResultCode.REQUEST_QUARANTINED);
        assertThat(refusal.message()).startsWith("backend servers ended under this request: ");
        assertThat(refusal.maxRetryAfter()).isEqualTo(Duration.ofMinutes(1));
    }

    // Guards against another sequence than before, which would change every decision.
    @Property(tries = 100, seed = "5")
    void randomNumbersAreThoseOfASplittableRandom(@ForAll long seed) {
        RestorableRandom random = new RestorableRandom(seed);
        SplittableRandom expected = new SplittableRandom(seed);
        for (int i = 1; i <= 50; i++) {
            assertThat(random.nextDouble()).isEqualTo(expected.nextDouble());
            assertThat(random.nextInt(i)).isEqualTo(expected.nextInt(i));
            assertThat(random.nextLong()).isEqualTo(expected.nextLong());
        }
        long state = random.state();
        long next = random.nextLong();
        random.restore(state);
        assertThat(random.nextLong()).isEqualTo(next);
    }
}
