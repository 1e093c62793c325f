package org.laurelweir.direct;

import static org.assertj.core.api.Assertions.assertThat;
import static org.laurelweir.direct.DirectRoutingDriver.GENUINE;
import static org.laurelweir.direct.DirectRoutingDriver.NOT_RUN;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.zip.CRC32;
import org.junit.jupiter.api.Test;
import org.laurelweir.answer.BodyFraming;
import org.laurelweir.direct.DirectEffect.BeginCall;

/** Compares the decisions of a deployment without contention with those before contention. */
class UncontendedDecisionsTest {
    private static final int REQUEST_COUNT = 4000;
    private static final long SEED = 11;

    /** The digest of the decisions of a router without contended choices. */
    private static final long EXPECTED_DIGEST = 1_786_181_326L;

    private final DirectRoutingDriver mDriver =
            new DirectRoutingDriver(7, DirectRoutingDriver.LIMITS, SEED);
    private final SplittableRandom mRandom = new SplittableRandom(SEED);
    private final CRC32 mDigest = new CRC32();

    private AnswerMetadata withLoad() {
        int running = mRandom.nextInt(8);
        return new AnswerMetadata(
                false,
                false,
                true,
                BodyFraming.LENGTH,
                Optional.of(new AnswerMetadata.ReportedLoad(running, 1, 6, 50 + 30 * running)));
    }

    private Prompt prompt() {
        if (mRandom.nextInt(3) == 0) {
            return Prompt.NONE;
        }
        Prompt.Part shared = new Prompt.Part(1 + mRandom.nextInt(20), 2000);
        Prompt.Part own = new Prompt.Part(1000 + mRandom.nextInt(1_000_000), 300);
        return new Prompt(List.of(shared, own), 2300, 200);
    }

    private void send(int caller) {
        boolean streamed = mRandom.nextBoolean();
        boolean repeatable = mRandom.nextBoolean();
        mDriver.arrive(
                caller, DirectRoutingDriver.route(repeatable, streamed, repeatable), prompt());
    }

    private void answer(BeginCall call) {
        int kind = mRandom.nextInt(20);
        if (kind == 0) {
            mDriver.answer(call.call(), 503, NOT_RUN);
        } else if (kind == 1) {
            mDriver.answer(call.call(), 500, GENUINE);
            mDriver.step(new DirectEvent.Finished(call.call()));
        } else if (kind == 2) {
            DirectEvent.Failure lost = DirectEvent.Failure.CONNECTION_LOST;
            mDriver.step(new DirectEvent.Failed(call.call(), lost, "lost"));
        } else {
            mDriver.answer(call.call(), 200, withLoad());
            byte[] event = "id: 1\ndata: x\n\n".getBytes(StandardCharsets.UTF_8);
            mDriver.step(new DirectEvent.DataReceived(call.call(), event));
            mDriver.step(new DirectEvent.Finished(call.call()));
        }
    }

    // Guards against other deployments that change because of contended ones: each decision and
    // each random draw has to be the same.
    @Test
    void decisionsAreThoseBeforeContention() {
        for (int i = 1; i <= REQUEST_COUNT; i++) {
            send(i);
            if (mRandom.nextInt(4) > 0) {
                List<BeginCall> calls = mDriver.all(BeginCall.class);
                answer(calls.get(calls.size() - 1 - mRandom.nextInt(Math.min(3, calls.size()))));
            }
            mDriver.advance(Duration.ofMillis(mRandom.nextInt(20)));
            mDriver.mEffects.forEach(this::addToDigest);
            keepLatestCalls();
        }
        System.out.printf("seed %d: digest %d%n", SEED, mDigest.getValue());
        assertThat(mDigest.getValue()).isEqualTo(EXPECTED_DIGEST);
    }

    private void keepLatestCalls() {
        List<BeginCall> calls = mDriver.all(BeginCall.class);
        mDriver.mEffects.clear();
        mDriver.mEffects.addAll(calls.subList(Math.max(0, calls.size() - 3), calls.size()));
    }

    private void addToDigest(DirectEffect effect) {
        String text = "";
        if (effect instanceof BeginCall c) {
            text = "call " + c.call() + c.backend() + c.fetchFrom() + c.timeLeft();
        } else if (effect instanceof DirectEffect.LogDecision l) {
            text = l.decision().toString();
        } else if (effect instanceof DirectEffect.AnswerError e) {
            text = e.caller() + e.code().name() + e.message() + e.retryAfter();
        }
        mDigest.update(text.getBytes(StandardCharsets.UTF_8));
    }
}
